#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "net/frame_call.h"
#include "unit/net_support.h"

namespace jujube::net {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using test::DeadlineIn;
using test::IoThread;
using test::RawPeer;
using test::TestOptions;
using Reply = CallResult<ClaimReply>;

// A server on its own thread that replies to a ClaimRequest with the
// incarnation in it. With m_defer_replies, it stores the sources of the
// requests so that the test can reply later.
class TestServer {
 public:
  explicit TestServer(FrameOptions options, Endpoint listen = {}) {
    options.m_counters = &m_counters;
    options.m_on_event = [this](LogEvent event, std::string_view) {
      m_events.push_back(event);
    };
    FrameDispatch handlers;
    handlers.On<ClaimRequest>(
        [this](const FrameSource& source, const ClaimRequest& request) {
          ++m_received;
          if (m_defer_replies)
            m_deferred_requests.push_back(source);
          else
            source.Reply(ReplyWithNumber(request.m_incarnation));
        });
    m_thread.Run([&] {
      m_server = std::make_unique<FrameServer>(m_thread.Context(), options,
                                               std::move(handlers));
      m_endpoint = m_server->Start(listen).value();
    });
  }
  ~TestServer() {
    m_thread.Run([&] { m_server.reset(); });
  }

  static ClaimReply ReplyWithNumber(std::uint64_t number) {
    return ReplyWithBody(std::to_string(number));
  }
  static ClaimReply ReplyWithBody(std::string body) {
    return {.m_answer = StoredAnswer{.m_body = std::move(body)}};
  }

  IoThread m_thread;
  FrameCounters m_counters;
  std::vector<LogEvent> m_events;
  std::vector<FrameSource> m_deferred_requests;
  int m_received = 0;
  bool m_defer_replies = false;
  Endpoint m_endpoint;
  std::unique_ptr<FrameServer> m_server;
};

// A client on its own thread.
class TestClient {
 public:
  explicit TestClient(const Endpoint& endpoint,
                      FrameOptions options = TestOptions()) {
    options.m_counters = &m_counters;
    m_thread.Run([&] {
      m_client = std::make_unique<FrameClient>(m_thread.Context(), options,
                                               endpoint, FrameDispatch());
      m_client->Start();
    });
  }
  ~TestClient() {
    m_thread.Run([&] { m_client.reset(); });
  }

  void WaitForConnection(bool connected = true) {
    m_thread.WaitUntil([&] { return m_client->IsConnected() == connected; });
  }
  std::future<Reply> Call(std::uint64_t number,
                          MonoTime deadline = DeadlineIn(hours(1))) {
    auto promise = std::make_shared<std::promise<Reply>>();
    m_thread.Run([&] {
      m_client->Call<ClaimReply>(
          ClaimRequest{.m_incarnation = number}, deadline,
          [promise](const Reply& reply) { promise->set_value(reply); });
    });
    return promise->get_future();
  }

