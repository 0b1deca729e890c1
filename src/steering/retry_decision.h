// DecideRetry: decides whether a failed attempt of a request is retried.
//
//   const auto failed = request::DecideOnFailure(attempt, failure,
//   head_forwarded); if (failed.m_may_retry) {
//     const RetryAnswer answer = DecideRetry({...}, permille, *budget);
//     if (answer == RetryAnswer::kRetry)
//       ...Select again, with the instance added to m_tried; if no other
//          instance has a slot, respond to the caller: an instance is not
//          tried twice
//   }
//
// Retries happen in this layer only: an entry host does not retry a request
// that another entry host forwarded to it, and stub callers do not rely on
// more.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>

#include "gen/deployment.h"
#include "gen/types.h"
#include "steering/retry_budget.h"

namespace jujube::steering {

// The first attempt and two retries: after three failed instances the cause is
// rarely an instance.
inline constexpr std::uint32_t kMaxAttempts = 3;

struct RetryInputs {
  Verdict m_verdict = Verdict::kMayHaveRun;  // over all attempts so far
  bool m_is_repeatable = false;              // IsRepeatable(service, method)
  bool m_is_forwarded = false;               // received from another entry host
  std::uint32_t m_attempts = 1;              // attempts so far
  std::uint32_t m_max_attempts = kMaxAttempts;
  std::chrono::nanoseconds m_remaining{0};         // time until the deadline
  std::chrono::nanoseconds m_expected_latency{0};  // of the service

  friend auto operator<=>(const RetryInputs&, const RetryInputs&) = default;
};

enum class RetryAnswer : std::uint8_t {
  kRetry,          // one token was taken from the budget
  kMayHaveRun,     // a non-repeatable request may have run
  kOtherLayer,     // only the entry host that forwarded it may retry
  kAttemptsSpent,  // m_max_attempts reached
  kDeadline,       // too little time before the deadline
  kBudgetSpent,    // the retry budget of the service is exhausted
};

// Label of the metric jujube_retries_denied_total.
std::string_view ToString(RetryAnswer answer);

// True if the service allows requests with this method to run twice.
bool IsRepeatable(const Service& service, std::string_view method);

// `budget_permille` is Service::m_retry_budget_permille.
RetryAnswer DecideRetry(const RetryInputs& inputs,
                        std::uint16_t budget_permille,
                        RetryBudget& budget);

}  // namespace jujube::steering
