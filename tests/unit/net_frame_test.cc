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
using test::In;
using test::Loop;
using test::RawPeer;
using test::TestOptions;
using Reply = CallResult<ClaimReply>;

// A server on its own thread that answers claims with the incarnation that the
// claim carries. With hold, it keeps the sources instead.
class Server {
 public:
  explicit Server(FrameOptions options, Endpoint listen = {}) {
    options.m_counters = &m_counters;
    options.m_on_event = [this](LogEvent event, std::string_view) {
      m_events.push_back(event);
    };
    FrameDispatch handlers;
    handlers.On<ClaimRequest>(
        [this](const FrameSource& source, const ClaimRequest& request) {
          ++m_received;
          if (m_hold)
            m_held.push_back(source);
          else
            source.Reply(Answer(request.m_incarnation));
        });
    m_loop.Run([&] {
      m_server = std::make_unique<FrameServer>(m_loop.Context(), options,
                                               std::move(handlers));
      m_endpoint = m_server->Start(listen).value();
    });
  }
  ~Server() {
    m_loop.Run([&] { m_server.reset(); });
  }

  static ClaimReply Answer(std::uint64_t number) {
    return Body(std::to_string(number));
  }
  static ClaimReply Body(std::string body) {
    return {.m_answer = StoredAnswer{.m_body = std::move(body)}};
  }

  Loop m_loop;
  FrameCounters m_counters;
  std::vector<LogEvent> m_events;
  std::vector<FrameSource> m_held;
  int m_received = 0;
  bool m_hold = false;
  Endpoint m_endpoint;
  std::unique_ptr<FrameServer> m_server;
};

// A client on its own thread.
class Client {
 public:
  explicit Client(const Endpoint& endpoint,
                  FrameOptions options = TestOptions()) {
    options.m_counters = &m_counters;
    m_loop.Run([&] {
      m_client = std::make_unique<FrameClient>(m_loop.Context(), options,
                                               endpoint, FrameDispatch());
      m_client->Start();
    });
  }
  ~Client() {
    m_loop.Run([&] { m_client.reset(); });
  }

  void UntilConnected(bool connected = true) {
    m_loop.Until([&] { return m_client->IsConnected() == connected; });
  }
  std::future<Reply> Call(std::uint64_t number,
                          MonoTime deadline = In(hours(1))) {
    auto promise = std::make_shared<std::promise<Reply>>();
    m_loop.Run([&] {
      m_client->Call<ClaimReply>(
          ClaimRequest{.m_incarnation = number}, deadline,
          [promise](const Reply& reply) { promise->set_value(reply); });
    });
    return promise->get_future();
  }

  Loop m_loop;
  FrameCounters m_counters;
  std::unique_ptr<FrameClient> m_client;
};

TEST(NetFrame, CallsAreAnsweredByCallbackAndInACoroutine) {
  Server server(TestOptions());
  Client client(server.m_endpoint);
  client.UntilConnected();
  EXPECT_EQ(client.Call(17).get().m_reply, Server::Answer(17));
  std::promise<Reply> promise;
  client.m_loop.Run([&] {
    boost::asio::co_spawn(
        client.m_loop.Context(),
        [](FrameClient* frame_client,
           std::promise<Reply>* done) -> boost::asio::awaitable<void> {
          const ClaimRequest request{.m_incarnation = 18};
          done->set_value(
              co_await Call<ClaimReply>(*frame_client, request, In(hours(1))));
        }(client.m_client.get(), &promise),
        boost::asio::detached);
  });
  EXPECT_EQ(promise.get_future().get().m_reply, Server::Answer(18));
}

// Guards against a caller that takes the reply of another request (R3).
TEST(NetFrame, RepliesInAnotherOrderReachTheirCalls) {
  Server server(TestOptions());
  server.m_hold = true;
  Client client(server.m_endpoint);
  client.UntilConnected();
  std::vector<std::future<Reply>> calls;
  for (std::uint64_t i = 0; i < 20; ++i)
    calls.push_back(client.Call(i));
  server.m_loop.Until([&] { return server.m_held.size() == 20; });
  server.m_loop.Run([&] {
    for (std::size_t i = 20; i-- > 0;)
      server.m_held[i].Reply(Server::Answer(i));
  });
  for (std::uint64_t i = 0; i < 20; ++i)
    EXPECT_EQ(calls[i].get().m_reply, Server::Answer(i));
}

