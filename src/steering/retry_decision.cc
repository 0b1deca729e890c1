#include "steering/retry_decision.h"

#include <algorithm>

namespace jujube::steering {

std::string_view ToString(RetryAnswer answer) {
  switch (answer) {
    case RetryAnswer::kRetry:
      return "retry";
    case RetryAnswer::kMayHaveRun:
      return "may_have_run";
    case RetryAnswer::kOtherLayer:
      return "other_layer";
    case RetryAnswer::kAttemptsSpent:
      return "attempts_spent";
    case RetryAnswer::kDeadline:
      return "deadline";
    case RetryAnswer::kBudgetSpent:
      return "budget_spent";
  }
  return "unknown";
}

bool IsRepeatable(const Service& service, std::string_view method) {
  const auto& methods = service.m_non_repeatable_methods;
  return std::find(methods.begin(), methods.end(), method) == methods.end();
}

RetryAnswer DecideRetry(const RetryFacts& facts,
                        std::uint16_t permille,
                        RetryBudget& budget) {
  if (facts.m_verdict != Verdict::kNotRun && !facts.m_is_repeatable)
    return RetryAnswer::kMayHaveRun;
  if (facts.m_is_forwarded)
    return RetryAnswer::kOtherLayer;
  if (facts.m_attempts >= facts.m_max_attempts)
    return RetryAnswer::kAttemptsSpent;
  if (facts.m_remaining <= facts.m_expected)
    return RetryAnswer::kDeadline;
  // Last, so that a retry which is not made takes no token.
  return budget.TryWithdraw(permille) ? RetryAnswer::kRetry
                                      : RetryAnswer::kBudgetSpent;
}

}  // namespace jujube::steering
