// FailureDecision: what the front end does when an attempt fails.
//
//   const FailureDecision decision =
//       Decide(attempt, AttemptFailure::kTimeout, head_was_forwarded);
//   close or return the connection  <- m_connection
//   if (decision.m_may_retry)       <- then steering::DecideRetry has the word
//     ...
//   else answer the caller          <- m_answer, with Combine'd verdict
//
// | failure       | before the first byte | afterwards         | head forwarded
// | | ------------- | --------------------- | ------------------ |
// -------------- | | connect, write| not run, retry        | may have run |
// abort          | | answer cut    | not run, retry        | may have run |
// abort          | | timeout       | not run, no retry     | may have run |
// abort          | | caller gone   | not run, nothing      | may have run |
// nothing        | | not started   |                       | not run, retry | |

#pragma once

#include <compare>
#include <cstdint>

#include "gen/types.h"
#include "request/attempt.h"

namespace jujube::request {

enum class AttemptFailure : std::uint8_t {
  kConnectFailed,  // no connection
  kWriteFailed,    // report kNothingWritten first if no byte was taken over
  kAnswerCut,      // the connection ended or was malformed before the end
  kTimeout,        // the deadline passed
  kCallerGone,     // the caller closed its connection
  kNotStarted,     // the upstream refused: a head with kHeadNotStarted
};

enum class ConnectionUse : std::uint8_t {
  kClose,  // a late answer on it could reach another request
  kKeep,   // read the refusal to its end, then return it to the pool
};

enum class CallerAnswer : std::uint8_t {
  kUnavailable,  // 503: refused or unreachable
  kBadGateway,   // 502: the answer is unusable
  kTimeout,      // 504: no answer in time
  kAbort,        // close the caller's connection without a proper end, so that
                 // the part that it holds cannot pass as complete
  kNothing,      // nobody is left to answer
};

struct FailureDecision {
  Verdict m_verdict = Verdict::kMayHaveRun;  // of this attempt
  ConnectionUse m_connection = ConnectionUse::kClose;
  CallerAnswer m_answer = CallerAnswer::kBadGateway;  // if it is not retried
  bool m_may_retry = false;          // nothing here speaks against a retry
  bool m_counts_as_failure = false;  // as steering::Outcome::kFailure; a
                                     // refusal counts as kShed instead

  friend auto operator<=>(const FailureDecision&,
                          const FailureDecision&) = default;
};

// `is_head_forwarded`: the caller has received a byte of the answer.
FailureDecision Decide(const Attempt& attempt,
                       AttemptFailure failure,
                       bool is_head_forwarded);

}  // namespace jujube::request
