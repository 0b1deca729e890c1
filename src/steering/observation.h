// Observation: measurements of an instance from the requests of this host.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jujube::steering {

// Result of an attempt, for the statistics of its instance.
enum class Outcome : std::uint8_t {
  kSuccess,      // a complete response with a status below 500
  kFailure,      // FailureDecision::m_counts_as_failure, or a status >= 500
  kShed,         // refused before execution: the instance is full
  kUnreachable,  // the connect attempt timed out
  kGone,         // another instance responds at its address
};

struct Observation {
  std::uint32_t m_in_progress = 0;                    // requests of this host
  std::optional<std::chrono::nanoseconds> m_latency;  // average of successes
  std::uint32_t m_failure_permille = 0;               // average of failures
  std::uint32_t m_shed_permille = 0;                  // average of refusals
  std::uint32_t m_consecutive_failures = 0;  // weighted, since the last success
  std::uint32_t m_connect_timeouts = 0;      // of these failures, unweighted
  std::uint32_t m_outcome_count = 0;         // since the last ejection
  MonoTime m_last_outcome_at;                // epoch: none yet
  MonoTime m_ejected_until;                  // epoch: never ejected
  MonoTime m_replaced_until;                 // epoch: never replaced
  MonoTime m_drain_ended_at;                 // epoch: never drained
  std::uint32_t m_others_in_progress = 0;    // of other hosts, as reported
  MonoTime m_others_reported_at;             // time of that report; epoch: none
  std::uint32_t m_ejection_count = 0;        // exponent of the backoff
  bool m_is_leaving = false;                 // as a response stated
  MonoTime m_paused_until;                   // as a response stated

  friend auto operator<=>(const Observation&, const Observation&) = default;
};

// True if the instance is neither ejected nor replaced and has not stated in a
// response that it is leaving or wants no requests now. What it announces is
// not considered.
inline bool IsUsable(const Observation& observation, MonoTime now) {
  return !observation.m_is_leaving && now >= observation.m_paused_until &&
         now >= observation.m_ejected_until &&
         now >= observation.m_replaced_until;
}

}  // namespace jujube::steering
