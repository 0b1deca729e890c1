// Pure functions that divide one cap among entry hosts.

#pragma once

#include <cstdint>
#include <vector>

#include "limits/topology.h"

namespace jujube::limits {

// Part of a cap that is granted as safe shares, which do not expire. A quarter
// lets a host that cannot reach the leader continue to serve, and leaves most
// of the cap to hosts with demand.
inline constexpr std::uint64_t kSafeSharePermille = 250;

// Part of an instance's leased units that is reserved for hosts of other
// availability zones that request some, so that local demand cannot starve
// them.
inline constexpr std::uint64_t kRemoteReservePermille = 250;

// The safe share that one host has of a cap.
struct SafeShare {
  HostId m_host;
  std::uint64_t m_units = 0;

  friend auto operator<=>(const SafeShare&, const SafeShare&) = default;
};

// The safe shares of a cap. Equal shares divide kSafeSharePermille of it among
// the hosts. The result depends only on the arguments, so every host computes
// the same one.
//   instance slots: one slot for one host, chosen by rendezvous hashing among
//     the hosts in the zone of the instance, else in its region, else all;
//   links: equal shares for the hosts in the two regions;
//   all others: equal shares for all hosts; of an instance's connections, the
//     host with the safe slot gets at least one.
std::vector<SafeShare> ComputeSafeShares(
    const Topology& topology,
    const Cap& cap,
    const AvailabilityZoneId& instance_zone);

// Units that a host needs in addition to its safe share.
struct ShareRequest {
  HostId m_host;
  std::uint64_t m_need = 0;
  bool m_is_local = true;  // in the zone of the instance; true for other caps

  friend auto operator<=>(const ShareRequest&, const ShareRequest&) = default;
};

// Divides a pool of units by demand, max-min fair: no host gets more than it
// needs, or less than another host unless it needs less. Local hosts take
// precedence, except for the part that kRemoteReservePermille reserves for the
// others. Units that cannot be divided evenly are granted one by one, starting
// with another host each round. Returns the units granted to each request.
std::vector<std::uint64_t> DividePool(std::uint64_t pool,
                                      const std::vector<ShareRequest>& requests,
                                      std::uint64_t round);

}  // namespace jujube::limits
