// DecideRetry: whether a failed attempt of a request may be followed by
// another.
//
//   const auto failed = request::Decide(attempt, failure, head_forwarded);
//   if (failed.m_may_retry) {
//     const RetryAnswer answer = DecideRetry({...}, permille, *budget);
//     if (answer == RetryAnswer::kRetry)
//       ...Select again, with the instance added to m_tried; if no other
//          instance has a slot, answer the caller: the same one is not repeated
//   }
//
// Retries happen in this layer only: an entry host does not repeat a request
// that another one forwarded to it, and stub callers do not count on more.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>

#include "gen/deployment.h"
#include "gen/types.h"
#include "steering/retry_budget.h"

namespace jujube::steering {

// The first one and two more: after three failed instances the fault is rarely
// one of the instances.
inline constexpr std::uint32_t kMaxAttempts = 3;

struct RetryFacts {
  Verdict m_verdict = Verdict::kMayHaveRun;  // of all attempts so far
  bool m_is_repeatable = false;              // IsRepeatable of the method
  bool m_is_forwarded = false;   // arrived through another entry host
  std::uint32_t m_attempts = 1;  // made so far
  std::uint32_t m_max_attempts = kMaxAttempts;
  std::chrono::nanoseconds m_remaining{0};  // until the deadline
  std::chrono::nanoseconds m_expected{0};   // usual latency of the service

  friend auto operator<=>(const RetryFacts&, const RetryFacts&) = default;
};

enum class RetryAnswer : std::uint8_t {
  kRetry,          // a token of the budget was taken
  kMayHaveRun,     // a non-repeatable request may have run
  kOtherLayer,     // the entry host that forwarded it decides
  kAttemptsSpent,  // m_max_attempts were made
  kDeadline,       // the rest of the time is too short
  kBudgetSpent,    // too many retries of the service
};

// Label of the metric jujube_retries_denied_total.
std::string_view ToString(RetryAnswer answer);

// Whether the service allows requests of the method to run twice.
bool IsRepeatable(const Service& service, std::string_view method);

// `permille` is Service::m_retry_budget_permille.
RetryAnswer DecideRetry(const RetryFacts& facts,
                        std::uint16_t permille,
                        RetryBudget& budget);

}  // namespace jujube::steering
