// IsFromEarlierProcess: tells a late message of a host's earlier process from a
// message of its current one.
//
//   if (IsFromEarlierProcess({incarnation, last_received, silence}, delta,
//   now))
//     return;

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "core/clock.h"

namespace jujube::membership {

// The process from which the last message of a host came.
struct KnownSender {
  std::uint64_t m_incarnation = 0;
  MonoTime m_last_received;
  // After which the process counts as gone. Longer than its message interval.
  std::chrono::milliseconds m_silence{0};

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a default
  friend auto operator<=>(const KnownSender&, const KnownSender&) = default;
};

bool IsFromEarlierProcess(const KnownSender& known,
                          std::uint64_t incarnation,
                          MonoTime now);

}  // namespace jujube::membership
