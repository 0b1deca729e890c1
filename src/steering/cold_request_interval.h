// ColdRequestInterval: limits the request rate of an entry host to a cold
// instance.
//
// A cold instance fails under a total request rate, over all entry hosts, that
// is above its tolerance. The hosts divide this rate without communication: if
// it allows at least one request per second for each host, every host has an
// equal share; otherwise a few hosts, chosen for each instance by rendezvous
// hashing, may send one request per second each and the others none.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "gen/types.h"

namespace jujube::steering {

// Minimum interval between two requests of this host to the cold instance;
// empty if the host may send none, zero if the rate is unlimited
// (`requests_per_1000s` is 0). `hosts` are all entry hosts that may send
// requests; it does not matter whether `self` is among them.
std::optional<std::chrono::nanoseconds> ColdRequestInterval(
    std::uint32_t requests_per_1000s,
    std::uint64_t instance_hash,
    const HostId& self,
    const std::vector<HostId>& hosts);

}  // namespace jujube::steering
