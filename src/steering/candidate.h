// Candidate: an instance that may get the request, as policies see it.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "steering/upstream.h"

namespace jujube::steering {

struct Candidate {
  std::size_t m_index = 0;          // in ServiceUpstreams::m_upstreams
  Tier m_tier = Tier::kRemote;      // distance from this host
  std::uint32_t m_in_progress = 0;  // requests of this host, below m_limit
  std::uint32_t m_limit = 0;        // slots usable now, after the ramp
  std::uint32_t m_slots = 0;        // that the instance has
  std::uint32_t m_others = 0;       // requests of other hosts, if known
  double m_affinity = 0;   // rank for the object, higher first; 0: no object
  bool m_is_cold = false;  // slow, and bounded in its rate
  std::uint32_t m_use_permille = 0;      // EstimateUse
  std::uint32_t m_ramp_permille = 1000;  // 1000: warm
  std::uint32_t m_failure_permille = 0;  // recent failures
  std::int64_t m_latency_us = 0;  // there and back, with service time if known

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

}  // namespace jujube::steering
