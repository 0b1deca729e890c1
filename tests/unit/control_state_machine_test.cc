#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "config/digest.h"
#include "control/command.h"
#include "control/host_lease_monitor.h"
#include "control/proposal.h"
#include "control/snapshot.h"
#include "unit/sample_deployment.h"

namespace jujube::control {
namespace {

using jujube::testing::SampleDeployment;
using std::chrono::milliseconds;

constexpr std::uint64_t kStartMs = 1'700'000'000'000;

// A state machine with its last log index and the leader's clock.
struct StateMachineHarness {
  StateMachine m_state;
  std::uint64_t m_index = 0;
  std::uint64_t m_now_ms = kStartMs;

  template <class Message>
  CommandResult Commit(const Message& message) {
    const UnixMillis now(static_cast<UnixMillis::rep>(m_now_ms));
    return m_state.Apply(++m_index, MakeCommand(message, now)).value();
  }

  template <class Answer, class Message>
  Answer CommitForAnswer(const Message& message) {
    return std::get<Answer>(Commit(message).m_answer);
  }

  CommandResult Apply(const Deployment& document, const std::string& name) {
    const ApplyProposal proposal = PrepareApply(m_state, document, name);
    if (proposal.m_answer)
      return {.m_answer = *proposal.m_answer};
    return Commit(proposal.m_command);
  }

  ApplyAnswer ApplyForAnswer(const Deployment& document,
                             const std::string& name) {
    return std::get<ApplyAnswer>(Apply(document, name).m_answer);
  }

  ClaimOutcome Claim(const std::string& key,
                     const std::string& host = "e1",
                     std::uint64_t attempt = 1,
                     std::uint64_t incarnation = 1,
                     const std::string& digest = "d") {
    return CommitForAnswer<ClaimReply>(
               ClaimRequest{.m_host = {host},
                            .m_incarnation = incarnation,
                            .m_service = {"pumplog"},
                            .m_key = key,
                            .m_attempt = attempt,
                            .m_digest = digest})
        .m_outcome;
  }

  bool Finish(const std::string& key,
              Verdict verdict,
              const std::string& host = "e1",
              std::uint64_t attempt = 1) {
    return CommitForAnswer<ClaimFinishReply>(
               ClaimFinish{.m_host = {host},
                           .m_incarnation = 1,
                           .m_service = {"pumplog"},
                           .m_key = key,
                           .m_attempt = attempt,
                           .m_verdict = verdict,
                           .m_answer = StoredAnswer{.m_status = 201}})
        .m_accepted;
  }

