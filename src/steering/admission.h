// DecideAdmission: whether a request is accepted at all, before a claim and
// before an upstream is selected.
//
//   const SlotTotals slots = CountSlots(*service, now);
//   const AdmissionAnswer answer = DecideAdmission({...});
//   if (answer != AdmissionAnswer::kAdmitted)
//     ...503 with Jujube-Verdict: not-run and RetryAfter(answer)
//
// Every refusal is made before any byte of the request leaves this host, so its
// verdict is always not run. Nothing waits in a queue: a caller that hears "no"
// at once can ask another entry host within its deadline.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>

#include "gen/types.h"
#include "steering/candidate_collector.h"

namespace jujube::steering {

struct AdmissionFacts {
  bool m_is_host_draining = false;  // DrainPhase::kWaitingForRequests or later
  std::uint8_t m_priority = 5;      // Service::m_priority
  SlotTotals m_slots;               // of the service, CountSlots
  std::uint32_t m_host_in_progress = 0;     // requests of all services
  std::uint32_t m_host_cap = 0;             // allotments of this host in total
  std::chrono::nanoseconds m_remaining{0};  // until the deadline

  friend auto operator<=>(const AdmissionFacts&,
                          const AdmissionFacts&) = default;
};

enum class AdmissionAnswer : std::uint8_t {
  kAdmitted,
  kHostDraining,
  kDeadlinePassed,
  kNoUpstream,      // no instance of the service may be used
  kSlotsTaken,      // every usable slot of the service is taken
  kPriorityTooLow,  // the rest of the cap is kept for higher priorities
};

// Label of the metric jujube_requests_refused_total.
std::string_view ToString(AdmissionAnswer answer);

AdmissionAnswer DecideAdmission(const AdmissionFacts& facts);

// Verdict of a refusal.
constexpr Verdict VerdictOf(AdmissionAnswer /*refusal*/) {
  return Verdict::kNotRun;
}

// When a caller may ask this host again; zero: at once, at another host.
// When a caller whose rule has a time limit should come back: well within the
// time that it has left, and spread, so that callers who were refused together
// do not return together. `draw` is uniform over all values.
std::chrono::milliseconds SpreadRetryAfter(std::chrono::nanoseconds left,
                                           std::uint64_t draw);

std::chrono::seconds RetryAfter(AdmissionAnswer refusal);

}  // namespace jujube::steering
