// SlotGrant: slots of an instance that this host may use.

#pragma once

#include <compare>
#include <cstdint>

#include "core/clock.h"

namespace jujube::steering {

struct SlotGrant {
  std::uint32_t m_safe = 0;    // slots without expiry
  std::uint32_t m_leased = 0;  // more slots, until m_leased_until
  MonoTime m_leased_until;     // measured from the sending of the request

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive
  friend auto operator<=>(const SlotGrant&, const SlotGrant&) = default;
};

// The lease is checked on each use, so that a process that was suspended does
// not use an expired lease.
constexpr std::uint32_t UsableSlots(const SlotGrant& grant, MonoTime now) {
  return grant.m_safe + (now < grant.m_leased_until ? grant.m_leased : 0);
}

}  // namespace jujube::steering