  std::string MakeKey(const std::string& random = "a") const {
    return std::to_string(m_now_ms) + "-" + random;
  }
};

StateMachineHarness MakeHarness(
    const Deployment& document = SampleDeployment()) {
  StateMachineHarness harness;
  harness.Apply(document, "clerk");
  return harness;
}

std::vector<std::string> WriteSnapshot(const StateMachine& state) {
  SnapshotWriter writer(state);
  std::vector<std::string> pieces;
  while (auto piece = writer.NextPiece())
    pieces.push_back(std::move(*piece));
  return pieces;
}

TEST(ControlApply, DocumentNumberDeterminesOutcome) {
  StateMachineHarness harness = MakeHarness();
  const HistoryEntry first = harness.m_state.History().back();
  EXPECT_EQ(first.m_operator_name, "clerk");
  harness.m_now_ms += 1000;
  EXPECT_EQ(harness.ApplyForAnswer(SampleDeployment(5), "clerk").m_outcome,
            ApplyOutcome::kAccepted);
  // A resent document gets the first answer even if a newer one is in force.
  const ApplyAnswer resent =
      harness.ApplyForAnswer(SampleDeployment(), "other");
  EXPECT_EQ(resent.m_outcome, ApplyOutcome::kAccepted);
  EXPECT_EQ(resent.m_accepted, first);
  EXPECT_EQ(harness.ApplyForAnswer(SampleDeployment(3), "x").m_outcome,
            ApplyOutcome::kNumberTooLow);
  EXPECT_EQ(harness.m_state.Config().Document().m_number, 5U);
}

// Guards against reporting two documents with the same number as accepted, if
// both commands are prepared before either is committed.
TEST(ControlApply, EqualNumbersGiveOneWinner) {
  StateMachineHarness harness = MakeHarness();
  Deployment other = SampleDeployment(2);
  other.m_regions[0].m_max_in_progress = 7;
  const auto a = PrepareApply(harness.m_state, SampleDeployment(2), "ana");
  const auto b = PrepareApply(harness.m_state, other, "ben");
  EXPECT_EQ(harness.CommitForAnswer<ApplyAnswer>(a.m_command).m_outcome,
            ApplyOutcome::kAccepted);
  const auto conflict = harness.CommitForAnswer<ApplyAnswer>(b.m_command);
  EXPECT_EQ(conflict.m_outcome, ApplyOutcome::kConflict);
  EXPECT_EQ(conflict.m_accepted.m_operator_name, "ana");
  EXPECT_EQ(conflict.m_accepted.m_time, harness.m_now_ms);
  EXPECT_EQ(harness.CommitForAnswer<ApplyAnswer>(a.m_command).m_outcome,
            ApplyOutcome::kAccepted);
}

// Guards against merging a block difference into a document other than its
// base.
TEST(ControlApply, CommandOnAnOutdatedBaseChangesNothing) {
  StateMachineHarness harness = MakeHarness();
  Deployment third = SampleDeployment(3);
  third.m_blocks.pop_back();
  const auto outdated = PrepareApply(harness.m_state, third, "ana");
  Deployment second = SampleDeployment(2);
  second.m_blocks.push_back({"10.3.0.0/16", {"depot-1"}});
  harness.Apply(second, "ben");
  const FeedState before = harness.m_state.Feed();
  const CommandResult result = harness.Commit(outdated.m_command);
  EXPECT_EQ(std::get<ApplyAnswer>(result.m_answer).m_outcome,
            ApplyOutcome::kBaseChanged);
  EXPECT_FALSE(result.m_feed_changed);
  EXPECT_EQ(harness.m_state.Feed(), before);
  EXPECT_EQ(harness.ApplyForAnswer(third, "ana").m_outcome,
            ApplyOutcome::kAccepted);
  EXPECT_EQ(harness.m_state.Feed().m_deployment.m_blocks, third.m_blocks);
}

// Guards against applying a block difference that does not result in the
// submitted document.
TEST(ControlApply, MismatchedDigestIsRefused) {
  StateMachineHarness harness = MakeHarness();
  auto command =
      PrepareApply(harness.m_state, SampleDeployment(2), "ana").m_command;
  command.m_removed = {"10.1.0.0/16"};
  EXPECT_EQ(harness.CommitForAnswer<ApplyAnswer>(command).m_outcome,
            ApplyOutcome::kInvalid);
  EXPECT_EQ(harness.m_state.Config().Document().m_number, 1U);
}

TEST(ControlFeed, ChangeDescribesStepFromPreviousState) {
  StateMachineHarness harness = MakeHarness();
  const FeedState before = harness.m_state.Feed();
  Deployment next = SampleDeployment(2);
  next.m_blocks = {{"10.1.0.0/16", {"depot-2"}}};
  const FeedChange change = harness.Apply(next, "ana").m_change.value();
  EXPECT_EQ(change.m_previous_index, before.m_index);
  EXPECT_EQ(change.m_index, harness.m_state.Feed().m_index);
  EXPECT_EQ(change.m_upserted, next.m_blocks);
  EXPECT_EQ(change.m_removed, std::vector<std::string>{"10.2.0.0/16"});
  EXPECT_TRUE(change.m_deployment.m_blocks.empty());
}

// Guards against a change that exceeds the frame size. Subscribers need the
// snapshot instead.
TEST(ControlFeed, ChangeTooLargeForAFrameIsOmitted) {
  StateMachineHarness harness = MakeHarness();
  Deployment next = SampleDeployment(2);
  for (int i = 0; i <= 100000; ++i)
    next.m_blocks.push_back({"2001:" + std::to_string(i), {"depot-1"}});
  next = config::CanonicalDeployment(next);
  const ApplyCommand command{.m_base_index = harness.m_index,
                             .m_digest = config::DigestOf(next),
                             .m_deployment = SampleDeployment(2),
                             .m_upserted = next.m_blocks};
  const CommandResult result = harness.Commit(command);
  EXPECT_TRUE(result.m_feed_changed);
  EXPECT_FALSE(result.m_change);
  EXPECT_EQ(harness.m_state.Feed().m_deployment, next);
}

TEST(ControlDrain, NamesAreCheckedAndRepeatsChangeNothing) {
  StateMachineHarness harness = MakeHarness();
  DrainCommand drain{.m_drain = {DrainKind::kEntryHost, "e1"},
                     .m_active = true};
  const FeedChange change = harness.Commit(drain).m_change.value();
  EXPECT_EQ(change.m_drains, std::vector<Drain>{drain.m_drain});
  EXPECT_FALSE(harness.Commit(drain).m_feed_changed);
  const DrainCommand unknown{.m_drain = {DrainKind::kRegion, "nil"},
                             .m_active = true};
  EXPECT_EQ(harness.CommitForAnswer<DrainAnswer>(unknown).m_outcome,
            DrainOutcome::kUnknownName);
  drain.m_active = false;
  EXPECT_EQ(harness.CommitForAnswer<DrainAnswer>(drain).m_outcome,
            DrainOutcome::kChanged);
  EXPECT_TRUE(harness.m_state.Config().Drains().empty());
}

// Guards against granting a key to a second attempt. Only a resend by the same
// attempt is granted again, because the first reply may be lost.
TEST(ControlClaim, ResendsGetTheStoredAnswer) {
  StateMachineHarness harness = MakeHarness();
  const std::string key = harness.MakeKey();
  EXPECT_EQ(harness.Claim(key), ClaimOutcome::kGranted);
  EXPECT_EQ(harness.Claim(key), ClaimOutcome::kGranted);  // lost reply
  EXPECT_EQ(harness.Claim(key, "e1", 2), ClaimOutcome::kInProgress);
  EXPECT_EQ(harness.Claim(key, "e2"), ClaimOutcome::kInProgress);
  EXPECT_EQ(harness.Claim(key, "e2", 1, 1, "x"), ClaimOutcome::kConflict);
  EXPECT_FALSE(harness.Finish(key, Verdict::kRan, "e2"));
  EXPECT_TRUE(harness.Finish(key, Verdict::kRan));
  EXPECT_EQ(harness.Claim(key, "e2"), ClaimOutcome::kFinished);
}

// Guards against a delayed "not run" of an earlier attempt that releases the
// key while a later attempt runs.
TEST(ControlClaim, NotRunOfAnEarlierAttemptDoesNotFreeTheKey) {
  StateMachineHarness harness = MakeHarness();
  const std::string key = harness.MakeKey();
  harness.Claim(key);
  EXPECT_TRUE(harness.Finish(key, Verdict::kNotRun));
  EXPECT_EQ(harness.Claim(key, "e1", 2), ClaimOutcome::kGranted);
  EXPECT_FALSE(harness.Finish(key, Verdict::kNotRun));
  EXPECT_EQ(harness.Claim(key, "e2"), ClaimOutcome::kInProgress);
}

// Guards against granting a key again after its host was lost or restarted: the
// host may have dispatched the request before.
TEST(ControlClaim, ClaimOfAnEndedSessionMayHaveRun) {
  for (const bool restarted : {false, true}) {
    StateMachineHarness harness = MakeHarness();
    const std::string key = harness.MakeKey();
    harness.Claim(key);
    if (restarted) {
      harness.Claim(harness.MakeKey("other"), "e1", 1, 2);
    } else {
      harness.Commit(RenewCommand{.m_lost = {{{"e1"}, 1}}});
      harness.Claim(harness.MakeKey("other"), "e1", 9);  // registers again
    }
    EXPECT_EQ(harness.Claim(key, "e2"), ClaimOutcome::kMayHaveRun);
    EXPECT_FALSE(harness.Finish(key, Verdict::kNotRun));
    EXPECT_EQ(harness.Claim(key, "e2"), ClaimOutcome::kMayHaveRun);
    EXPECT_TRUE(harness.Finish(key, Verdict::kRan));
    EXPECT_EQ(harness.Claim(key, "e2"), ClaimOutcome::kFinished);
  }
}

// Guards against granting a key to an earlier incarnation of a host, to a
// removed host that has not restarted, or to a host that the document does not
// contain.
TEST(ControlClaim, StaleAndUnknownHostsAreRefused) {
  StateMachineHarness harness = MakeHarness();
  harness.Claim(harness.MakeKey(), "e1", 1, 5);
  EXPECT_EQ(harness.Claim(harness.MakeKey("b"), "e1", 1, 4),
            ClaimOutcome::kStaleHost);
  EXPECT_EQ(harness.Claim(harness.MakeKey("b"), "e9"),
            ClaimOutcome::kStaleHost);
  harness.Commit(RemoveHostCommand{.m_host = {"e1"}});
  EXPECT_EQ(harness.Claim(harness.MakeKey("b"), "e1", 1, 5),
            ClaimOutcome::kStaleHost);
  EXPECT_EQ(harness.Claim(harness.MakeKey("b"), "e1", 1, 6),
            ClaimOutcome::kGranted);
}

TEST(ControlClaim, MalformedKeysAndFullStoreAreRefused) {
  Deployment document = SampleDeployment();
  document.m_claims.m_max_claims = 2;
  StateMachineHarness harness = MakeHarness(document);
  for (const std::string key : {"", "abc", "12", "12-", "-a", "x1-a", "012-a"})
    EXPECT_EQ(harness.Claim(key), ClaimOutcome::kBadKey) << key;
  EXPECT_EQ(harness.Claim(std::to_string(kStartMs + kMaxCallerClockSkewMs + 1) +
                          "-a"),
            ClaimOutcome::kBadKey);
  harness.Claim(harness.MakeKey("a"));
  harness.Claim(harness.MakeKey("b"));
  EXPECT_EQ(harness.Claim(harness.MakeKey("c")), ClaimOutcome::kStoreFull);
}

// Guards against granting an evicted key again: because of its age, after the
// retention is raised, or under a leader whose clock is behind.
TEST(ControlClaim, EvictedKeysMayHaveRun) {
  Deployment document = SampleDeployment();
  document.m_claims.m_retention = milliseconds(10000);
  StateMachineHarness harness = MakeHarness(document);
  const std::string key = harness.MakeKey();
  harness.Claim(key);
  harness.Finish(key, Verdict::kRan);
  harness.m_now_ms += 10001;
  EXPECT_EQ(harness.Claim(key), ClaimOutcome::kMayHaveRun);
  EXPECT_TRUE(harness.m_state.Claims().All().empty());
  document.m_number = 2;
  document.m_claims.m_retention = milliseconds(50000);
  harness.Apply(document, "ana");
  EXPECT_EQ(harness.Claim(key), ClaimOutcome::kMayHaveRun);
  harness.m_now_ms -= 10001;
  EXPECT_EQ(harness.Claim(key), ClaimOutcome::kMayHaveRun);
  EXPECT_EQ(harness.m_state.ReplicatedTimeMs(), harness.m_now_ms + 10001);
}

// Guards against a replicated state that grows with large answers. The claim
// still counts as finished.
TEST(ControlClaim, LargeAnswersAreNotStored) {
  Deployment document = SampleDeployment();
  document.m_claims.m_max_answer_bytes = 4;
  StateMachineHarness harness = MakeHarness(document);
  ClaimRequest claim{.m_host = {"e1"},
                     .m_incarnation = 1,
                     .m_service = {"pumplog"},
                     .m_key = harness.MakeKey(),
                     .m_attempt = 1};
  harness.Commit(claim);
  harness.Commit(ClaimFinish{.m_host = {"e1"},
                             .m_incarnation = 1,
                             .m_service = {"pumplog"},
                             .m_key = harness.MakeKey(),
                             .m_attempt = 1,
                             .m_verdict = Verdict::kRan,
                             .m_answer = StoredAnswer{.m_body = "12345"}});
  const auto reply = harness.CommitForAnswer<ClaimReply>(claim);
  EXPECT_EQ(reply.m_outcome, ClaimOutcome::kFinished);
  EXPECT_FALSE(reply.m_answer);
}

// Guards against a delayed renewal command that registers a lost host again or
// overwrites a newer report.
TEST(ControlRenew, RepeatedSequencesGetNoAnswer) {
  StateMachineHarness harness = MakeHarness();
  const RenewCommand renew{
      .m_renewals = {{.m_host = {"e1"},
                      .m_incarnation = 1,
                      .m_sequence = 4,
                      .m_lines = {{.m_limit = {LimitKind::kRegion, "luzon"},
                                   .m_safe = 3,
                                   .m_leased = 100}}}}};
  const auto answers = harness.CommitForAnswer<RenewAnswers>(renew);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].m_reply.m_allotments[0].m_safe, 3U);
  EXPECT_EQ(answers[0].m_reply.m_allotments[0].m_leased, 37U);
  EXPECT_TRUE(harness.CommitForAnswer<RenewAnswers>(renew).empty());
}

