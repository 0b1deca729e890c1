// RegistrySnapshot: the registry at one version, as an immutable value.

#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "membership/member.h"

namespace jujube::membership {

struct RegistrySnapshot {
  std::uint64_t m_version = 0;    // grows with each change of the registry
  std::vector<Member> m_members;  // ordered by service, then instance; expired
                                  // members are absent, leaving ones present

  friend auto operator<=>(const RegistrySnapshot&,
                          const RegistrySnapshot&) = default;
};

}  // namespace jujube::membership
