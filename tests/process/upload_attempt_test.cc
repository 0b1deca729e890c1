// Tests of AttemptRunner with uploads that are passed on as they arrive, a raw
// caller and a raw upstream, in one process.

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "entry/attempt_runner_impl.h"
#include "entry/native_dialect.h"
#include "net/http_listener.h"
#include "process/child_process.h"
#include "process/process_harness.h"
#include "process/raw_socket.h"
#include "request/failure_decision.h"

namespace jujube::testing {
namespace {

using entry::AttemptResult;
using entry::AttemptRunner;
using entry::NativeDialect;
using entry::OutgoingRequest;
using request::AttemptFailure;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kEndOfHead[] = "\r\n\r\n";
constexpr std::size_t kBodyBytes = 360000;
constexpr std::uint64_t kLinkKbitPerSecond = 2600;
constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 4\r\n\r\n"
    "done";
constexpr char kRefusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nJujube-Started: no\r\n"
    "Content-Length: 0\r\n\r\n";

// Outcome of the attempts of one request.
struct Outcome {
  AttemptResult m_first;
  std::optional<AttemptResult> m_second;  // after "not run"
  std::size_t m_kept_bytes = 0;           // of the body after the first attempt
};

// Passes uploads on to one upstream, as the forwarder does on the platform.
class UploadAttempt : public ::testing::Test {
 protected:
  UploadAttempt()
      : m_upstream(process::ReserveEndpoint()),
        m_upstream_listener(RawSocket::Listen(m_upstream, 8)),
        m_caller_endpoint(process::ReserveEndpoint()),
        m_listener(m_io, [this](net::HttpExchange& exchange) {
          return Handle(exchange);
        }) {
    m_link.SetActive(false);
    EXPECT_TRUE(m_listener.Listen(m_caller_endpoint));
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~UploadAttempt() override {
    m_io.stop();
    m_thread.join();
  }

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange) {
    OutgoingRequest request;
    request.m_head.m_method = "POST";
    request.m_head.m_target = "/upload";
    request.m_head.m_has_body = true;
    request.m_head.m_content_length = exchange.Head().m_content_length;
    request.m_body_mode = entry::BodyMode::kKept;
    const MonoTime deadline = MonoClock::now() + m_time_limit;
    exchange.SetBodyDeadline(deadline);
    Outcome outcome;
    outcome.m_first = co_await Run(exchange, request, deadline);
    outcome.m_kept_bytes = request.m_body.size();
    const bool is_refused =
        outcome.m_first.m_failure == AttemptFailure::kNotStarted;
    if (is_refused)
      outcome.m_second = co_await Run(exchange, request, deadline);
    AttemptResult& last =
        outcome.m_second ? *outcome.m_second : outcome.m_first;
    ResponseHead head{.m_status = 502};
    std::string body;
    if (last.m_response) {
      head.m_status = last.m_response->m_status;
      body = last.m_response->m_body;
    }
    co_await exchange.Respond(std::move(head), body);
    co_await exchange.DiscardBody(kBodyBytes, MonoClock::now() + seconds(2));
    m_outcome.set_value(std::move(outcome));
  }

  boost::asio::awaitable<AttemptResult> Run(net::HttpExchange& exchange,
                                            OutgoingRequest& request,
                                            MonoTime deadline) {
    auto counters = std::make_shared<steering::InstanceCounters>();
    EXPECT_TRUE(counters->TryAcquire(1));
    const steering::Selection selection{
        .m_instance = {"u1"},
        .m_endpoint = m_upstream,
        .m_slot = steering::SlotGuard(std::move(counters))};
    const entry::LinkPacer pacer(m_view, {"region-a"}, {"region-a"});
    const entry::SendLease lease(m_view, m_lease_end, {}, std::nullopt);
    const entry::SpanScope span;
    AttemptRunner<NativeDialect> runner(
        exchange, m_pool, m_watch, pacer, m_link, lease, m_route,
        {.m_deadline = deadline, .m_connect_timeout = milliseconds(5000)},
        span);
    co_return co_await runner.Run(selection, request, false);
  }

