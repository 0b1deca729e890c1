#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "request/attempt.h"
#include "request/failure_decision.h"
#include "unit/property.h"

namespace jujube::request {
namespace {

Attempt After(const std::vector<AttemptEvent>& events, bool is_reused = false) {
  Attempt attempt{.m_is_reused_connection = is_reused};
  for (const AttemptEvent event : events)
    attempt = Next(attempt, event);
  return attempt;
}

using enum AttemptEvent;

TEST(Attempt, VerdictFollowsTheFirstByteAndTheWholeAnswer) {
  EXPECT_EQ(VerdictOf(After({})), Verdict::kNotRun);
  EXPECT_EQ(VerdictOf(After({kSendStarted})), Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictOf(After({kSendStarted, kSent})), Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictOf(After({kSendStarted, kSent, kHead})),
            Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictOf(After({kSendStarted, kSent, kHead, kAnswerEnd})),
            Verdict::kRan);
  EXPECT_EQ(VerdictOf(After({kSendStarted, kHeadNotStarted})),
            Verdict::kNotRun);
}

// Guards against a second run: the upstream may close an idle connection after
// the kernel took the request.
TEST(Attempt, FailedWriteOnAReusedConnectionMayHaveRun) {
  EXPECT_EQ(VerdictOf(After({kSendStarted, kNothingWritten}, true)),
            Verdict::kMayHaveRun);
  EXPECT_EQ(VerdictOf(After({kSendStarted, kNothingWritten}, false)),
            Verdict::kNotRun);
  EXPECT_EQ(VerdictOf(After({kSendStarted, kSent, kNothingWritten}, false)),
            Verdict::kMayHaveRun);
}

// Guards against a refusal that is believed although the answer reports work.
TEST(Attempt, NotStartedIsBelievedFromErrorsOnly) {
  EXPECT_TRUE(SaysNotStarted(503, "no"));
  EXPECT_FALSE(SaysNotStarted(200, "no"));
  EXPECT_FALSE(SaysNotStarted(503, ""));
  EXPECT_FALSE(SaysNotStarted(503, "yes"));
}

// Guards against "not run" for a request of which a byte got out: from then on
// only a refusal by the upstream brings the verdict back.
TEST(Attempt, NotRunNeedsNoByteOrARefusal) {
  const bool holds = CheckWithSeed(12, [] {
    const auto numbers =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    Attempt attempt{.m_is_reused_connection = true};
    bool is_out = false;
    bool is_refused = false;
    for (const int number : numbers) {
      const auto event = static_cast<AttemptEvent>(number);
      is_out = is_out || event == kSendStarted;
      is_refused = is_refused || (is_out && event == kHeadNotStarted);
      attempt = Next(attempt, event);
      if (is_out && !is_refused)
        RC_ASSERT(VerdictOf(attempt) != Verdict::kNotRun);
    }
  });
  EXPECT_TRUE(holds);
}

TEST(Verdict, CombinationKeepsTheStrongerStatement) {
  EXPECT_EQ(Combine(Verdict::kNotRun, Verdict::kNotRun), Verdict::kNotRun);
  EXPECT_EQ(Combine(Verdict::kMayHaveRun, Verdict::kNotRun),
            Verdict::kMayHaveRun);
  EXPECT_EQ(Combine(Verdict::kMayHaveRun, Verdict::kRan), Verdict::kRan);
}

// Guards against a late answer on a kept connection reaching another request.
TEST(FailureDecision, ConnectionIsClosedUnlessTheRefusalIsWhole) {
  const Attempt sent = After({kSendStarted, kSent});
  for (const auto failure :
       {AttemptFailure::kTimeout, AttemptFailure::kCallerGone,
        AttemptFailure::kAnswerCut, AttemptFailure::kWriteFailed})
    EXPECT_EQ(Decide(sent, failure, false).m_connection, ConnectionUse::kClose);
  const Attempt refused = After({kSendStarted, kSent, kHeadNotStarted});
  EXPECT_EQ(Decide(refused, AttemptFailure::kNotStarted, false).m_connection,
            ConnectionUse::kKeep);
}

// Guards against a cut answer that passes as complete.
TEST(FailureDecision, ForwardedAnswerIsAbortedAndNotRetried) {
  const Attempt attempt = After({kSendStarted, kSent, kHead});
  const auto decision = Decide(attempt, AttemptFailure::kAnswerCut, true);
  EXPECT_EQ(decision.m_answer, CallerAnswer::kAbort);
  EXPECT_FALSE(decision.m_may_retry);
  EXPECT_EQ(decision.m_verdict, Verdict::kMayHaveRun);
}

// Guards against work for nobody, and against an ejection for a caller's fault.
TEST(FailureDecision, NothingIsRetriedAfterTheDeadlineOrTheCaller) {
  EXPECT_FALSE(Decide({}, AttemptFailure::kTimeout, false).m_may_retry);
  const auto gone = Decide({}, AttemptFailure::kCallerGone, false);
  EXPECT_FALSE(gone.m_may_retry);
  EXPECT_FALSE(gone.m_counts_as_failure);
  const auto unreachable = Decide({}, AttemptFailure::kConnectFailed, false);
  EXPECT_TRUE(unreachable.m_may_retry);
  EXPECT_TRUE(unreachable.m_counts_as_failure);
  EXPECT_EQ(unreachable.m_verdict, Verdict::kNotRun);
}

}  // namespace
}  // namespace jujube::request
