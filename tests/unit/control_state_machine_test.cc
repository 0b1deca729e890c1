#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "config/digest.h"
#include "control/command.h"
#include "control/host_watch.h"
#include "control/proposal.h"
#include "control/snapshot.h"
#include "unit/sample_deployment.h"

namespace jujube::control {
namespace {

using jujube::testing::SampleDeployment;
using std::chrono::milliseconds;

constexpr std::uint64_t kStart = 1'700'000'000'000;

// A state machine with its next log index and the leader's clock.
struct Driver {
  StateMachine m_state;
  std::uint64_t m_index = 0;
  std::uint64_t m_now = kStart;

  template <class Message>
  CommandResult Run(const Message& message) {
    const UnixMillis now(static_cast<UnixMillis::rep>(m_now));
    return m_state.Apply(++m_index, MakeCommand(message, now)).value();
  }

  template <class Answer, class Message>
  Answer Ask(const Message& message) {
    return std::get<Answer>(Run(message).m_answer);
  }

  CommandResult Apply(const Deployment& document, const std::string& name) {
    const ApplyProposal proposal = PrepareApply(m_state, document, name);
    if (proposal.m_answer)
      return {.m_answer = *proposal.m_answer};
    return Run(proposal.m_command);
  }

  ApplyAnswer ApplyAnswerTo(const Deployment& document,
                            const std::string& name) {
    return std::get<ApplyAnswer>(Apply(document, name).m_answer);
  }

