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
// A policy that needs more than the candidates gets the service and the context
// of the selection, and returns a CostChoice:
//
//   CostPolicy               least expected time until the response
//
// docs/steering.md compares them.

#pragma once

#include <concepts>
#include <cstddef>
#include <span>

#include "gen/deployment.h"
#include "steering/candidate.h"
#include "steering/cost_choice.h"
#include "steering/fast_random.h"
#include "steering/selection_context.h"
#include "steering/service_upstreams.h"

namespace jujube::steering {

template <class P>
concept CandidatePolicy = requires(P& policy,
                                   std::span<const Candidate> candidates,
                                   const Weights& weights,
                                   FastRandom& random) {
  { policy.Pick(candidates, weights, random) } -> std::same_as<std::size_t>;
};

template <class P>
concept ServicePolicy = requires(P& policy,
                                 const ServiceUpstreams& service,
                                 const SelectionContext& context,
                                 std::span<const Candidate> candidates,
                                 FastRandom& random) {
  {
    policy.Pick(service, context, candidates, random)
    } -> std::same_as<CostChoice>;
};

template <class P>
concept SelectionPolicy = CandidatePolicy<P> || ServicePolicy<P>;

}  // namespace jujube::steering