  RawSocket Connect() const { return RawSocket::Connect(m_caller_endpoint); }
  static std::string Head() {
    return "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(kBodyBytes) + "\r\n\r\n";
  }

  milliseconds m_time_limit{20000};
  boost::asio::io_context m_io;
  rcu::Cell<entry::ServingView> m_view{
      std::make_unique<const entry::ServingView>()};
  limits::HostLink m_link{kLinkKbitPerSecond};
  std::atomic<MonoTime> m_lease_end{MonoTime::max()};
  entry::ConnectionPool m_pool{m_io.get_executor(), 4, true};
  entry::AttemptWatch m_watch{m_io.get_executor()};
  entry::Route m_route;
  Endpoint m_upstream;
  RawSocket m_upstream_listener;
  Endpoint m_caller_endpoint;
  net::HttpListener m_listener;
  std::promise<Outcome> m_outcome;
  std::thread m_thread;
};

// Guards against a host that reads a whole body before it passes it on: the
// upstream has the first half while the caller still has the second.
TEST_F(UploadAttempt, BodyIsPassedOnAsItArrives) {
  const std::string body(kBodyBytes, 'x');
  const RawSocket caller = Connect();
  caller.Send(Head() + body.substr(0, kBodyBytes / 2) + "middle");
  const RawSocket upstream = m_upstream_listener.Accept();
  ASSERT_TRUE(upstream.ReadUntil("middle"));
  caller.Send(body.substr(0, kBodyBytes / 2 - 9) + "end");
  ASSERT_TRUE(upstream.ReadUntil("end"));
  upstream.Send(kResponse);
  EXPECT_TRUE(caller.ReadUntil("done"));
  const Outcome outcome = m_outcome.get_future().get();
  EXPECT_FALSE(outcome.m_first.m_failure);
  EXPECT_EQ(request::VerdictOf(outcome.m_first.m_attempt), Verdict::kRan);
}

// Guards against a refusal that is noticed only after the whole body was sent,
// and against a second attempt with a part of the body missing.
TEST_F(UploadAttempt, EarlyRefusalIsFollowedByASecondAttemptWithTheWholeBody) {
  const RawSocket caller = Connect();
  const std::string body = "begin" + std::string(kBodyBytes - 8, 'x') + "end";
  caller.Send(Head() + body.substr(0, 20000));
  RawSocket first = m_upstream_listener.Accept();
  ASSERT_TRUE(first.ReadUntil("begin"));
  first.Send(kRefusal);
  // The second attempt starts although the caller sends nothing more.
  const RawSocket second = m_upstream_listener.Accept();
  ASSERT_TRUE(second.ReadUntil(kEndOfHead));
  caller.Send(body.substr(20000));
  ASSERT_TRUE(second.ReadUntil("end"));
  second.Send(kResponse);
  EXPECT_TRUE(caller.ReadUntil("done"));
  const Outcome outcome = m_outcome.get_future().get();
  EXPECT_EQ(request::VerdictOf(outcome.m_first.m_attempt), Verdict::kNotRun);
  ASSERT_TRUE(outcome.m_second);
  EXPECT_EQ(request::VerdictOf(outcome.m_second->m_attempt), Verdict::kRan);
  // The first connection is owed the rest of a body, so it is closed.
  first.DiscardToEnd();
}

// Guards against an early response that is lost, and against bytes of another
// request where the rest of the body is due.
TEST_F(UploadAttempt, EarlyResponseIsPassedOnAndTheConnectionClosed) {
  const RawSocket caller = Connect();
  caller.Send(Head() + std::string(20000, 'x'));
  const RawSocket upstream = m_upstream_listener.Accept();
  ASSERT_TRUE(upstream.ReadUntil(kEndOfHead));
  upstream.Send(kResponse);
  EXPECT_TRUE(caller.ReadUntil("done"));
  // Ends, since the connection is closed and not kept for another request.
  upstream.DiscardToEnd();
  caller.Send(std::string(kBodyBytes - 20000, 'x'));
  const Outcome outcome = m_outcome.get_future().get();
  EXPECT_FALSE(outcome.m_first.m_failure);
  EXPECT_EQ(request::VerdictOf(outcome.m_first.m_attempt), Verdict::kRan);
}

// Guards against an informational response that ends the sending of the body.
TEST_F(UploadAttempt, InformationalResponseEndsNothing) {
  const RawSocket caller = Connect();
  caller.Send(Head() + std::string(20000, 'x'));
  const RawSocket upstream = m_upstream_listener.Accept();
  ASSERT_TRUE(upstream.ReadUntil(kEndOfHead));
  upstream.Send("HTTP/1.1 102 Processing\r\n\r\n");
  caller.Send(std::string(kBodyBytes - 20003, 'x') + "end");
  ASSERT_TRUE(upstream.ReadUntil("end"));
  upstream.Send(kResponse);
  EXPECT_TRUE(caller.ReadUntil("done"));
  EXPECT_FALSE(m_outcome.get_future().get().m_first.m_failure);
}

// Guards against "not run" for a request whose upstream closed early.
TEST_F(UploadAttempt, EarlyCloseMayHaveRun) {
  const RawSocket caller = Connect();
  caller.Send(Head() + std::string(20000, 'x'));
  RawSocket upstream = m_upstream_listener.Accept();
  ASSERT_TRUE(upstream.ReadUntil(kEndOfHead));
  upstream.Close();
  EXPECT_TRUE(caller.ReadUntil("HTTP/1.1 502"));
  caller.Send(std::string(kBodyBytes - 20000, 'x'));
  const Outcome outcome = m_outcome.get_future().get();
  EXPECT_TRUE(outcome.m_first.m_failure);
  EXPECT_EQ(request::VerdictOf(outcome.m_first.m_attempt),
            Verdict::kMayHaveRun);
}

// Guards against an upstream that reads nothing and keeps the body in the
// memory of the host beyond the deadline of the request.
TEST_F(UploadAttempt, UpstreamThatStopsReadingIsLeft) {
  m_time_limit = milliseconds(2000);
  const RawSocket caller = Connect();
  // More than the buffers of the kernel on the way take.
  constexpr std::size_t kLargeBytes = 32U << 20U;
  std::thread sender([&] {
    caller.Send("POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                std::to_string(kLargeBytes) + "\r\n\r\n" +
                std::string(kLargeBytes, 'x'));
  });
  const RawSocket upstream = m_upstream_listener.Accept();
  const Outcome outcome = m_outcome.get_future().get();
  EXPECT_EQ(outcome.m_first.m_failure, AttemptFailure::kTimeout);
  EXPECT_EQ(request::VerdictOf(outcome.m_first.m_attempt),
            Verdict::kMayHaveRun);
  sender.join();
}

// Guards against a request that is given up at its instance before its
// deadline, because the link of the host is expected to be busy until then.
TEST_F(UploadAttempt, BusyLinkEndsNoAttemptBeforeItsDeadline) {
  // The link is taken for a minute in each direction.
  constexpr std::uint64_t kBacklogBytes = kLinkKbitPerSecond * 1000 / 8 * 60;
  const MonoTime now = MonoClock::now();
  m_link.SetActive(true);
  m_link.Record(limits::LinkSide::kOut, kBacklogBytes, now);
  m_link.Record(limits::LinkSide::kIn, kBacklogBytes, now);
  const std::string large_response =
      "HTTP/1.1 200 OK\r\nContent-Length: 20004\r\n\r\n" +
      std::string(20000, 'x') + "done";
  const RawSocket caller = Connect();
  std::thread sender(
      [&] { caller.Send(Head() + std::string(kBodyBytes - 3, 'x') + "end"); });
  const RawSocket upstream = m_upstream_listener.Accept();
  EXPECT_TRUE(upstream.ReadUntil("end"));
  upstream.Send(large_response);
  EXPECT_TRUE(caller.ReadUntil("done"));
  const Outcome outcome = m_outcome.get_future().get();
  EXPECT_FALSE(outcome.m_first.m_failure) << outcome.m_first.m_error;
  sender.join();
}

// Guards against an upload that is given up before its deadline, because its
// upstream pauses while it reads the body.
TEST_F(UploadAttempt, UpstreamThatReadsOnAfterAPauseGetsTheWholeBody) {
  m_time_limit = milliseconds(600000);
  const RawSocket caller = Connect();
  // More than the buffers of the kernel on the way take.
  constexpr std::size_t kLargeBytes = 32U << 20U;
  const std::string head =
      "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: " +
      std::to_string(kLargeBytes) + "\r\n\r\n";
  std::thread sender(
      [&] { caller.Send(head + std::string(kLargeBytes - 3, 'x') + "end"); });
  const RawSocket upstream = m_upstream_listener.Accept();
  std::this_thread::sleep_for(seconds(6));
  // A response without the end of the body would be accepted as an early one.
  if (upstream.ReadUntil("end"))
    upstream.Send(kResponse);
  const Outcome outcome = m_outcome.get_future().get();
  EXPECT_FALSE(outcome.m_first.m_failure) << outcome.m_first.m_error;
  EXPECT_EQ(request::VerdictOf(outcome.m_first.m_attempt), Verdict::kRan);
  sender.join();
}

// Guards against a caller that sends slowly and keeps an upstream and memory
// occupied beyond the time limit of its request.
TEST_F(UploadAttempt, SlowCallerIsLeftAtTheDeadline) {
  m_time_limit = milliseconds(500);
  const RawSocket caller = Connect();
  caller.Send(Head() + "begin");
  const RawSocket upstream = m_upstream_listener.Accept();
  ASSERT_TRUE(upstream.ReadUntil("begin"));
  // The connection is closed, so that the upstream does not wait on.
  upstream.DiscardToEnd();
  const Outcome outcome = m_outcome.get_future().get();
  EXPECT_EQ(outcome.m_first.m_failure, AttemptFailure::kTimeout);
  EXPECT_EQ(outcome.m_kept_bytes, 5U);
}

// Guards against a request that runs at most once on an idle connection that
// the upstream has closed, and against a new connection where one is idle.
TEST_F(UploadAttempt, IdleConnectionIsReusedUnlessTheUpstreamClosedIt) {
  const std::string request =
      "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nend";
  const auto send = [&] {
    const RawSocket caller = Connect();
    caller.Send(request);
    EXPECT_TRUE(caller.ReadUntil("done"));
    const Outcome outcome = m_outcome.get_future().get();
    m_outcome = {};
    EXPECT_FALSE(outcome.m_first.m_failure);
    return outcome.m_first.m_attempt.m_is_reused_connection;
  };
  auto upstream = std::async(std::launch::async, [this] {
    RawSocket connection = m_upstream_listener.Accept();
    for (int i = 0; i < 2; ++i) {
      EXPECT_TRUE(connection.ReadUntil("end"));
      connection.Send(kResponse);
    }
    return connection;
  });
  EXPECT_FALSE(send());
  EXPECT_TRUE(send());
  upstream.get().Close();
  auto next = std::async(std::launch::async, [this] {
    const RawSocket connection = m_upstream_listener.Accept();
    EXPECT_TRUE(connection.ReadUntil("end"));
    connection.Send(kResponse);
  });
  EXPECT_FALSE(send());
  next.get();
}

}  // namespace
}  // namespace jujube::testing