// Guards against a new leader that reports every host as lost, and against a
// lost host that is never reported.
TEST(ControlHostLeaseMonitor, TimeoutStartsAtTheElection) {
  const MonoTime start{std::chrono::seconds(100)};
  HostLeaseMonitor monitor;
  monitor.OnElected({{.m_host = {"e1"}, .m_incarnation = 3, .m_alive = true},
                     {.m_host = {"e2"}, .m_incarnation = 1}},
                    start);
  EXPECT_TRUE(monitor.LostHosts(start + kHostLease - milliseconds(1)).empty());
  const std::vector<LostHost> lost = {{{"e1"}, 3}};
  EXPECT_EQ(monitor.LostHosts(start + kHostLease), lost);
  monitor.OnRenewal({"e1"}, 2, start + kHostLease);  // an older incarnation
  EXPECT_EQ(monitor.LostHosts(start + kHostLease), lost);
  monitor.OnRenewal({"e1"}, 3, start + kHostLease);
  EXPECT_TRUE(monitor.LostHosts(start + kHostLease).empty());
}

// Guards against a snapshot that omits a part of the state, so that a restored
// replica diverges from the others.
TEST(ControlSnapshot, RestoredStateGivesEqualBytes) {
  StateMachineHarness harness = MakeHarness();
  Deployment document = SampleDeployment(2);
  document.m_blocks.clear();
  for (int i = 0; i < 6000; ++i) {
    document.m_blocks.push_back({"10." + std::to_string(i / 250) + "." +
                                     std::to_string(i % 250) + ".0/24",
                                 {"depot-1"}});
  }
  harness.Apply(document, "ana");
  harness.Commit(
      DrainCommand{.m_drain = {DrainKind::kRegion, "luzon"}, .m_active = true});
  harness.Claim(harness.MakeKey("open"));
  harness.Claim(harness.MakeKey("done"));
  harness.Finish(harness.MakeKey("done"), Verdict::kRan);
  harness.Commit(RenewCommand{
      .m_renewals = {{.m_host = {"e2"},
                      .m_incarnation = 1,
                      .m_sequence = 1,
                      .m_lines = {{.m_limit = {LimitKind::kRegion, "luzon"},
                                   .m_safe = 3}}}}});
  const std::vector<std::string> pieces = WriteSnapshot(harness.m_state);
  EXPECT_GT(pieces.size(), 1U);
  SnapshotLoader loader;
  for (const std::string& piece : pieces) {
    EXPECT_LE(piece.size(), 2 * kTargetPieceBytes);
    ASSERT_TRUE(loader.AddPiece(piece));
  }
  StateMachine restored = loader.Finish().value();
  EXPECT_EQ(restored, harness.m_state);
  EXPECT_EQ(WriteSnapshot(restored), pieces);
  // Both states change in the same way afterwards.
  const std::string entry = MakeCommand(
      RenewCommand{.m_expired_index = harness.m_index, .m_lost = {{{"e1"}, 1}}},
      UnixMillis(kStartMs + 5));
  EXPECT_TRUE(restored.Apply(harness.m_index + 1, entry));
  EXPECT_TRUE(harness.m_state.Apply(harness.m_index + 1, entry));
  EXPECT_EQ(restored, harness.m_state);
}

