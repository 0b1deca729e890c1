#include "request/failure_decision.h"

namespace jujube::request {
namespace {

CallerAnswer ChooseCallerAnswer(AttemptFailure failure,
                                bool is_head_forwarded) {
  if (failure == AttemptFailure::kCallerDisconnected)
    return CallerAnswer::kNothing;
  if (is_head_forwarded)
    return CallerAnswer::kAbort;
  switch (failure) {
    case AttemptFailure::kTimeout:
      return CallerAnswer::kTimeout;
    case AttemptFailure::kConnectFailed:
    case AttemptFailure::kNotStarted:
      return CallerAnswer::kUnavailable;
    case AttemptFailure::kWriteFailed:
    case AttemptFailure::kResponseTruncated:
    case AttemptFailure::kCallerDisconnected:
      break;
  }
  return CallerAnswer::kBadGateway;
}

}  // namespace

FailureDecision DecideOnFailure(const Attempt& attempt,
                                AttemptFailure failure,
                                bool is_head_forwarded) {
  const bool is_refusal = failure == AttemptFailure::kNotStarted &&
                          attempt.m_state == AttemptState::kNotStarted;
  // A retry is useless once the caller has stopped waiting.
  const bool is_caller_done = failure == AttemptFailure::kTimeout ||
                              failure == AttemptFailure::kCallerDisconnected;
  return {
      .m_verdict = VerdictOf(attempt),
      .m_connection =
          is_refusal ? ConnectionAction::kKeep : ConnectionAction::kClose,
      .m_answer = ChooseCallerAnswer(failure, is_head_forwarded),
      .m_may_retry = !is_caller_done && !is_head_forwarded,
      .m_counts_as_failure = failure != AttemptFailure::kCallerDisconnected &&
                             failure != AttemptFailure::kNotStarted};
}

}  // namespace jujube::request
