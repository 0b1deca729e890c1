// SelectionPolicy: concept of a policy that chooses among candidates.
//
// A policy is owned by one worker thread and may have state. Pick receives at
// least one candidate and returns an index into the span, or the size of the
// span if no candidate should receive the request. Implementations:
//
//   RandomPolicy             uniform random
//   RoundRobinPolicy         in rotation
//   LeastConnectionsPolicy   fewest requests in progress of this host
//   TwoChoicesPolicy         the less utilized one of two random candidates
//   HeadroomLatencyPolicy    the default, uses the Weights of the deployment
//
// docs/steering.md compares them.

#pragma once

#include <concepts>
#include <cstddef>
#include <span>

#include "gen/deployment.h"
#include "steering/candidate.h"
#include "steering/fast_random.h"

namespace jujube::steering {

template <class P>
concept SelectionPolicy = requires(P& policy,
                                   std::span<const Candidate> candidates,
                                   const Weights& weights,
                                   FastRandom& random) {
  { policy.Pick(candidates, weights, random) } -> std::same_as<std::size_t>;
};

}  // namespace jujube::steering
