// SelectionPolicy: the concept that chooses among candidates.
//
// A policy is owned by one worker thread and may keep state. Pick gets at least
// one candidate and returns a position in the span, or its size if none of them
// should get the request. Implementations:
//
//   RandomPolicy             any candidate
//   RoundRobinPolicy         one after the other
//   LeastConnectionsPolicy   fewest requests of this host
//   TwoChoicesPolicy         the less used one of two random candidates
//   HeadroomLatencyPolicy    the product's own, with the deployment's Weights
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
