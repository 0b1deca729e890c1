// Guards the exit code of each answer and the choice of the next control host.

#include <deque>

#include <gtest/gtest.h>

#include "ctl/call_leader.h"

namespace jujube::ctl {
namespace {

using std::chrono::milliseconds;

const Endpoint first_host{"127.0.0.1", 1};
const Endpoint second_host{"127.0.0.1", 2};
const Endpoint third_host{"127.0.0.1", 3};
constexpr milliseconds kTimeout{4000};

CallOutcome Answer(std::uint16_t status, std::string body) {
  return {.m_delivery = Delivery::kAnswered,
          .m_status = status,
          .m_body = std::move(body)};
}

CallOutcome NotLeader(const std::string& leader) {
  const std::string hint =
      leader.empty()
          ? ""
          : ",\"leader\":{\"address\":\"127.0.0.1\",\"port\":" + leader + "}";
  return Answer(
      421,
      "{\"error\":\"this host does not lead\",\"unknown\":false" + hint + "}");
}

CallOutcome Accepted() {
  return Answer(200, "{\"outcome\":\"Accepted\"}");
}

CallOutcome Refused() {
  return {.m_error = "connect: refused"};
}

CallOutcome Lost() {
  return {.m_delivery = Delivery::kNoAnswer, .m_error = "response head: eof"};
}

// Gives the scripted outcomes, the last one for ever, and counts its own time.
class FakeTransport {
 public:
  explicit FakeTransport(std::deque<CallOutcome> script)
      : m_script(std::move(script)) {}

  CallOutcome Call(const Endpoint& endpoint,
                   const net::HttpRequest& request,
                   MonoTime deadline) {
    m_asked.push_back(endpoint);
    m_bodies.push_back(request.m_body);
    m_deadlines.push_back(deadline);
    m_now += milliseconds(1);
    CallOutcome outcome = m_script.front();
    if (m_script.size() > 1)
      m_script.pop_front();
    return outcome;
  }
  MonoTime Now() const { return m_now; }
  void SleepUntil(MonoTime time) { m_now = std::max(m_now, time); }

  std::vector<Endpoint> m_asked;
  std::vector<std::string> m_bodies;
  std::vector<MonoTime> m_deadlines;

