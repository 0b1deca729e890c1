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

RetryAnswer DecideRetry(const RetryInputs& inputs,
                        std::uint16_t budget_permille,
                        RetryBudget& budget) {
  if (inputs.m_verdict != Verdict::kNotRun && !inputs.m_is_repeatable)
    return RetryAnswer::kMayHaveRun;
  if (inputs.m_is_forwarded)
    return RetryAnswer::kOtherLayer;
  if (inputs.m_attempts >= inputs.m_max_attempts)
    return RetryAnswer::kAttemptsSpent;
  if (inputs.m_remaining <= inputs.m_expected_latency)
    return RetryAnswer::kDeadline;
  // Checked last, so that a retry which is denied for another reason takes no
  // token.
  return budget.TryWithdraw(budget_permille) ? RetryAnswer::kRetry
                                             : RetryAnswer::kBudgetSpent;
}

}  // namespace jujube::steering
