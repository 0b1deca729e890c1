// Observation: what this host knows of an instance from its own requests.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jujube::steering {

// How an attempt ended, as far as the instance is concerned.
enum class Outcome : std::uint8_t {
  kSuccess,  // a whole answer with a status below 500
  kFailure,  // FailureDecision::m_counts_as_failure, or a status from 500 on
  kShed,     // refused without a start: the instance is full
  kUnreachable,  // a connection was neither taken nor refused
  kGone,         // another instance answers at its address
};

struct Observation {
  std::uint32_t m_in_progress = 0;  // requests of this host at the instance
  std::optional<std::chrono::nanoseconds> m_latency;  // of successes
  std::uint32_t m_failure_permille = 0;               // recent failures
  std::uint32_t m_shed_permille = 0;                  // recent refusals
  std::uint32_t m_failures_in_row = 0;  // since the last success, weighted
  std::uint32_t m_outcomes = 0;         // since the last ejection
  MonoTime m_last_outcome;              // epoch: none yet
  MonoTime m_ejected_until;             // epoch: never ejected
  MonoTime m_gone_until;                // epoch: never gone
  MonoTime m_drain_ended;               // epoch: never drained
  std::uint32_t m_others = 0;          // requests of other hosts, by its report
  MonoTime m_others_at;                // time of that report; epoch: none
  std::uint32_t m_ejection_count = 0;  // lengthens the backoff

  friend auto operator<=>(const Observation&, const Observation&) = default;
};

}  // namespace jujube::steering