// Guards against a late reply that reaches a later call.
TEST(NetFrame, LateReplyIsDropped) {
  Server server(TestOptions());
  server.m_hold = true;
  Client client(server.m_endpoint);
  client.UntilConnected();
  Reply late = client.Call(1, In(milliseconds(5))).get();
  while (late.m_delivery == Delivery::kNotSent)  // expired before the write
    late = client.Call(1, In(milliseconds(5))).get();
  EXPECT_EQ(late.m_error.m_code, ErrorCode::kTimeout);
  EXPECT_EQ(late.m_delivery, Delivery::kUnknown);
  server.m_loop.Until([&] { return server.m_held.size() == 1; });
  server.m_loop.Run([&] {
    server.m_held[0].Reply(Server::Answer(1));
    server.m_hold = false;
  });
  EXPECT_EQ(client.Call(2).get().m_reply, Server::Answer(2));
  EXPECT_EQ(client.m_counters.m_late_replies, 1U);
}

// Guards against a retry of a request that the peer may have acted on, and
// against a refusal to retry one that never left (R4).
TEST(NetFrame, LostConnectionTellsWhatMayHaveBeenDelivered) {
  RawPeer peer;
  Client client(peer.Listen());
  EXPECT_EQ(client.Call(1).get().m_delivery, Delivery::kNotSent);
  peer.Accept();
  client.UntilConnected();
  auto sent = client.Call(2);
  peer.Read(wire::kFrameHeadBytes);
  // The peer reads nothing more, so these fill the buffers of the kernel.
  client.m_loop.Run([&] {
    for (int i = 0; i < 20; ++i) {
      EXPECT_TRUE(client.m_client->Send(
          SnapshotChunk{.m_data = std::string(1000000, 'x')}));
    }
  });
  auto queued = client.Call(3);
  auto withdrawn = client.Call(4, In(milliseconds(5)));
  const Reply timeout = withdrawn.get();
  EXPECT_EQ(timeout.m_error.m_code, ErrorCode::kTimeout);
  EXPECT_EQ(timeout.m_delivery, Delivery::kNotSent);
  peer.Close();
  EXPECT_EQ(sent.get().m_delivery, Delivery::kUnknown);
  EXPECT_EQ(queued.get().m_delivery, Delivery::kNotSent);
}

TEST(NetFrame, ClientReconnectsAfterAStopOfTheServer) {
  auto server = std::make_unique<Server>(TestOptions());
  const Endpoint endpoint = server->m_endpoint;
  Client client(endpoint);
  client.UntilConnected();
  server.reset();
  client.UntilConnected(false);
  EXPECT_EQ(client.Call(1).get().m_delivery, Delivery::kNotSent);
  server = std::make_unique<Server>(TestOptions(), endpoint);
  client.UntilConnected();
  EXPECT_EQ(client.Call(2).get().m_reply, Server::Answer(2));
}

// Guards against a foreign process that joins without the key.
TEST(NetFrame, WrongKeyIsRefusedAndCounted) {
  Server server(TestOptions());
  FrameOptions options = TestOptions();
  options.m_key = "another key that is long enough";
  Client client(server.m_endpoint, options);
  server.m_loop.Until(
      [&] { return server.m_counters.m_handshakes_failed >= 2; });
  client.m_loop.Run([&] { EXPECT_FALSE(client.m_client->IsConnected()); });
  EXPECT_GE(client.m_counters.m_handshakes_failed, 1U);
}