 private:
  std::deque<CallOutcome> m_script;
  MonoTime m_now;
};

CallResult CallAll(FakeTransport& transport, Resend resend) {
  const HostCursor cursor{.m_hosts = {first_host, second_host, third_host}};
  return CallLeader(transport, cursor, {.m_method = "POST", .m_body = "file"},
                    resend, kTimeout);
}

TEST(CtlCall, FollowsTheNamedLeader) {
  FakeTransport transport({NotLeader("3"), Accepted()});
  EXPECT_EQ(CallAll(transport, Resend::kSafe).m_judgement.m_result,
            ExitCode::kDone);
  EXPECT_EQ(transport.m_asked, (std::vector{first_host, third_host}));
}

// A follower names the old leader until it notices that it is gone.
TEST(CtlCall, GoesOnWithTheListIfTheNamedLeaderIsGone) {
  FakeTransport transport({NotLeader("3"), Refused(), Accepted()});
  EXPECT_EQ(CallAll(transport, Resend::kUnsafe).m_judgement.m_result,
            ExitCode::kDone);
  EXPECT_EQ(transport.m_asked,
            (std::vector{first_host, third_host, second_host}));
}

TEST(CtlCall, TriesEveryHostAndReportsThatNoneAnswered) {
  FakeTransport transport({Refused()});
  const CallResult result = CallAll(transport, Resend::kUnsafe);
  EXPECT_EQ(result.m_judgement.m_result, ExitCode::kUnreachable);
  ASSERT_GE(transport.m_asked.size(), 3U);
  EXPECT_EQ(transport.m_asked[1], second_host);
  EXPECT_EQ(transport.m_asked[2], third_host);
  // The attempts pause, so that waiting for an election costs no core.
  EXPECT_LE(transport.m_asked.size(), 4 + kTimeout / kRetryPause);
  EXPECT_LE(transport.Now() - MonoTime(), kTimeout);
}

TEST(CtlCall, ResendsADocumentAfterALostAnswer) {
  FakeTransport transport({Lost(), Accepted()});
  EXPECT_EQ(CallAll(transport, Resend::kSafe).m_judgement.m_result,
            ExitCode::kDone);
  EXPECT_EQ(transport.m_bodies, (std::vector<std::string>{"file", "file"}));
}

// "Nothing changed" would be untrue: the first attempt may have been accepted.
TEST(CtlCall, StaysUnknownIfOnlyTheLaterAttemptsWereRefused) {
  FakeTransport lost({Lost(), NotLeader("")});
  EXPECT_EQ(CallAll(lost, Resend::kSafe).m_judgement.m_result,
            ExitCode::kUnknown);
  FakeTransport deposed(
      {Answer(504, "{\"error\":\"leadership was lost\",\"unknown\":true}"),
       Refused()});
  EXPECT_EQ(CallAll(deposed, Resend::kSafe).m_judgement.m_result,
            ExitCode::kUnknown);
}

// A drain that is sent again could undo the resume of another operator.
TEST(CtlCall, DoesNotResendOtherChanges) {
  for (const CallOutcome& outcome :
       {Lost(), Answer(504, "{\"unknown\":true}")}) {
    FakeTransport transport({outcome, Accepted()});
    EXPECT_EQ(CallAll(transport, Resend::kUnsafe).m_judgement.m_result,
              ExitCode::kUnknown);
    EXPECT_EQ(transport.m_asked.size(), 1U);
  }
}

// A frozen host accepts connections; it must not use up the whole time.
TEST(CtlCall, LeavesTimeForOtherHostsOnlyIfTheRequestCanBeResent) {
  FakeTransport safe({Accepted()});
  CallAll(safe, Resend::kSafe);
  EXPECT_EQ(safe.m_deadlines[0], MonoTime(kTimeout / kAttemptsInTimeout));
  FakeTransport unsafe({Accepted()});
  CallAll(unsafe, Resend::kUnsafe);
  EXPECT_EQ(unsafe.m_deadlines[0], MonoTime(kTimeout));
}

TEST(CtlCall, GivesEachAnswerItsExitCode) {
  const auto result_of = [](std::uint16_t status, std::string body) {
    return Judge(Answer(status, std::move(body)), Resend::kSafe);
  };
  const std::string error = "{\"error\":\"x\",\"unknown\":false}";
  EXPECT_EQ(result_of(200, "{}").m_result, ExitCode::kDone);
  EXPECT_EQ(result_of(400, error).m_result, ExitCode::kBadInput);
  EXPECT_EQ(result_of(400, error).m_message, "x");
  EXPECT_EQ(result_of(401, error).m_result, ExitCode::kBadInput);
  EXPECT_EQ(result_of(404, error).m_result, ExitCode::kRefused);
  EXPECT_EQ(result_of(422, "{\"outcome\":\"Invalid\"}").m_result,
            ExitCode::kRefused);
  EXPECT_EQ(result_of(409, "{\"outcome\":\"Conflict\"}").m_result,
            ExitCode::kConflict);
  EXPECT_EQ(result_of(409, "{\"outcome\":\"NumberTooLow\"}").m_result,
            ExitCode::kConflict);
  EXPECT_EQ(result_of(409, "{\"outcome\":\"NumberTooLow\"}").m_step,
            NextStep::kFinish);
  // The leader gave up because others were faster; another attempt may win.
  EXPECT_EQ(result_of(409, "{\"outcome\":\"BaseChanged\"}").m_step,
            NextStep::kNextHost);
  // A refused change of members is no conflict between documents.
  EXPECT_EQ(result_of(409, error).m_result, ExitCode::kRefused);
  EXPECT_EQ(result_of(503, error).m_step, NextStep::kNextHost);
  EXPECT_EQ(result_of(503, error).m_result, ExitCode::kRefused);
}

}  // namespace
}  // namespace jujube::ctl
