// SlotGrant: the slots of an instance that this host may use.

#pragma once

#include <compare>
#include <cstdint>

#include "core/clock.h"

namespace jujube::steering {

struct SlotGrant {
  std::uint32_t m_safe = 0;    // without expiry
  std::uint32_t m_leased = 0;  // usable before m_leased_until
  MonoTime m_leased_until;     // counted from when the request was sent

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default
  friend auto operator<=>(const SlotGrant&, const SlotGrant&) = default;
};

// Checked on each use, so that a resumed process spends no lease of before.
constexpr std::uint32_t UsableSlots(const SlotGrant& grant, MonoTime now) {
  return grant.m_safe + (now < grant.m_leased_until ? grant.m_leased : 0);
}

}  // namespace jujube::steering