  IoThread m_thread;
  FrameCounters m_counters;
  std::unique_ptr<FrameClient> m_client;
};

TEST(NetFrame, CallCompletesByCallbackAndInCoroutine) {
  TestServer server(TestOptions());
  TestClient client(server.m_endpoint);
  client.WaitForConnection();
  EXPECT_EQ(client.Call(17).get().m_reply, TestServer::ReplyWithNumber(17));
  std::promise<Reply> promise;
  client.m_thread.Run([&] {
    boost::asio::co_spawn(
        client.m_thread.Context(),
        [](FrameClient* frame_client,
           std::promise<Reply>* done) -> boost::asio::awaitable<void> {
          const ClaimRequest request{.m_incarnation = 18};
          done->set_value(co_await Call<ClaimReply>(*frame_client, request,
                                                    DeadlineIn(hours(1))));
        }(client.m_client.get(), &promise),
        boost::asio::detached);
  });
  EXPECT_EQ(promise.get_future().get().m_reply,
            TestServer::ReplyWithNumber(18));
}

// Guards against a call that completes with the reply to another request
// (requirement R3 in docs/design.md).
TEST(NetFrame, OutOfOrderRepliesMatchTheirCalls) {
  TestServer server(TestOptions());
  server.m_defer_replies = true;
  TestClient client(server.m_endpoint);
  client.WaitForConnection();
  std::vector<std::future<Reply>> calls;
  for (std::uint64_t i = 0; i < 20; ++i)
    calls.push_back(client.Call(i));
  server.m_thread.WaitUntil(
      [&] { return server.m_deferred_requests.size() == 20; });
  server.m_thread.Run([&] {
    for (std::size_t i = 20; i-- > 0;)
      server.m_deferred_requests[i].Reply(TestServer::ReplyWithNumber(i));
  });
  for (std::uint64_t i = 0; i < 20; ++i)
    EXPECT_EQ(calls[i].get().m_reply, TestServer::ReplyWithNumber(i));
}

// Guards against a late reply that completes a later call.
TEST(NetFrame, LateReplyIsDropped) {
  TestServer server(TestOptions());
  server.m_defer_replies = true;
  TestClient client(server.m_endpoint);
  client.WaitForConnection();
  Reply late_reply = client.Call(1, DeadlineIn(milliseconds(5))).get();
  while (late_reply.m_delivery ==
         Delivery::kNotSent)  // expired before the write
    late_reply = client.Call(1, DeadlineIn(milliseconds(5))).get();
  EXPECT_EQ(late_reply.m_error.m_code, ErrorCode::kTimeout);
  EXPECT_EQ(late_reply.m_delivery, Delivery::kUnknown);
  server.m_thread.WaitUntil(
      [&] { return server.m_deferred_requests.size() == 1; });
  server.m_thread.Run([&] {
    server.m_deferred_requests[0].Reply(TestServer::ReplyWithNumber(1));
    server.m_defer_replies = false;
  });
  EXPECT_EQ(client.Call(2).get().m_reply, TestServer::ReplyWithNumber(2));
  EXPECT_EQ(client.m_counters.m_late_replies, 1U);
}

// Guards against retrying a request that the peer may have processed, and
// against not retrying one that was never sent (requirement R4 in
// docs/design.md).
TEST(NetFrame, LostConnectionReportsDelivery) {
  RawPeer peer;
  TestClient client(peer.Listen());
  EXPECT_EQ(client.Call(1).get().m_delivery, Delivery::kNotSent);
  peer.AcceptWithHandshake();
  client.WaitForConnection();
  auto sent = client.Call(2);
  peer.Read(wire::kFrameHeadBytes);
  // The peer reads nothing more, so these messages fill the socket buffers.
  client.m_thread.Run([&] {
    for (int i = 0; i < 20; ++i) {
      EXPECT_TRUE(client.m_client->Send(
          SnapshotChunk{.m_data = std::string(1000000, 'x')}));
    }
  });
  auto queued = client.Call(3);
  auto cancelled = client.Call(4, DeadlineIn(milliseconds(5)));
  const Reply timeout = cancelled.get();
  EXPECT_EQ(timeout.m_error.m_code, ErrorCode::kTimeout);
  EXPECT_EQ(timeout.m_delivery, Delivery::kNotSent);
  peer.Close();
  EXPECT_EQ(sent.get().m_delivery, Delivery::kUnknown);
  EXPECT_EQ(queued.get().m_delivery, Delivery::kNotSent);
}

TEST(NetFrame, ClientReconnectsAfterServerRestart) {
  auto server = std::make_unique<TestServer>(TestOptions());
  const Endpoint endpoint = server->m_endpoint;
  TestClient client(endpoint);
  client.WaitForConnection();
  server.reset();
  client.WaitForConnection(false);
  EXPECT_EQ(client.Call(1).get().m_delivery, Delivery::kNotSent);
  server = std::make_unique<TestServer>(TestOptions(), endpoint);
  client.WaitForConnection();
  EXPECT_EQ(client.Call(2).get().m_reply, TestServer::ReplyWithNumber(2));
}

// Guards against a process that connects without the shared key.
TEST(NetFrame, WrongKeyIsRejectedAndCounted) {
  TestServer server(TestOptions());
  FrameOptions options = TestOptions();
  options.m_key = "another key that is long enough";
  TestClient client(server.m_endpoint, options);
  server.m_thread.WaitUntil(
      [&] { return server.m_counters.m_handshakes_failed >= 2; });
  client.m_thread.Run([&] { EXPECT_FALSE(client.m_client->IsConnected()); });
  EXPECT_GE(client.m_counters.m_handshakes_failed, 1U);
}

// Guards against connections that never complete their handshake.
TEST(NetFrame, UnfinishedHandshakeTimesOut) {
  FrameOptions options = TestOptions();
  options.m_handshake_timeout = milliseconds(30);
  TestServer server(options);
  RawPeer silent;
  silent.Connect(server.m_endpoint);
  EXPECT_EQ(silent.ReadUntilClosed(), 0U);
  server.m_thread.WaitUntil(
      [&] { return server.m_server->ConnectionCount() == 0; });
  EXPECT_EQ(server.m_counters.m_handshakes_failed, 1U);
}

// Guards against unbounded use of file descriptors and memory by many peers.
TEST(NetFrame, ConnectionAboveTheLimitIsClosed) {
  FrameOptions options = TestOptions();
  options.m_max_connections = 1;
  TestServer server(options);
  RawPeer first;
  first.Connect(server.m_endpoint);
  server.m_thread.WaitUntil(
      [&] { return server.m_server->ConnectionCount() == 1; });
  RawPeer excess;
  excess.Connect(server.m_endpoint);
  EXPECT_EQ(excess.ReadUntilClosed(), 0U);
  server.m_thread.Run([&] {
    EXPECT_EQ(server.m_events, std::vector{LogEvent::kConnectionLimit});
  });
  first.Handshake();
  first.Close();
  TestClient client(server.m_endpoint);
  client.WaitForConnection();
}

// Guards against processing replayed or modified frames.
TEST(NetFrame, ReplayedOrTamperedFrameClosesTheConnection) {
  TestServer server(TestOptions());
  RawPeer replaying;
  replaying.Connect(server.m_endpoint);
  replaying.Handshake();
  const std::string frame = replaying.Frame(ClaimRequest{}, 1);
  replaying.Write(frame + frame);
  replaying.ReadUntilClosed();
  server.m_thread.Run([&] { EXPECT_EQ(server.m_received, 1); });
  for (std::size_t byte = 0; byte < frame.size(); ++byte) {
    RawPeer tampering;
    tampering.Connect(server.m_endpoint);
    tampering.Handshake();
    std::string tampered = tampering.Frame(ClaimRequest{}, 1);
    tampered[byte] ^= 1;
    // The zeros complete a frame whose length field was increased.
    tampering.Write(tampered + std::string(1024, '\0'));
    EXPECT_EQ(tampering.ReadUntilClosed(), 0U) << byte;
  }
  server.m_thread.Run([&] { EXPECT_EQ(server.m_received, 1); });
  EXPECT_EQ(server.m_counters.m_frames_refused, frame.size() + 1);
}

// Guards against allocating memory for a length over the limit of the type,
// against processing a frame of a type that has no handler, and against
// processing a truncated frame.
TEST(NetFrame, OversizedUnexpectedAndTruncatedFramesCloseTheConnection) {
  TestServer server(TestOptions());
  const auto type = static_cast<std::uint16_t>(FrameType::kClaimRequest);
  RawPeer oversized;
  oversized.Connect(server.m_endpoint);
  oversized.Handshake();
  oversized.Write(wire::EncodeFrameHeader({.m_type = type,
                                           .m_payload_length = 0xffffffffU,
                                           .m_incarnation = 4}) +
                  std::string(wire::kFrameTagBytes, '\0'));
  EXPECT_EQ(oversized.ReadUntilClosed(), 0U);
  RawPeer unexpected;
  unexpected.Connect(server.m_endpoint);
  unexpected.Handshake();
  unexpected.Write(unexpected.Frame(TimeoutNow{}));
  EXPECT_EQ(unexpected.ReadUntilClosed(), 0U);
  RawPeer truncated;
  truncated.Connect(server.m_endpoint);
  truncated.Handshake();
  const std::string frame = truncated.Frame(ClaimRequest{}, 1);
  truncated.Write(frame.substr(0, frame.size() - 1));
  truncated.Close();
  server.m_thread.WaitUntil(
      [&] { return server.m_server->ConnectionCount() == 0; });
  server.m_thread.Run([&] { EXPECT_EQ(server.m_received, 0); });
  EXPECT_EQ(server.m_counters.m_frames_refused, 2U);
}

// Guards against a peer that does not read and thereby occupies memory and a
// connection.
TEST(NetFrame, SlowReaderQueueIsBoundedAndConnectionCloses) {
  FrameOptions options = TestOptions();
  options.m_max_queued_bytes = 8U << 20U;
  options.m_write_timeout = milliseconds(300);
  TestServer server(options);
  server.m_defer_replies = true;
  RawPeer slow;
  slow.Connect(server.m_endpoint);
  slow.Handshake();
  slow.Write(slow.Frame(ClaimRequest{}, 1));
  server.m_thread.WaitUntil(
      [&] { return server.m_deferred_requests.size() == 1; });
  server.m_thread.Run([&] {
    const ClaimReply large =
        TestServer::ReplyWithBody(std::string(1000000, 'x'));
    for (int i = 0; i < 100; ++i)
      server.m_deferred_requests[0].Reply(large);
    EXPECT_LE(server.m_server->QueuedBytes(), options.m_max_queued_bytes);
    EXPECT_GT(server.m_counters.m_queue_full, 0U);
  });
  server.m_thread.WaitUntil(
      [&] { return server.m_server->ConnectionCount() == 0; });
  server.m_thread.Run(
      [&] { EXPECT_EQ(server.m_events, std::vector{LogEvent::kPeerTooSlow}); });
}

}  // namespace
}  // namespace jujube::net
