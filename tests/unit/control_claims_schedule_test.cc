#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "control/command.h"
#include "control/proposal.h"
#include "control/snapshot.h"
#include "unit/control_property.h"
#include "unit/sample_deployment.h"

namespace jujube::control {
namespace {

using jujube::testing::Step;

constexpr std::uint64_t kStart = 1'700'000'000'000;
constexpr std::uint64_t kRetentionMs = 10000;
constexpr std::uint64_t kTimeStepMs = 20;

// Callers that send a few keys to three entry hosts again and again. Commands
// and replies are delayed, repeated and lost; hosts crash, lose their lease and
// give up; the leader's clock jumps; the state is restored from a snapshot.
class World {
 public:
  World() { ApplyDocument(kRetentionMs); }

  void Run(const Step& step) {
    const std::size_t host = step.m_host % m_incarnations.size();
    switch (step.m_action % 12) {
      case 0:
      case 1:
      case 2:
        Send(host, step.m_amount);
        break;
      case 3:
      case 4:
      case 5:
        CommitSome(step.m_amount);
        break;
      case 6:
      case 7:
        DispatchOrGiveUp(step.m_host, step.m_amount);
        break;
      case 8:
        ++m_incarnations[host];
        break;
      case 9:
        Commit(MakeCommand(
            RenewCommand{.m_lost = {{Name(host), m_incarnations[host]}}},
            Now()));
        break;
      case 10:
        ChangeTime(step.m_amount);
        break;
      default:
        Restore();
    }
  }

  void Check() const {
    for (const auto& [key, runs] : m_runs)
      RC_ASSERT(runs <= 1);
  }

 private:
  // A request at an entry host, from the claim to the end.
  struct Attempt {
    std::size_t m_host = 0;
    ClaimRequest m_claim;
    bool m_granted = false;
    bool m_over = false;  // dispatched or given up
  };

  HostId Name(std::size_t host) const {
    return {"e" + std::to_string(host + 1)};
  }
  UnixMillis Now() const {
    return UnixMillis(static_cast<UnixMillis::rep>(m_now));
  }

  // Two new keys in each second; callers also repeat the latest ones.
  void Send(std::size_t host, std::uint8_t amount) {
    const std::uint64_t second = (m_now - kStart) / 1000;
    const std::uint64_t age = amount / 2 % 4;
    const std::uint64_t issued =
        kStart + (second - std::min(second, age)) * 1000;
    m_attempts.push_back({.m_host = host,
                          .m_claim = {.m_host = Name(host),
                                      .m_incarnation = m_incarnations[host],
                                      .m_service = {"pumplog"},
                                      .m_key = std::to_string(issued) + "-" +
                                               std::to_string(amount % 2),
                                      .m_attempt = m_attempts.size() + 1,
                                      .m_digest = "d"}});
    m_commands.push_back({true, m_attempts.size() - 1, {}});
  }

  // Commits one of the latest commands, or any earlier one once more.
  void CommitSome(std::uint8_t amount) {
    if (m_commands.empty())
      return;
    const std::size_t back = amount % 4 == 0 ? amount / 4 : amount % 4;
    const std::size_t size = m_commands.size();
    const Pending pending = m_commands[size - 1 - back % size];
    Attempt& attempt = m_attempts[pending.m_attempt];
    if (!pending.m_is_claim) {
      Commit(MakeCommand(pending.m_finish, Now()));
      return;
    }
    const auto result = Commit(MakeCommand(attempt.m_claim, Now()));
    const auto& reply = std::get<ClaimReply>(result.m_answer);
    // The host that asked is gone if it restarted meanwhile.
    if (reply.m_outcome == ClaimOutcome::kGranted &&
        attempt.m_claim.m_incarnation == m_incarnations[attempt.m_host]) {
      attempt.m_granted = true;
    }
  }

  void DispatchOrGiveUp(std::uint8_t choice, std::uint8_t amount) {
    if (m_attempts.empty())
      return;
    const std::size_t at =
        m_attempts.size() - 1 - amount % 4 % m_attempts.size();
    Attempt& attempt = m_attempts[at];
    const bool alive =
        attempt.m_claim.m_incarnation == m_incarnations[attempt.m_host];
    if (attempt.m_over || !alive)
      return;
    attempt.m_over = true;
    Verdict verdict = Verdict::kNotRun;
    if (attempt.m_granted && choice % 3 != 0) {
      ++m_runs[attempt.m_claim.m_key];
      verdict = choice % 2 == 0 ? Verdict::kRan : Verdict::kMayHaveRun;
    }
    m_commands.push_back({false, at, FinishOf(attempt, verdict)});
  }

  static ClaimFinish FinishOf(const Attempt& attempt, Verdict verdict) {
    return {.m_host = attempt.m_claim.m_host,
            .m_incarnation = attempt.m_claim.m_incarnation,
            .m_service = attempt.m_claim.m_service,
            .m_key = attempt.m_claim.m_key,
            .m_attempt = attempt.m_claim.m_attempt,
            .m_verdict = verdict,
            .m_answer = StoredAnswer{.m_status = 200}};
  }

  void ChangeTime(std::uint8_t amount) {
    if (amount % 4 == 0) {
      ApplyDocument(amount % 8 == 0 ? kRetentionMs : 2 * kRetentionMs);
    } else if (amount % 4 == 1) {
      m_now -= std::min<std::uint64_t>(m_now - kStart, amount * kTimeStepMs);
    } else {
      m_now += amount * kTimeStepMs;
    }
  }

  void ApplyDocument(std::uint64_t retention) {
    Deployment document = jujube::testing::SampleDeployment(++m_number);
    document.m_claims.m_retention = std::chrono::milliseconds(retention);
    document.m_claims.m_max_claims = 6;
    Commit(
        MakeCommand(PrepareApply(m_state, document, "test").m_command, Now()));
  }

  void Restore() {
    SnapshotWriter writer(m_state);
    SnapshotLoader loader;
    while (const auto piece = writer.Next())
      RC_ASSERT(loader.Add(*piece).has_value());
    StateMachine restored = loader.Finish().value();
    RC_ASSERT(restored == m_state);
    m_state = std::move(restored);
  }

  CommandResult Commit(const std::string& entry) {
    return m_state.Apply(++m_index, entry).value();
  }

  struct Pending {
    bool m_is_claim = true;
    std::size_t m_attempt = 0;
    ClaimFinish m_finish;
  };

  StateMachine m_state;
  std::uint64_t m_index = 0;
  std::uint64_t m_number = 0;
  std::uint64_t m_now = kStart;
  std::array<std::uint64_t, 3> m_incarnations{1, 1, 1};
  std::vector<Attempt> m_attempts;
  std::vector<Pending> m_commands;
  std::map<std::string, int> m_runs;
};

// Guards against a second run of a non-repeatable request.
TEST(ControlClaimSchedule, EachKeyRunsAtMostOnce) {
  jujube::testing::CheckSchedules(500, [](const std::vector<Step>& steps) {
    World world;
    for (const Step& step : steps) {
      world.Run(step);
      world.Check();
    }
  });
}

}  // namespace
}  // namespace jujube::control
