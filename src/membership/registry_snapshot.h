// RegistrySnapshot: immutable copy of the registry at one version.

#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "membership/member.h"

namespace jujube::membership {

struct RegistrySnapshot {
  // Increases with each change, except lease renewals that are not relayed.
  std::uint64_t m_version = 0;
  std::vector<Member> m_members;  // sorted by service and instance; without
                                  // expired members, with leaving ones

  friend auto operator<=>(const RegistrySnapshot&,
                          const RegistrySnapshot&) = default;
};

}  // namespace jujube::membership
