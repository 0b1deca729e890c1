#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "request/attempt.h"
#include "request/failure_decision.h"
#include "unit/property.h"

namespace jujube::request {
namespace {

Attempt AttemptAfter(const std::vector<AttemptEvent>& events,
                     bool is_reused = false) {
  Attempt attempt{.m_is_reused_connection = is_reused};
  for (const AttemptEvent event : events)
    attempt = ApplyEvent(attempt, event);
  return attempt;
}

using enum AttemptEvent;

TEST(Attempt, VerdictFollowsTheFirstByteAndTheWholeAnswer) {
  EXPECT_EQ(VerdictOf(AttemptAfter({})), Verdict::kNotRun);
  EXPECT_EQ(VerdictOf(AttemptAfter({kSendStarted})), Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictOf(AttemptAfter({kSendStarted, kSent})),
            Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictOf(AttemptAfter({kSendStarted, kSent, kResponseHead})),
            Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictOf(AttemptAfter(
                {kSendStarted, kSent, kResponseHead, kResponseComplete})),
            Verdict::kRan);
  EXPECT_EQ(VerdictOf(AttemptAfter({kSendStarted, kResponseHeadNotStarted})),
            Verdict::kNotRun);
}

// Guards against running a request twice: the upstream may close a reused
// connection after the kernel accepted the request.
TEST(Attempt, FailedWriteOnAReusedConnectionMayHaveRun) {
  EXPECT_EQ(VerdictOf(AttemptAfter({kSendStarted, kNothingWritten}, true)),
            Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictOf(AttemptAfter({kSendStarted, kNothingWritten}, false)),
            Verdict::kNotRun);
  EXPECT_EQ(
      VerdictOf(AttemptAfter({kSendStarted, kSent, kNothingWritten}, false)),
      Verdict::kMayHaveRun);
}

// Guards against accepting "not started" from a response that is not an error.
TEST(Attempt, NotStartedIsAcceptedFromErrorStatusesOnly) {
  EXPECT_TRUE(IsNotStarted(503, "no"));
  EXPECT_FALSE(IsNotStarted(200, "no"));
  EXPECT_FALSE(IsNotStarted(503, ""));
  EXPECT_FALSE(IsNotStarted(503, "yes"));
}

// Guards against "not run" for a request of which a byte may have been sent:
// from then on only a refusal by the upstream makes the verdict "not run"
// again.
TEST(Attempt, NotRunRequiresNoByteSentOrARefusal) {
  const bool is_property_true = CheckWithSeed(12, [] {
    const auto event_numbers =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    Attempt attempt{.m_is_reused_connection = true};
    bool is_send_started = false;
    bool is_refused = false;
    for (const int number : event_numbers) {
      const auto event = static_cast<AttemptEvent>(number);
      is_send_started = is_send_started || event == kSendStarted;
      is_refused =
          is_refused || (is_send_started && event == kResponseHeadNotStarted);
      attempt = ApplyEvent(attempt, event);
      if (is_send_started && !is_refused)
        RC_ASSERT(VerdictOf(attempt) != Verdict::kNotRun);
    }
  });
  EXPECT_TRUE(is_property_true);
}

TEST(Verdict, CombineReturnsTheStrongerVerdict) {
  EXPECT_EQ(CombineVerdicts(Verdict::kNotRun, Verdict::kNotRun),
            Verdict::kNotRun);
  EXPECT_EQ(CombineVerdicts(Verdict::kMayHaveRun, Verdict::kNotRun),
            Verdict::kMayHaveRun);
  EXPECT_EQ(CombineVerdicts(Verdict::kMayHaveRun, Verdict::kRan),
            Verdict::kRan);
}

// Guards against reusing a connection on which a late response to the failed
// request could be taken for the response to another one.
TEST(FailureDecision, ConnectionIsClosedExceptAfterARefusal) {
  const Attempt sent = AttemptAfter({kSendStarted, kSent});
  for (const auto failure :
       {AttemptFailure::kTimeout, AttemptFailure::kCallerDisconnected,
        AttemptFailure::kResponseTruncated, AttemptFailure::kWriteFailed})
    EXPECT_EQ(DecideOnFailure(sent, failure, false).m_connection,
              ConnectionAction::kClose);
  const Attempt refused =
      AttemptAfter({kSendStarted, kSent, kResponseHeadNotStarted});
  EXPECT_EQ(
      DecideOnFailure(refused, AttemptFailure::kNotStarted, false).m_connection,
      ConnectionAction::kKeep);
}

// Guards against a truncated response that the caller takes for complete.
TEST(FailureDecision, ForwardedResponseIsAbortedAndNotRetried) {
  const Attempt attempt = AttemptAfter({kSendStarted, kSent, kResponseHead});
  const auto decision =
      DecideOnFailure(attempt, AttemptFailure::kResponseTruncated, true);
  EXPECT_EQ(decision.m_answer, CallerAnswer::kAbort);
  EXPECT_FALSE(decision.m_may_retry);
  EXPECT_EQ(decision.m_verdict, Verdict::kMayHaveRun);
}

// Guards against retries after the caller stopped waiting, and against ejecting
// an instance because a caller disconnected.
TEST(FailureDecision, NoRetryAfterTheDeadlineOrACallerDisconnect) {
  EXPECT_FALSE(
      DecideOnFailure({}, AttemptFailure::kTimeout, false).m_may_retry);
  const auto caller_gone =
      DecideOnFailure({}, AttemptFailure::kCallerDisconnected, false);
  EXPECT_FALSE(caller_gone.m_may_retry);
  EXPECT_FALSE(caller_gone.m_counts_as_failure);
  const auto unreachable =
      DecideOnFailure({}, AttemptFailure::kConnectFailed, false);
  EXPECT_TRUE(unreachable.m_may_retry);
  EXPECT_TRUE(unreachable.m_counts_as_failure);
  EXPECT_EQ(unreachable.m_verdict, Verdict::kNotRun);
}

}  // namespace
}  // namespace jujube::request
