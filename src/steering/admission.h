// DecideAdmission: accepts or refuses a request before it is claimed and before
// an upstream is selected.
//
//   const SlotTotals slots = CountSlots(*service, now);
//   const AdmissionAnswer answer = DecideAdmission({...});
//   if (answer != AdmissionAnswer::kAdmitted)
//     ...503 with Jujube-Verdict: not-run and RetryAfter(answer)
//
// A request is refused before any byte of it leaves this host, so the verdict
// of a refusal is always not-run. Requests are not queued here: a caller that
// is refused immediately can still try another entry host before its deadline.
// src/overload decides who waits for room.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>

#include "gen/types.h"
#include "steering/candidate_collector.h"

namespace jujube::steering {

struct AdmissionInputs {
  bool m_is_host_draining = false;  // DrainPhase::kWaitingForRequests or later
  std::uint8_t m_priority = 5;      // Service::m_priority
  SlotTotals m_slots;               // CountSlots of the service
  std::uint32_t m_host_in_progress = 0;  // requests in progress, all services
  std::uint32_t m_host_cap = 0;          // total allotment of this host
  std::chrono::nanoseconds m_remaining{0};  // time until the deadline
  // The planned stop of this host leaves the request too little time.
  bool m_may_outlast_host = false;

  friend auto operator<=>(const AdmissionInputs&,
                          const AdmissionInputs&) = default;
};

enum class AdmissionAnswer : std::uint8_t {
  kAdmitted,
  kHostDraining,
  kDeadlinePassed,
  kNoUpstream,      // the service has no usable instance
  kSlotsTaken,      // all usable slots are in use
  kPriorityTooLow,  // no cap left for this priority
};

// Label of the metric jujube_requests_refused_total.
std::string_view ToString(AdmissionAnswer answer);

AdmissionAnswer DecideAdmission(const AdmissionInputs& inputs);

constexpr Verdict VerdictOf(AdmissionAnswer /*refusal*/) {
  return Verdict::kNotRun;
}

// Delay after which a caller with a time limit should retry: up to a third of
// `remaining`, at least 50 ms and at most 1 s, with jitter so that callers
// refused at the same time do not retry at the same time. `draw` is uniformly
// distributed over all values.
std::chrono::milliseconds SpreadRetryAfter(std::chrono::nanoseconds remaining,
                                           std::uint64_t draw);

// Delay after which a caller may retry at this host; zero means that it should
// try another host immediately.
std::chrono::seconds RetryAfter(AdmissionAnswer refusal);

}  // namespace jujube::steering
