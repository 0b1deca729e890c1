#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "control/command.h"
#include "control/proposal.h"
#include "control/snapshot.h"
#include "unit/random_schedule.h"
#include "unit/sample_deployment.h"

namespace jujube::control {
namespace {

using jujube::testing::Step;

constexpr std::uint64_t kStartMs = 1'700'000'000'000;
constexpr std::uint64_t kRetentionMs = 10000;
constexpr std::uint64_t kTimeStepMs = 20;

// Simulates callers that repeatedly send a few keys to three entry hosts.
// Commands and replies are delayed, repeated and lost; hosts crash, lose their
// lease and abandon attempts; the leader's clock jumps; the state is restored
// from a snapshot.
class ClaimSimulation {
 public:
  ClaimSimulation() { ApplyDocument(kRetentionMs); }

  void Execute(const Step& step) {
    const std::size_t host = step.m_host % m_incarnations.size();
    switch (step.m_action % 12) {
      case 0:
      case 1:
      case 2:
        SendClaim(host, step.m_amount);
        break;
      case 3:
      case 4:
      case 5:
        CommitPending(step.m_amount);
        break;
      case 6:
      case 7:
        DispatchOrAbandon(step.m_host, step.m_amount);
        break;
      case 8:
        ++m_incarnations[host];
        break;
      case 9:
        Commit(MakeCommand(
            RenewCommand{.m_lost = {{HostIdOf(host), m_incarnations[host]}}},
            WallTime()));
        break;
      case 10:
        ChangeClockOrRetention(step.m_amount);
        break;
      default:
        RestoreFromSnapshot();
    }
  }

  void CheckRunCounts() const {
    for (const auto& [key, count] : m_run_counts)
      RC_ASSERT(count <= 1);
  }

 private:
  // One attempt of an entry host to run a request. It starts with the claim.
  struct Attempt {
    std::size_t m_host = 0;
    ClaimRequest m_claim;
    bool m_granted = false;
    bool m_completed = false;  // dispatched or abandoned
  };

  HostId HostIdOf(std::size_t host) const {
    return {"e" + std::to_string(host + 1)};
  }
  UnixMillis WallTime() const {
    return UnixMillis(static_cast<UnixMillis::rep>(m_now_ms));
  }

  // Sends one of the two keys issued in this second or one of the three before.
  void SendClaim(std::size_t host, std::uint8_t amount) {
    const std::uint64_t second = (m_now_ms - kStartMs) / 1000;
    const std::uint64_t age_s = amount / 2 % 4;
    const std::uint64_t issued_ms =
        kStartMs + (second - std::min(second, age_s)) * 1000;
    m_attempts.push_back({.m_host = host,
                          .m_claim = {.m_host = HostIdOf(host),
                                      .m_incarnation = m_incarnations[host],
                                      .m_service = {"pumplog"},
                                      .m_key = std::to_string(issued_ms) + "-" +
                                               std::to_string(amount % 2),
                                      .m_attempt = m_attempts.size() + 1,
                                      .m_digest = "d"}});
    m_commands.push_back({true, m_attempts.size() - 1, {}});
  }

  // Commits one of the latest commands, or an older one, possibly again.
  void CommitPending(std::uint8_t amount) {
    if (m_commands.empty())
      return;
    const std::size_t offset = amount % 4 == 0 ? amount / 4 : amount % 4;
    const std::size_t size = m_commands.size();
    const PendingCommand pending = m_commands[size - 1 - offset % size];
    Attempt& attempt = m_attempts[pending.m_attempt];
    if (!pending.m_is_claim) {
      Commit(MakeCommand(pending.m_finish, WallTime()));
      return;
    }
    const auto result = Commit(MakeCommand(attempt.m_claim, WallTime()));
    const auto& reply = std::get<ClaimReply>(result.m_answer);
    // A restarted host no longer receives the reply to its earlier incarnation.
    if (reply.m_outcome == ClaimOutcome::kGranted &&
        attempt.m_claim.m_incarnation == m_incarnations[attempt.m_host]) {
      attempt.m_granted = true;
    }
  }

  void DispatchOrAbandon(std::uint8_t choice, std::uint8_t amount) {
    if (m_attempts.empty())
      return;
    const std::size_t attempt_index =
        m_attempts.size() - 1 - amount % 4 % m_attempts.size();
    Attempt& attempt = m_attempts[attempt_index];
    const bool is_running =
        attempt.m_claim.m_incarnation == m_incarnations[attempt.m_host];
    if (attempt.m_completed || !is_running)
      return;
    attempt.m_completed = true;
    Verdict verdict = Verdict::kNotRun;
    if (attempt.m_granted && choice % 3 != 0) {
      ++m_run_counts[attempt.m_claim.m_key];
      verdict = choice % 2 == 0 ? Verdict::kRan : Verdict::kMayHaveRun;
    }
    m_commands.push_back({false, attempt_index, MakeFinish(attempt, verdict)});
  }

  static ClaimFinish MakeFinish(const Attempt& attempt, Verdict verdict) {
    return {.m_host = attempt.m_claim.m_host,
            .m_incarnation = attempt.m_claim.m_incarnation,
            .m_service = attempt.m_claim.m_service,
            .m_key = attempt.m_claim.m_key,
            .m_attempt = attempt.m_claim.m_attempt,
            .m_verdict = verdict,
            .m_answer = StoredAnswer{.m_status = 200}};
  }

  void ChangeClockOrRetention(std::uint8_t amount) {
    if (amount % 4 == 0) {
      ApplyDocument(amount % 8 == 0 ? kRetentionMs : 2 * kRetentionMs);
    } else if (amount % 4 == 1) {
      m_now_ms -=
          std::min<std::uint64_t>(m_now_ms - kStartMs, amount * kTimeStepMs);
    } else {
      m_now_ms += amount * kTimeStepMs;
    }
  }

  void ApplyDocument(std::uint64_t retention_ms) {
    Deployment document = jujube::testing::SampleDeployment(++m_number);
    document.m_claims.m_retention = std::chrono::milliseconds(retention_ms);
    document.m_claims.m_max_claims = 6;
    Commit(MakeCommand(PrepareApply(m_state, document, "test").m_command,
                       WallTime()));
  }

  void RestoreFromSnapshot() {
    SnapshotWriter writer(m_state);
    SnapshotLoader loader;
    while (const auto piece = writer.NextPiece())
      RC_ASSERT(loader.AddPiece(*piece).has_value());
    StateMachine restored = loader.Finish().value();
    RC_ASSERT(restored == m_state);
    m_state = std::move(restored);
  }

  CommandResult Commit(const std::string& entry) {
    return m_state.Apply(++m_index, entry).value();
  }

  struct PendingCommand {
    bool m_is_claim = true;
    std::size_t m_attempt = 0;
    ClaimFinish m_finish;
  };

  StateMachine m_state;
  std::uint64_t m_index = 0;
  std::uint64_t m_number = 0;
  std::uint64_t m_now_ms = kStartMs;
  std::array<std::uint64_t, 3> m_incarnations{1, 1, 1};
  std::vector<Attempt> m_attempts;
  std::vector<PendingCommand> m_commands;
  std::map<std::string, int> m_run_counts;
};

// Guards against running a non-repeatable request twice.
TEST(ControlClaimSchedule, EachKeyRunsAtMostOnce) {
  jujube::testing::CheckSchedules(500, [](const std::vector<Step>& steps) {
    ClaimSimulation simulation;
    for (const Step& step : steps) {
      simulation.Execute(step);
      simulation.CheckRunCounts();
    }
  });
}

}  // namespace
}  // namespace jujube::control
