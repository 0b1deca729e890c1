// AffinityPolicy: the same instance for the same object, within bounded load.
//
// Load pattern: a service whose instances serve an object that they handled
// lately several times faster, and whose offered work without that gain exceeds
// its slots. Sending a request away from the instance that knows its object
// costs more than a short wait there, and under overload it feeds itself: each
// such request is slow and drives out an object that another one needs.
//
// A request goes to the first instance of the object's rendezvous order whose
// load is below kQueueFactor times its slots. All entry hosts compute the same
// order without talking to each other, and a change of the set moves only the
// objects of the instances concerned. Only the first kMaxRank instances are
// considered; if they are full, the request is refused at once. Requests
// without an object go to the least used instance of the nearest tier.

#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "gen/deployment.h"
#include "steering/candidate.h"
#include "steering/fast_random.h"

namespace jujube::steering {

class AffinityPolicy {
 public:
  // Requests that wait at an instance for each one that runs there. A known
  // object takes less than half of the target latency, so one round of waiting
  // still answers in time.
  static constexpr std::uint32_t kQueueFactor = 2;

  // Instances that share the requests for an object when the first are full.
  static constexpr std::size_t kMaxRank = 3;

  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& weights,
                   FastRandom& random);

 private:
  static std::size_t LeastUsed(std::span<const Candidate> candidates,
                               FastRandom& random);

  std::vector<std::size_t> m_order;  // kept to reuse its memory
};

}  // namespace jujube::steering
