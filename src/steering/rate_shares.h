// Division of the rate limits of instances among the entry hosts.

#pragma once

#include <cstddef>

namespace jujube::steering {

struct UpstreamView;

// Gives this host an equal part of every limit. Instances without a limit get
// theirs too, since a response may state one at any time.
void SetEqualRateShares(const UpstreamView& view, std::size_t hosts);

}  // namespace jujube::steering
