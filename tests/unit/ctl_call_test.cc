// Guards against wrong exit codes and a wrong choice of the next control host.

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

CallOutcome Response(std::uint16_t status, std::string body) {
  return {.m_delivery = Delivery::kResponseReceived,
          .m_status = status,
          .m_body = std::move(body)};
}

CallOutcome NotLeader(const std::string& leader) {
  const std::string hint =
      leader.empty()
          ? ""
          : ",\"leader\":{\"address\":\"127.0.0.1\",\"port\":" + leader + "}";
  return Response(
      421,
      "{\"error\":\"this host does not lead\",\"unknown\":false" + hint + "}");
}

CallOutcome Accepted() {
  return Response(200, "{\"outcome\":\"Accepted\"}");
}

CallOutcome ConnectionRefused() {
  return {.m_error = "connect: refused"};
}

CallOutcome NoResponse() {
  return {.m_delivery = Delivery::kNoResponse, .m_error = "response head: eof"};
}

// Returns the scripted outcomes in order and repeats the last one. Uses a
// simulated clock.
class FakeTransport {
 public:
  explicit FakeTransport(std::deque<CallOutcome> script)
      : m_script(std::move(script)) {}

  CallOutcome Call(const Endpoint& endpoint,
                   const net::HttpRequest& request,
                   MonoTime deadline) {
    m_called_hosts.push_back(endpoint);
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

  std::vector<Endpoint> m_called_hosts;
  std::vector<std::string> m_bodies;
  std::vector<MonoTime> m_deadlines;

 private:
  std::deque<CallOutcome> m_script;
  MonoTime m_now;
};

CallResult CallHosts(FakeTransport& transport, RetrySafety retry_safety) {
  const HostCursor cursor{.m_hosts = {first_host, second_host, third_host}};
  return CallLeader(transport, cursor, {.m_method = "POST", .m_body = "file"},
                    retry_safety, kTimeout);
}

TEST(CtlCall, FollowsTheNamedLeader) {
  FakeTransport transport({NotLeader("3"), Accepted()});
  EXPECT_EQ(CallHosts(transport, RetrySafety::kSafe).m_decision.m_result,
            ExitCode::kDone);
  EXPECT_EQ(transport.m_called_hosts, (std::vector{first_host, third_host}));
}

// A follower names the old leader until it detects that the leader is down.
TEST(CtlCall, ContinuesWithTheListIfTheNamedLeaderIsDown) {
  FakeTransport transport({NotLeader("3"), ConnectionRefused(), Accepted()});
  EXPECT_EQ(CallHosts(transport, RetrySafety::kUnsafe).m_decision.m_result,
            ExitCode::kDone);
  EXPECT_EQ(transport.m_called_hosts,
            (std::vector{first_host, third_host, second_host}));
}

TEST(CtlCall, TriesEveryHostAndReportsThatNoneResponded) {
  FakeTransport transport({ConnectionRefused()});
  const CallResult result = CallHosts(transport, RetrySafety::kUnsafe);
  EXPECT_EQ(result.m_decision.m_result, ExitCode::kUnreachable);
  ASSERT_GE(transport.m_called_hosts.size(), 3U);
  EXPECT_EQ(transport.m_called_hosts[1], second_host);
  EXPECT_EQ(transport.m_called_hosts[2], third_host);
  // Attempts are delayed, so that waiting for an election uses little CPU time.
  EXPECT_LE(transport.m_called_hosts.size(), 4 + kTimeout / kRetryDelay);
  EXPECT_LE(transport.Now() - MonoTime(), kTimeout);
}

TEST(CtlCall, RetriesAnApplyAfterALostResponse) {
  FakeTransport transport({NoResponse(), Accepted()});
  EXPECT_EQ(CallHosts(transport, RetrySafety::kSafe).m_decision.m_result,
            ExitCode::kDone);
  EXPECT_EQ(transport.m_bodies, (std::vector<std::string>{"file", "file"}));
}

// Reporting "nothing changed" would be wrong: the first attempt may have been
// accepted.
TEST(CtlCall, ResultIsUnknownIfOnlyLaterAttemptsAreRefused) {
  FakeTransport no_response({NoResponse(), NotLeader("")});
  EXPECT_EQ(CallHosts(no_response, RetrySafety::kSafe).m_decision.m_result,
            ExitCode::kUnknown);
  FakeTransport lost_leadership(
      {Response(504, "{\"error\":\"leadership was lost\",\"unknown\":true}"),
       ConnectionRefused()});
  EXPECT_EQ(CallHosts(lost_leadership, RetrySafety::kSafe).m_decision.m_result,
            ExitCode::kUnknown);
}

// A drain that is sent twice could undo the resume of another operator.
TEST(CtlCall, DoesNotRetryOtherChanges) {
  for (const CallOutcome& outcome :
       {NoResponse(), Response(504, "{\"unknown\":true}")}) {
    FakeTransport transport({outcome, Accepted()});
    EXPECT_EQ(CallHosts(transport, RetrySafety::kUnsafe).m_decision.m_result,
              ExitCode::kUnknown);
    EXPECT_EQ(transport.m_called_hosts.size(), 1U);
  }
}

// A frozen host accepts connections but never responds; it must not use up the
// whole timeout.
TEST(CtlCall, LimitsTheAttemptTimeOnlyIfARetryIsSafe) {
  FakeTransport safe_to_retry({Accepted()});
  CallHosts(safe_to_retry, RetrySafety::kSafe);
  EXPECT_EQ(safe_to_retry.m_deadlines[0],
            MonoTime(kTimeout / kMinAttemptsPerTimeout));
  FakeTransport unsafe_to_retry({Accepted()});
  CallHosts(unsafe_to_retry, RetrySafety::kUnsafe);
  EXPECT_EQ(unsafe_to_retry.m_deadlines[0], MonoTime(kTimeout));
}

TEST(CtlCall, MapsEachResponseToItsExitCode) {
  const auto decide = [](std::uint16_t status, std::string body) {
    return DecideRetry(Response(status, std::move(body)), RetrySafety::kSafe);
  };
  const std::string error_body = "{\"error\":\"x\",\"unknown\":false}";
  EXPECT_EQ(decide(200, "{}").m_result, ExitCode::kDone);
  EXPECT_EQ(decide(400, error_body).m_result, ExitCode::kBadInput);
  EXPECT_EQ(decide(400, error_body).m_message, "x");
  EXPECT_EQ(decide(401, error_body).m_result, ExitCode::kBadInput);
  EXPECT_EQ(decide(404, error_body).m_result, ExitCode::kRefused);
  EXPECT_EQ(decide(422, "{\"outcome\":\"Invalid\"}").m_result,
            ExitCode::kRefused);
  EXPECT_EQ(decide(409, "{\"outcome\":\"Conflict\"}").m_result,
            ExitCode::kConflict);
  EXPECT_EQ(decide(409, "{\"outcome\":\"NumberTooLow\"}").m_result,
            ExitCode::kConflict);
  EXPECT_EQ(decide(409, "{\"outcome\":\"NumberTooLow\"}").m_step,
            NextStep::kFinish);
  // The leader aborted because of concurrent documents; a retry may succeed.
  EXPECT_EQ(decide(409, "{\"outcome\":\"BaseChanged\"}").m_step,
            NextStep::kNextHost);
  // A refused membership change is not a conflict between documents.
  EXPECT_EQ(decide(409, error_body).m_result, ExitCode::kRefused);
  EXPECT_EQ(decide(503, error_body).m_step, NextStep::kNextHost);
  EXPECT_EQ(decide(503, error_body).m_result, ExitCode::kRefused);
}

}  // namespace
}  // namespace jujube::ctl
