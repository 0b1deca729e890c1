// AffinityPolicy: rendezvous hashing with bounded loads.
//
// Load pattern: an instance serves an object several times faster if it handled
// that object recently, and without this speedup the offered load exceeds the
// slots of the service. Sending a request to another instance then costs more
// than a short wait in the queue. Under overload the effect reinforces itself:
// each diverted request is slow and evicts an object that another one needs.
//
// A request goes to the first instance in the rendezvous order of its object
// whose load is below kQueueFactor times its slots. All entry hosts compute the
// same order without communication, and adding or removing an instance moves
// only the objects of that instance. Only the first kMaxInstancesPerObject
// instances are considered; if they are all full, the request is refused
// immediately. A request without an object goes to the least utilized instance
// of the nearest tier.

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
  // Maximum load of an instance, running and queued requests, as a multiple of
  // its slots. A cached object takes less than half of the target latency, so a
  // request that waits for one other request still meets the target.
  static constexpr std::uint32_t kQueueFactor = 2;

  // Number of instances that may serve one object if the preferred ones are
  // full.
  static constexpr std::size_t kMaxInstancesPerObject = 3;

  std::size_t Pick(std::span<const Candidate> candidates,
                   const Weights& weights,
                   FastRandom& random);

 private:
  static std::size_t PickLeastUtilized(std::span<const Candidate> candidates,
                                       FastRandom& random);

  std::vector<std::size_t> m_ranking;  // member to reuse its memory
};

}  // namespace jujube::steering
