// Division of one cap among entry hosts, as pure functions.

#pragma once

#include <cstdint>
#include <vector>

#include "limits/topology.h"

namespace jujube::limits {

// Part of a cap that is given away as safe shares. A quarter keeps a cut-off
// host useful and leaves most of the cap to those that have demand.
inline constexpr std::uint64_t kSafePermille = 250;

// Part of an instance's leased units that is kept for hosts of other
// availability zones that want some, so that local demand cannot starve them.
inline constexpr std::uint64_t kRemotePermille = 250;

// Hosts that have a safe share of a cap, with its size. Depends only on the
// arguments, so every host computes the same.
//   instance slots: one slot, of one host in the zone of the instance, else in
//     its region, else anywhere, chosen by rendezvous hashing;
//   links: hosts in the two regions, in equal parts;
//   all others: all hosts, in equal parts; of connections the host with the
//     safe slot has at least one.
struct SafeShare {
  HostId m_host;
  std::uint64_t m_units = 0;

  friend auto operator<=>(const SafeShare&, const SafeShare&) = default;
};
std::vector<SafeShare> SafeShares(const Topology& topology,
                                  const Cap& cap,
                                  const AvailabilityZoneId& instance_zone);

// What a host needs beyond its safe share.
struct ShareRequest {
  HostId m_host;
  std::uint64_t m_need = 0;
  bool m_local = true;  // in the zone of the instance; true for other caps

  friend auto operator<=>(const ShareRequest&, const ShareRequest&) = default;
};

// Divides a pool of units by demand: nobody gets more than it needs, and nobody
// gets less than another one unless it needs less (max-min fair). Local hosts
// go first, but for the part that kRemotePermille keeps for the others. Single
// units that cannot be divided go to the hosts in an order that changes with
// the round, so that each has its turn. Returns one grant for each request.
std::vector<std::uint64_t> DividePool(std::uint64_t pool,
                                      const std::vector<ShareRequest>& requests,
                                      std::uint64_t round);

}  // namespace jujube::limits
