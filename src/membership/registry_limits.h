// RegistryLimits: lease duration, retention time and size limit of a registry.

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

namespace jujube::membership {

struct RegistryLimits {
  // Duration of a lease. With the default announcement interval of 500 ms, two
  // consecutive lost announcements do not remove an instance.
  std::chrono::milliseconds m_lease_duration{2000};

  // If true, DeltaSince also returns announcements that only renew a lease. Not
  // needed if the control hosts report the loss of instances.
  bool m_relays_refreshes = true;

  // Time for which the (incarnation, sequence) of an expired instance is
  // retained, so that a message delayed in a suspended peer cannot restore it.
  std::chrono::milliseconds m_expired_retention{600000};

  // Includes expired instances that are retained; about 1 KB each.
  std::size_t m_max_instances = 16384;

  friend auto operator<=>(const RegistryLimits&,
                          const RegistryLimits&) = default;
};

}  // namespace jujube::membership
