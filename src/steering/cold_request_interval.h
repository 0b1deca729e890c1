// ColdShare: how many requests an entry host may send to a cold instance.
//
// A cold instance breaks down under more requests a second than it tolerates,
// summed over all entry hosts. The hosts divide that rate without talking: if
// it is at least one request a second for each host, every host has an equal
// part; otherwise a few hosts, chosen for each instance by rendezvous hashing,
// have one request a second each and the others none.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "gen/types.h"

namespace jujube::steering {

// Least time between two requests of this host to the cold instance; nothing if
// it may send none. `hosts` are all entry hosts that may be sending, this one
// included or not. Without a bound the time is zero.
std::optional<std::chrono::nanoseconds> ColdSpacing(
    std::uint32_t requests_per_1000s,
    std::uint64_t instance_hash,
    const HostId& self,
    const std::vector<HostId>& hosts);

}  // namespace jujube::steering
