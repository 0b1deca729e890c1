// FailureDecision: what the front end does after a failed attempt.
//
//   const FailureDecision decision =
//       DecideOnFailure(attempt, AttemptFailure::kTimeout, is_head_forwarded);
//   close the connection or return it to the pool  <- m_connection
//   if (decision.m_may_retry)
//     ask steering::DecideRetry whether to retry
//   else
//     answer the caller                            <- m_answer, and the
//                                                     combined verdict
//
// | failure                  | unsent    | sending started | head forwarded
// |--------------------------|-----------|-----------------|---------------
// | connect, write, cut off  | not run   | may have run    | may have run
// |                          | may retry | may retry       | abort
// | timeout                  | not run   | may have run    | may have run
// |                          | 504       | 504             | abort
// | caller gone              | not run   | may have run    | may have run
// |                          | nothing   | nothing         | nothing
// | not started (refusal)    |           | not run         |
// |                          |           | may retry       |
//
// Unsent: before kSendStarted, or after kNothingWritten on a new connection.
// After the end of the response, the verdict is "ran" in all rows; after a
// refusal, it stays "not run", also if the refusal is cut off.

#pragma once

#include <compare>
#include <cstdint>

#include "gen/types.h"
#include "request/attempt.h"

namespace jujube::request {

enum class AttemptFailure : std::uint8_t {
  kConnectFailed,       // no connection was established
  kWriteFailed,         // report kNothingWritten first if no byte was written
  kResponseTruncated,   // the response is malformed or ended early
  kTimeout,             // the deadline passed
  kCallerDisconnected,  // the caller closed its connection
  kNotStarted,  // the upstream refused the request: kResponseHeadNotStarted
};

enum class ConnectionAction : std::uint8_t {
  kClose,  // a late response on it could be taken for one to another request
  kKeep,   // read the refusal to its end, then return it to the pool
};

enum class CallerAnswer : std::uint8_t {
  kUnavailable,  // 503: refused or unreachable
  kBadGateway,   // 502: the write failed or the response is unusable
  kTimeout,      // 504: no response before the deadline
  kAbort,        // close the caller's connection without ending the response,
                 // so that a truncated response cannot pass as complete
  kNothing,      // the caller has disconnected
};

struct FailureDecision {
  Verdict m_verdict = Verdict::kMayHaveRun;  // of this attempt
  ConnectionAction m_connection = ConnectionAction::kClose;
  CallerAnswer m_answer = CallerAnswer::kBadGateway;  // if it is not retried
  bool m_may_retry = false;          // the failure itself permits a retry
  bool m_counts_as_failure = false;  // as steering::Outcome::kFailure; a
                                     // refusal counts as kShed instead

  friend auto operator<=>(const FailureDecision&,
                          const FailureDecision&) = default;
};

// `is_head_forwarded`: part of the response has been sent to the caller.
FailureDecision DecideOnFailure(const Attempt& attempt,
                                AttemptFailure failure,
                                bool is_head_forwarded);

}  // namespace jujube::request
