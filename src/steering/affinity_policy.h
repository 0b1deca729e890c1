// AffinityPolicy: the same instance for the same object, within its room.
//
// An instance that handled an object lately serves it much faster, so a request
// goes to the first instance of the object's rendezvous order that has a free
// slot. All entry hosts compute the same order without talking to each other,
// and a change of the set moves only the objects of the instances concerned. If
// every instance looks full, the least used one gets the request. Requests
// without an object go to the least used one of the nearest tier.

#pragma once

#include <cstddef>
#include <span>

#include "gen/deployment.h"
#include "steering/candidate.h"
#include "steering/fast_random.h"

namespace jujube::steering {

class AffinityPolicy {
 public:
  static std::size_t Pick(std::span<const Candidate> candidates,
                          const Weights& weights,
                          FastRandom& random);
};

}  // namespace jujube::steering
