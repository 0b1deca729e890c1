// Candidate: an eligible instance, as a selection policy sees it.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "steering/upstream.h"

namespace jujube::steering {

struct Candidate {
  std::size_t m_index = 0;          // index in ServiceUpstreams::m_upstreams
  Tier m_tier = Tier::kRemote;      // distance from this host
  std::uint32_t m_in_progress = 0;  // requests of this host
  std::uint32_t m_limit = 0;        // usable slots, reduced by slow start
  std::uint32_t m_slots = 0;        // announced slots
  std::uint32_t m_others_in_progress = 0;  // of other hosts, if reported
  double m_affinity_score = 0;  // for the object, higher first; 0: no object
  bool m_is_cold = false;       // its request rate is limited
  std::uint32_t m_utilization_permille = 0;  // from EstimateUtilization
  std::uint32_t m_ramp_permille = 1000;      // slow start; 1000: complete
  std::uint32_t m_failure_permille = 0;      // recent failures
  std::int64_t m_latency_us = 0;  // round trip plus service time, if known

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

}  // namespace jujube::steering
