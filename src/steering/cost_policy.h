// CostPolicy: selects the instance at which a request is expected to be
// complete first.
//
// Load pattern: an instance does a part of the work only for an object that it
// handled recently; some requests take many times the work; machines are slow
// for moments; each host sees an instance too rarely to know its queue.
//
// The first kPreferredCount instances in the rendezvous order of the object are
// compared by EstimateCost. The order makes an instance cheap for the objects
// that it knows, so affinity is part of the cost. If all of them are full,
// kOtherCount instances drawn at random are compared, as strangers to the
// object. The draw and a random weight of the waits keep hosts with the same
// view from choosing the same instance.
//
// A report makes an instance look worse than the mean of the service, never
// better: an instance that states to be idle attracts no requests, and requests
// leave the instance that knows their object only for a queue known to be long.
// The work that a request adds counts more the longer the queues of the service
// are, because others wait for it.
//
// A request without an object goes to the least utilized instance of the
// nearest tier, as with AffinityPolicy.

#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "steering/affinity_policy.h"
#include "steering/candidate.h"
#include "steering/cost_choice.h"
#include "steering/fast_random.h"
#include "steering/selection_context.h"
#include "steering/service_upstreams.h"

namespace jujube::steering {

class CostPolicy {
 public:
  static constexpr std::size_t kPreferredCount = 3;
  static constexpr std::size_t kOtherCount = 2;

  // Maximum load of an instance, running and queued requests, as a multiple of
  // its slots. More would probably be refused.
  static constexpr std::uint32_t kQueueFactor = 3;

  CostChoice Pick(const ServiceUpstreams& service,
                  const SelectionContext& context,
                  std::span<const Candidate> candidates,
                  FastRandom& random);

 private:
  struct Option {
    std::size_t m_position = 0;
    WorkForecast m_forecast;
    double m_rank = 0;  // microseconds; lowest first
  };
  struct Best {
    bool m_is_found = false;
    Option m_option;
  };

  static void Consider(const ServiceUpstreams& service,
                       const SelectionContext& context,
                       const Candidate& candidate,
                       Option option,
                       FastRandom& random,
                       Best& best);

  AffinityPolicy m_without_object;
};

}  // namespace jujube::steering
