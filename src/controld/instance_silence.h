// IsSilent: whether the leader takes an upstream to have stopped.

#pragma once

#include <chrono>
#include <compare>

#include "core/clock.h"

namespace jujube::controld {

struct InstanceContact {
  MonoTime m_sent_at{};        // time of the last announcement
  MonoTime m_leading_since{};  // since when this host leads
  std::chrono::milliseconds m_announcement_interval{0};

  friend auto operator<=>(const InstanceContact&,
                          const InstanceContact&) = default;
};

bool IsSilent(const InstanceContact& contact, MonoTime now);

}  // namespace jujube::controld