// Guards against connections that never finish their handshake.
TEST(NetFrame, SilentPeerIsClosed) {
  FrameOptions options = TestOptions();
  options.m_handshake_timeout = milliseconds(30);
  Server server(options);
  RawPeer silent;
  silent.Connect(server.m_endpoint);
  EXPECT_EQ(silent.ReadUntilClosed(), 0U);
  server.m_loop.Until([&] { return server.m_server->Connections() == 0; });
  EXPECT_EQ(server.m_counters.m_handshakes_failed, 1U);
}

// Guards against file descriptors and memory that grow with the peers.
TEST(NetFrame, ConnectionAboveTheLimitIsClosed) {
  FrameOptions options = TestOptions();
  options.m_max_connections = 1;
  Server server(options);
  RawPeer first;
  first.Connect(server.m_endpoint);
  server.m_loop.Until([&] { return server.m_server->Connections() == 1; });
  RawPeer excess;
  excess.Connect(server.m_endpoint);
  EXPECT_EQ(excess.ReadUntilClosed(), 0U);
  server.m_loop.Run([&] {
    EXPECT_EQ(server.m_events, std::vector{LogEvent::kConnectionLimit});
  });
  first.Handshake();
  first.Close();
  Client client(server.m_endpoint);
  client.UntilConnected();
}

// Guards against acting on frames that are not exactly the next one.
TEST(NetFrame, ReplayedOrChangedFrameClosesTheConnection) {
  Server server(TestOptions());
  RawPeer replaying;
  replaying.Connect(server.m_endpoint);
  replaying.Handshake();
  const std::string frame = replaying.Frame(ClaimRequest{}, 1);
  replaying.Write(frame + frame);
  replaying.ReadUntilClosed();
  server.m_loop.Run([&] { EXPECT_EQ(server.m_received, 1); });
  for (std::size_t byte = 0; byte < frame.size(); ++byte) {
    RawPeer changing;
    changing.Connect(server.m_endpoint);
    changing.Handshake();
    std::string changed = changing.Frame(ClaimRequest{}, 1);
    changed[byte] ^= 1;
    // The zeros complete a frame whose length grew.
    changing.Write(changed + std::string(1024, '\0'));
    EXPECT_EQ(changing.ReadUntilClosed(), 0U) << byte;
  }
  server.m_loop.Run([&] { EXPECT_EQ(server.m_received, 1); });
  EXPECT_EQ(server.m_counters.m_frames_refused, frame.size() + 1);
}

// Guards against memory for a length that the type does not allow, against a
// payload that does not decode, and against acting on half a frame.
TEST(NetFrame, OversizedMalformedAndTruncatedFramesCloseTheConnection) {
  Server server(TestOptions());
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
  server.m_loop.Until([&] { return server.m_server->Connections() == 0; });
  server.m_loop.Run([&] { EXPECT_EQ(server.m_received, 0); });
  EXPECT_EQ(server.m_counters.m_frames_refused, 2U);
}

// Guards against memory and a connection that a peer holds by not reading.
TEST(NetFrame, SlowReaderHasABoundedQueueAndIsClosed) {
  FrameOptions options = TestOptions();
  options.m_max_queued_bytes = 8U << 20U;
  options.m_write_timeout = milliseconds(300);
  Server server(options);
  server.m_hold = true;
  RawPeer slow;
  slow.Connect(server.m_endpoint);
  slow.Handshake();
  slow.Write(slow.Frame(ClaimRequest{}, 1));
  server.m_loop.Until([&] { return server.m_held.size() == 1; });
  server.m_loop.Run([&] {
    const ClaimReply large = Server::Body(std::string(1000000, 'x'));
    for (int i = 0; i < 100; ++i)
      server.m_held[0].Reply(large);
    EXPECT_LE(server.m_server->QueuedBytes(), options.m_max_queued_bytes);
    EXPECT_GT(server.m_counters.m_queue_full, 0U);
  });
  server.m_loop.Until([&] { return server.m_server->Connections() == 0; });
  server.m_loop.Run(
      [&] { EXPECT_EQ(server.m_events, std::vector{LogEvent::kPeerTooSlow}); });
}

}  // namespace
}  // namespace jujube::net