  ClaimOutcome Claim(const std::string& key,
                     const std::string& host = "e1",
                     std::uint64_t attempt = 1,
                     std::uint64_t incarnation = 1,
                     const std::string& digest = "d") {
    return Ask<ClaimReply>(ClaimRequest{.m_host = {host},
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
    return Ask<ClaimFinishReply>(
               ClaimFinish{.m_host = {host},
                           .m_incarnation = 1,
                           .m_service = {"pumplog"},
                           .m_key = key,
                           .m_attempt = attempt,
                           .m_verdict = verdict,
                           .m_answer = StoredAnswer{.m_status = 201}})
        .m_accepted;
  }

  std::string Key(const std::string& random = "a") const {
    return std::to_string(m_now) + "-" + random;
  }
};

Driver Started(const Deployment& document = SampleDeployment()) {
  Driver driver;
  driver.Apply(document, "clerk");
  return driver;
}

std::vector<std::string> Pieces(const StateMachine& state) {
  SnapshotWriter writer(state);
  std::vector<std::string> pieces;
  while (auto piece = writer.Next())
    pieces.push_back(std::move(*piece));
  return pieces;
}

TEST(ControlApply, NumberDecides) {
  Driver driver = Started();
  const HistoryEntry first = driver.m_state.History().back();
  EXPECT_EQ(first.m_operator_name, "clerk");
  driver.m_now += 1000;
  EXPECT_EQ(driver.ApplyAnswerTo(SampleDeployment(5), "clerk").m_outcome,
            ApplyOutcome::kAccepted);
  // A resent document gets the first answer, also when it is not current.
  const ApplyAnswer resent = driver.ApplyAnswerTo(SampleDeployment(), "other");
  EXPECT_EQ(resent.m_outcome, ApplyOutcome::kAccepted);
  EXPECT_EQ(resent.m_accepted, first);
  EXPECT_EQ(driver.ApplyAnswerTo(SampleDeployment(3), "x").m_outcome,
            ApplyOutcome::kNumberTooLow);
  EXPECT_EQ(driver.m_state.Config().Document().m_number, 5U);
}

// Guards against two operators who both believe that their file is in force:
// both leaders' proposals were made before either was committed.
TEST(ControlApply, EqualNumbersGiveOneWinner) {
  Driver driver = Started();
  Deployment other = SampleDeployment(2);
  other.m_regions[0].m_max_in_progress = 7;
  const auto a = PrepareApply(driver.m_state, SampleDeployment(2), "ana");
  const auto b = PrepareApply(driver.m_state, other, "ben");
  EXPECT_EQ(driver.Ask<ApplyAnswer>(a.m_command).m_outcome,
            ApplyOutcome::kAccepted);
  const auto lost = driver.Ask<ApplyAnswer>(b.m_command);
  EXPECT_EQ(lost.m_outcome, ApplyOutcome::kConflict);
  EXPECT_EQ(lost.m_accepted.m_operator_name, "ana");
  EXPECT_EQ(lost.m_accepted.m_time, driver.m_now);
  EXPECT_EQ(driver.Ask<ApplyAnswer>(a.m_command).m_outcome,
            ApplyOutcome::kAccepted);
}

// Guards against a difference in blocks being merged into another document than
// the one that it was made from.
TEST(ControlApply, CommandOnAnOldBaseChangesNothing) {
  Driver driver = Started();
  Deployment third = SampleDeployment(3);
  third.m_blocks.pop_back();
  const auto old = PrepareApply(driver.m_state, third, "ana");
  Deployment second = SampleDeployment(2);
  second.m_blocks.push_back({"10.3.0.0/16", {"depot-1"}});
  driver.Apply(second, "ben");
  const FeedState before = driver.m_state.Feed();
  const CommandResult result = driver.Run(old.m_command);
  EXPECT_EQ(std::get<ApplyAnswer>(result.m_answer).m_outcome,
            ApplyOutcome::kBaseChanged);
  EXPECT_FALSE(result.m_feed_changed);
  EXPECT_EQ(driver.m_state.Feed(), before);
  EXPECT_EQ(driver.ApplyAnswerTo(third, "ana").m_outcome,
            ApplyOutcome::kAccepted);
  EXPECT_EQ(driver.m_state.Feed().m_deployment.m_blocks, third.m_blocks);
}

TEST(ControlApply, DigestThatDoesNotMatchIsRefused) {
  Driver driver = Started();
  auto command =
      PrepareApply(driver.m_state, SampleDeployment(2), "ana").m_command;
  command.m_removed = {"10.1.0.0/16"};
  EXPECT_EQ(driver.Ask<ApplyAnswer>(command).m_outcome, ApplyOutcome::kInvalid);
  EXPECT_EQ(driver.m_state.Config().Document().m_number, 1U);
}

TEST(ControlFeed, ChangesLeadFromStateToState) {
  Driver driver = Started();
  const FeedState before = driver.m_state.Feed();
  Deployment next = SampleDeployment(2);
  next.m_blocks = {{"10.1.0.0/16", {"depot-2"}}};
  const FeedChange change = driver.Apply(next, "ana").m_change.value();
  EXPECT_EQ(change.m_previous_index, before.m_index);
  EXPECT_EQ(change.m_index, driver.m_state.Feed().m_index);
  EXPECT_EQ(change.m_upserted, next.m_blocks);
  EXPECT_EQ(change.m_removed, std::vector<std::string>{"10.2.0.0/16"});
  EXPECT_TRUE(change.m_deployment.m_blocks.empty());
}

// Guards against a change that no frame can carry: subscribers then need the
// snapshot.
TEST(ControlFeed, LargeChangeIsLeftOut) {
  Driver driver = Started();
  Deployment next = SampleDeployment(2);
  for (int i = 0; i <= 100000; ++i)
    next.m_blocks.push_back({"2001:" + std::to_string(i), {"depot-1"}});
  next = config::Canonical(next);
  const ApplyCommand command{.m_base_index = driver.m_index,
                             .m_digest = config::DigestOf(next),
                             .m_deployment = SampleDeployment(2),
                             .m_upserted = next.m_blocks};
  const CommandResult result = driver.Run(command);
  EXPECT_TRUE(result.m_feed_changed);
  EXPECT_FALSE(result.m_change);
  EXPECT_EQ(driver.m_state.Feed().m_deployment, next);
}

TEST(ControlDrain, NamesAreCheckedAndRepeatsChangeNothing) {
  Driver driver = Started();
  DrainCommand drain{.m_drain = {DrainKind::kEntryHost, "e1"},
                     .m_active = true};
  const FeedChange change = driver.Run(drain).m_change.value();
  EXPECT_EQ(change.m_drains, std::vector<Drain>{drain.m_drain});
  EXPECT_FALSE(driver.Run(drain).m_feed_changed);
  const DrainCommand unknown{.m_drain = {DrainKind::kRegion, "nil"},
                             .m_active = true};
  EXPECT_EQ(driver.Ask<DrainAnswer>(unknown).m_outcome,
            DrainOutcome::kUnknownName);
  drain.m_active = false;
  EXPECT_EQ(driver.Ask<DrainAnswer>(drain).m_outcome, DrainOutcome::kChanged);
  EXPECT_TRUE(driver.m_state.Config().Drains().empty());
}

TEST(ControlClaim, ResendsGetTheStoredAnswer) {
  Driver driver = Started();
  const std::string key = driver.Key();
  EXPECT_EQ(driver.Claim(key), ClaimOutcome::kGranted);
  EXPECT_EQ(driver.Claim(key), ClaimOutcome::kGranted);  // lost reply
  EXPECT_EQ(driver.Claim(key, "e1", 2), ClaimOutcome::kInProgress);
  EXPECT_EQ(driver.Claim(key, "e2"), ClaimOutcome::kInProgress);
  EXPECT_EQ(driver.Claim(key, "e2", 1, 1, "x"), ClaimOutcome::kConflict);
  EXPECT_FALSE(driver.Finish(key, Verdict::kRan, "e2"));
  EXPECT_TRUE(driver.Finish(key, Verdict::kRan));
  EXPECT_EQ(driver.Claim(key, "e2"), ClaimOutcome::kFinished);
}

// Guards against a delayed "not run" of an earlier attempt that frees the key
// while a later attempt runs.
TEST(ControlClaim, NotRunOfAnEarlierAttemptDoesNotFreeTheKey) {
  Driver driver = Started();
  const std::string key = driver.Key();
  driver.Claim(key);
  EXPECT_TRUE(driver.Finish(key, Verdict::kNotRun));
  EXPECT_EQ(driver.Claim(key, "e1", 2), ClaimOutcome::kGranted);
  EXPECT_FALSE(driver.Finish(key, Verdict::kNotRun));
  EXPECT_EQ(driver.Claim(key, "e2"), ClaimOutcome::kInProgress);
}

TEST(ControlClaim, EndOfTheSessionMeansMayHaveRunForEver) {
  for (const bool restarted : {false, true}) {
    Driver driver = Started();
    const std::string key = driver.Key();
    driver.Claim(key);
    if (restarted) {
      driver.Claim(driver.Key("other"), "e1", 1, 2);
    } else {
      driver.Run(RenewCommand{.m_lost = {{{"e1"}, 1}}});
      driver.Claim(driver.Key("other"), "e1", 9);  // registers again
    }
    EXPECT_EQ(driver.Claim(key, "e2"), ClaimOutcome::kMayHaveRun);
    EXPECT_FALSE(driver.Finish(key, Verdict::kNotRun));
    EXPECT_EQ(driver.Claim(key, "e2"), ClaimOutcome::kMayHaveRun);
    EXPECT_TRUE(driver.Finish(key, Verdict::kRan));
    EXPECT_EQ(driver.Claim(key, "e2"), ClaimOutcome::kFinished);
  }
}

TEST(ControlClaim, StaleAndUnknownHostsGetNoClaim) {
  Driver driver = Started();
  driver.Claim(driver.Key(), "e1", 1, 5);
  EXPECT_EQ(driver.Claim(driver.Key("b"), "e1", 1, 4),
            ClaimOutcome::kStaleHost);
  EXPECT_EQ(driver.Claim(driver.Key("b"), "e9"), ClaimOutcome::kStaleHost);
  driver.Run(RemoveHostCommand{.m_host = {"e1"}});
  EXPECT_EQ(driver.Claim(driver.Key("b"), "e1", 1, 5),
            ClaimOutcome::kStaleHost);
  EXPECT_EQ(driver.Claim(driver.Key("b"), "e1", 1, 6), ClaimOutcome::kGranted);
}

TEST(ControlClaim, KeysAndBoundsAreChecked) {
  Deployment document = SampleDeployment();
  document.m_claims.m_max_claims = 2;
  Driver driver = Started(document);
  for (const std::string key : {"", "abc", "12", "12-", "-a", "x1-a", "012-a"})
    EXPECT_EQ(driver.Claim(key), ClaimOutcome::kBadKey) << key;
  EXPECT_EQ(driver.Claim(std::to_string(kStart + kMaxFutureMs + 1) + "-a"),
            ClaimOutcome::kBadKey);
  driver.Claim(driver.Key("a"));
  driver.Claim(driver.Key("b"));
  EXPECT_EQ(driver.Claim(driver.Key("c")), ClaimOutcome::kStoreFull);
}

// Guards against forgotten keys becoming new: by age, by a longer retention,
// and by a leader whose clock is behind.
TEST(ControlClaim, ForgottenKeysMayHaveRun) {
  Deployment document = SampleDeployment();
  document.m_claims.m_retention = milliseconds(10000);
  Driver driver = Started(document);
  const std::string key = driver.Key();
  driver.Claim(key);
  driver.Finish(key, Verdict::kRan);
  driver.m_now += 10001;
  EXPECT_EQ(driver.Claim(key), ClaimOutcome::kMayHaveRun);
  EXPECT_TRUE(driver.m_state.Claims().All().empty());
  document.m_number = 2;
  document.m_claims.m_retention = milliseconds(50000);
  driver.Apply(document, "ana");
  EXPECT_EQ(driver.Claim(key), ClaimOutcome::kMayHaveRun);
  driver.m_now -= 10001;
  EXPECT_EQ(driver.Claim(key), ClaimOutcome::kMayHaveRun);
  EXPECT_EQ(driver.m_state.Time(), driver.m_now + 10001);
}

TEST(ControlClaim, LargeAnswersAreNotStored) {
  Deployment document = SampleDeployment();
  document.m_claims.m_max_answer_bytes = 4;
  Driver driver = Started(document);
  ClaimRequest claim{.m_host = {"e1"},
                     .m_incarnation = 1,
                     .m_service = {"pumplog"},
                     .m_key = driver.Key(),
                     .m_attempt = 1};
  driver.Run(claim);
  driver.Run(ClaimFinish{.m_host = {"e1"},
                         .m_incarnation = 1,
                         .m_service = {"pumplog"},
                         .m_key = driver.Key(),
                         .m_attempt = 1,
                         .m_verdict = Verdict::kRan,
                         .m_answer = StoredAnswer{.m_body = "12345"}});
  const auto reply = driver.Ask<ClaimReply>(claim);
  EXPECT_EQ(reply.m_outcome, ClaimOutcome::kFinished);
  EXPECT_FALSE(reply.m_answer);
}

// Guards against a late renewal command that registers a lost host again or
// replaces the newer report.
TEST(ControlRenew, RepeatedSequencesGetNoAnswer) {
  Driver driver = Started();
  const RenewCommand renew{
      .m_renewals = {{.m_host = {"e1"},
                      .m_incarnation = 1,
                      .m_sequence = 4,
                      .m_lines = {{.m_limit = {LimitKind::kRegion, "luzon"},
                                   .m_safe = 3,
                                   .m_leased = 100}}}}};
  const auto answers = driver.Ask<RenewAnswers>(renew);
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].m_reply.m_allotments[0].m_safe, 3U);
  EXPECT_EQ(answers[0].m_reply.m_allotments[0].m_leased, 37U);
  EXPECT_TRUE(driver.Ask<RenewAnswers>(renew).empty());
}

// Guards against a new leader that takes every host for lost, and against a
// host that is never reported.
TEST(ControlHostWatch, SilenceCountsFromTheElection) {
  const MonoTime start{std::chrono::seconds(100)};
  HostWatch watch;
  watch.OnElected({{.m_host = {"e1"}, .m_incarnation = 3, .m_alive = true},
                   {.m_host = {"e2"}, .m_incarnation = 1}},
                  start);
  EXPECT_TRUE(watch.Lost(start + kHostLease - milliseconds(1)).empty());
  const std::vector<LostHost> lost = {{{"e1"}, 3}};
  EXPECT_EQ(watch.Lost(start + kHostLease), lost);
  watch.OnRenewal({"e1"}, 2, start + kHostLease);  // an older incarnation
  EXPECT_EQ(watch.Lost(start + kHostLease), lost);
  watch.OnRenewal({"e1"}, 3, start + kHostLease);
  EXPECT_TRUE(watch.Lost(start + kHostLease).empty());
}

TEST(ControlSnapshot, RestoresTheStateWithEqualBytes) {
  Driver driver = Started();
  Deployment document = SampleDeployment(2);
  document.m_blocks.clear();
  for (int i = 0; i < 6000; ++i) {
    document.m_blocks.push_back({"10." + std::to_string(i / 250) + "." +
                                     std::to_string(i % 250) + ".0/24",
                                 {"depot-1"}});
  }
  driver.Apply(document, "ana");
  driver.Run(
      DrainCommand{.m_drain = {DrainKind::kRegion, "luzon"}, .m_active = true});
  driver.Claim(driver.Key("open"));
  driver.Claim(driver.Key("done"));
  driver.Finish(driver.Key("done"), Verdict::kRan);
  driver.Run(RenewCommand{
      .m_renewals = {{.m_host = {"e2"},
                      .m_incarnation = 1,
                      .m_sequence = 1,
                      .m_lines = {{.m_limit = {LimitKind::kRegion, "luzon"},
                                   .m_safe = 3}}}}});
  const std::vector<std::string> pieces = Pieces(driver.m_state);
  EXPECT_GT(pieces.size(), 1U);
  SnapshotLoader loader;
  for (const std::string& piece : pieces) {
    EXPECT_LE(piece.size(), 2 * kPieceBytes);
    ASSERT_TRUE(loader.Add(piece));
  }
  StateMachine restored = loader.Finish().value();
  EXPECT_EQ(restored, driver.m_state);
  EXPECT_EQ(Pieces(restored), pieces);
  // Both go on in the same way.
  const std::string entry = MakeCommand(
      RenewCommand{.m_expired_index = driver.m_index, .m_lost = {{{"e1"}, 1}}},
      UnixMillis(kStart + 5));
  EXPECT_TRUE(restored.Apply(driver.m_index + 1, entry));
  EXPECT_TRUE(driver.m_state.Apply(driver.m_index + 1, entry));
  EXPECT_EQ(restored, driver.m_state);
}

// Guards against a state that is put together from parts of two snapshots.
TEST(ControlSnapshot, MissingPiecesAreRefused) {
  Driver driver = Started();
  Deployment document = SampleDeployment(2);
  for (int i = 0; i < 5000; ++i)
    document.m_blocks.push_back({"11." + std::to_string(i / 250) + "." +
                                     std::to_string(i % 250) + ".0/24",
                                 {"depot-1"}});
  driver.Apply(document, "ana");
  const std::vector<std::string> pieces = Pieces(driver.m_state);
  ASSERT_GE(pieces.size(), 2U);
  SnapshotLoader loader;
  EXPECT_FALSE(loader.Add(pieces[1]));
  EXPECT_TRUE(loader.Add(pieces[0]));
  EXPECT_FALSE(loader.Finish());
  EXPECT_FALSE(loader.Add(pieces[0]));
}

// Guards against a command of a faulty sender ending the process, or leaving
// replicas with different states.
TEST(ControlCommand, UndecodableEntriesChangeNothing) {
  Driver driver = Started();
  StateMachine before = driver.m_state;
  EXPECT_FALSE(driver.m_state.Apply(driver.m_index + 1, "garbage"));
  EXPECT_EQ(driver.m_state.Feed(), before.Feed());
  EXPECT_EQ(driver.m_state.AppliedIndex(), driver.m_index + 1);
  EXPECT_FALSE(driver.m_state.Apply(
      driver.m_index, MakeCommand(RemoveHostCommand{}, UnixMillis(1))));
}

}  // namespace
}  // namespace jujube::control