// Guards against loading a state from pieces of two snapshots.
TEST(ControlSnapshot, MissingPiecesAreRefused) {
  StateMachineHarness harness = MakeHarness();
  Deployment document = SampleDeployment(2);
  for (int i = 0; i < 5000; ++i)
    document.m_blocks.push_back({"11." + std::to_string(i / 250) + "." +
                                     std::to_string(i % 250) + ".0/24",
                                 {"depot-1"}});
  harness.Apply(document, "ana");
  const std::vector<std::string> pieces = WriteSnapshot(harness.m_state);
  ASSERT_GE(pieces.size(), 2U);
  SnapshotLoader loader;
  EXPECT_FALSE(loader.AddPiece(pieces[1]));
  EXPECT_TRUE(loader.AddPiece(pieces[0]));
  EXPECT_FALSE(loader.Finish());
  EXPECT_FALSE(loader.AddPiece(pieces[0]));
}

// Guards against an invalid command that ends the process or makes the states
// of the replicas differ.
TEST(ControlCommand, UndecodableEntriesChangeNothing) {
  StateMachineHarness harness = MakeHarness();
  StateMachine before = harness.m_state;
  EXPECT_FALSE(harness.m_state.Apply(harness.m_index + 1, "garbage"));
  EXPECT_EQ(harness.m_state.Feed(), before.Feed());
  EXPECT_EQ(harness.m_state.AppliedIndex(), harness.m_index + 1);
  EXPECT_FALSE(harness.m_state.Apply(
      harness.m_index, MakeCommand(RemoveHostCommand{}, UnixMillis(1))));
}

}  // namespace
}  // namespace jujube::control
