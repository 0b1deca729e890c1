// RegistryLimits: lease and memory bounds of a registry.

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

namespace jujube::membership {

struct RegistryLimits {
  // Four announcements at the interval of 500 ms: three lost ones in a row do
  // not remove an instance.
  std::chrono::milliseconds m_lease{2000};

  // Whether an announcement that only renews the lease is a change that peers
  // get. Where the control hosts say when an instance is gone, it is not.
  bool m_relays_refreshes = true;

  // Time for which an absent instance's (incarnation, sequence) is remembered,
  // so that a message delayed in a frozen peer cannot bring it back.
  std::chrono::milliseconds m_memory{600000};

  // Instances, absent ones included; about 1 KB each.
  std::size_t m_max_instances = 16384;

  friend auto operator<=>(const RegistryLimits&,
                          const RegistryLimits&) = default;
};

}  // namespace jujube::membership
