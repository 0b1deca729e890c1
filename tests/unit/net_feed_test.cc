#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gen/feed_wire.h"
#include "net/feed_client.h"
#include "net/feed_server.h"
#include "unit/net_support.h"

namespace jujube::net {
namespace {

using std::chrono::milliseconds;
using test::IoThread;
using test::RawPeer;
using test::TestOptions;

feed::Publisher::State StateAt(std::uint64_t index, std::size_t blocks = 40) {
  FeedState state{.m_index = index};
  state.m_deployment.m_number = index;
  for (std::size_t block = 0; block < blocks; ++block) {
    state.m_deployment.m_blocks.push_back(
        {.m_prefix = std::to_string(100000 + block),
         .m_site = {"site-" + std::to_string((index + block) % 7)}});
  }
  return std::make_shared<const FeedState>(std::move(state));
}

// A node of the feed tree: a FeedServer, and a FeedClient if it has parents.
class FeedNode {
 public:
  FeedNode(std::string name,
           std::vector<Endpoint> parents,
           FeedServerOptions server_options = {.m_heartbeat = milliseconds(20)},
           milliseconds max_origin_age = milliseconds(800))
      : m_max_origin_age(max_origin_age) {
    m_thread.Run([&] {
      if (!parents.empty())
        StartClient(std::move(name), std::move(parents));
      if (m_client && !server_options.m_origin_age)
        server_options.m_origin_age = [this] { return m_client->OriginAge(); };
      m_feed = std::make_unique<FeedServer>(m_thread.Context(), server_options,
                                            m_table);
      FrameDispatch handlers;
      m_feed->Register(&handlers);
      m_server = std::make_unique<FrameServer>(
          m_thread.Context(), TestOptions(), std::move(handlers));
      m_endpoint = m_server->Start({}).value();
      m_feed->Start();
    });
  }
  ~FeedNode() {
    m_thread.Run([&] {
      m_client.reset();
      m_server.reset();
      m_feed.reset();
    });
  }

  void StartClient(std::string name, std::vector<Endpoint> parents) {
    FeedClientOptions options;
    options.m_frames = TestOptions();
    options.m_frames.m_on_event = [this](LogEvent event, std::string_view) {
      m_events.push_back(event);
    };
    options.m_state = m_feed ? m_feed->Source().Current() : nullptr;
    options.m_host = {std::move(name)};
    options.m_parents = std::move(parents);
    options.m_heartbeat = milliseconds(20);
    options.m_silence = milliseconds(400);
    options.m_max_origin_age = m_max_origin_age;
    m_client =
        std::make_unique<FeedClient>(m_thread.Context(), options, m_table);
    m_client->OnState(
        [this](const feed::Subscriber::State& state, const FeedChange* change) {
          const Status published = change != nullptr
                                       ? m_feed->Publish(state, *change)
                                       : m_feed->Publish(state);
          EXPECT_TRUE(published);
        });
    m_client->Start();
  }

  void Publish(std::uint64_t index, std::size_t blocks = 40) {
    m_thread.Run([&] { EXPECT_TRUE(m_feed->Publish(StateAt(index, blocks))); });
  }
  void WaitForIndex(std::uint64_t index) {
    m_thread.WaitUntil([&] { return m_feed->Source().Index() >= index; });
    m_thread.Run(
        [&] { EXPECT_EQ(*m_feed->Source().Current(), *StateAt(index)); });
  }
  void WaitForParent(std::size_t parent) {
    m_thread.WaitUntil([&] {
      return m_client->ParentIndex() == parent && m_client->IsConnected();
    });
  }

  const milliseconds m_max_origin_age;
  IoThread m_thread;
  feed::StatusTable m_table;
  std::vector<LogEvent> m_events;
  Endpoint m_endpoint;
  std::unique_ptr<FeedClient> m_client;
  std::unique_ptr<FeedServer> m_feed;
  std::unique_ptr<FrameServer> m_server;
};

TEST(NetFeed, RelayForwardsChangesAndReports) {
  FeedNode voter("", {});
  voter.Publish(1);
  FeedNode relay("relay", {voter.m_endpoint});
  FeedNode leaf("leaf", {relay.m_endpoint});
  leaf.WaitForIndex(1);
  for (std::uint64_t index = 2; index <= 60; ++index)
    voter.Publish(index);
  leaf.WaitForIndex(60);
  voter.m_thread.WaitUntil([&] {
    std::size_t current = 0;
    for (const auto& host : voter.m_table.Hosts(MonoClock::now()))
      current += host.m_index == 60 && host.m_incarnation == 3 ? 1 : 0;
    return current == 2;
  });
}

// Guards against a subscriber that keeps a stale configuration because its
// parent hangs and sends nothing.
TEST(NetFeed, ClientLeavesSilentParent) {
  FeedNode voter("", {});
  voter.Publish(5);
  FeedNode silent("", {}, {.m_heartbeat = std::chrono::hours(1)});
  // The maximum origin age is an hour, so that only the missing messages can
  // make the client switch.
  FeedNode leaf("leaf", {silent.m_endpoint, voter.m_endpoint},
                {.m_heartbeat = milliseconds(20)}, std::chrono::hours(1));
  leaf.WaitForIndex(5);
  leaf.m_thread.Run(
      [&] { EXPECT_EQ(leaf.m_events.front(), LogEvent::kFeedParentChanged); });
}

// Guards against a relay that still sends heartbeats but lost contact with the
// voters: its subscribers would keep a stale configuration.
TEST(NetFeed, ClientLeavesParentDisconnectedFromVoters) {
  FeedNode disconnected("", {},
                        {.m_heartbeat = milliseconds(20),
                         .m_origin_age = [] { return milliseconds(3600000); }});
  disconnected.Publish(3);
  FeedNode voter("", {});
  voter.Publish(5);
  FeedNode leaf("leaf", {disconnected.m_endpoint, voter.m_endpoint});
  leaf.WaitForIndex(5);
}

// Guards against two relays that subscribe to each other: their heartbeats
// would hide that neither reaches the voters.
TEST(NetFeed, ClientLeavesRelayLoop) {
  FeedNode voter("", {});
  voter.Publish(4);
  FeedNode first("first", {voter.m_endpoint});
  FeedNode second("second", {first.m_endpoint, voter.m_endpoint});
  second.WaitForIndex(4);
  first.m_thread.Run([&] {
    first.m_client.reset();
    first.StartClient("first", {second.m_endpoint, voter.m_endpoint});
  });
  voter.Publish(5);
  first.WaitForIndex(5);
  second.WaitForIndex(5);
}

// Guards against a rollback to an older state after a switch to a lagging
// parent.
TEST(NetFeed, LaggingParentDoesNotDecreaseTheIndex) {
  FeedNode newer("", {});
  newer.Publish(9);
  FeedNode older("", {});
  older.Publish(4);
  FeedNode leaf("leaf", {newer.m_endpoint, older.m_endpoint});
  leaf.WaitForIndex(9);
  newer.m_thread.Run([&] { newer.m_server->Stop(); });
  leaf.WaitForParent(1);
  older.m_thread.WaitUntil([&] { return older.m_feed->Subscribers() == 1; });
  older.Publish(7);
  leaf.m_thread.Run([&] { EXPECT_EQ(leaf.m_feed->Source().Index(), 9U); });
  older.Publish(12);
  leaf.WaitForIndex(12);
}

// Guards against a send queue that grows with each change that a slow
// subscriber has not read.
TEST(NetFeed, SlowSubscriberQueueIsBounded) {
  FeedNode voter("", {});
  RawPeer slow;
  slow.Connect(voter.m_endpoint);
  slow.Handshake();
  slow.Write(slow.Frame(FeedSubscribe{.m_host = {"slow"}}));
  voter.m_thread.WaitUntil([&] { return voter.m_feed->Subscribers() == 1; });
  constexpr std::size_t kBlocks = 5000;
  const std::size_t message_bytes = Encode(*StateAt(1, kBlocks)).size();
  for (std::uint64_t index = 1; index <= 500; ++index) {
    voter.Publish(index, kBlocks);
    voter.m_thread.Run([&] {
      EXPECT_LE(voter.m_server->QueuedBytes(),
                message_bytes * 3 + (128U << 10U));
    });
  }
}

}  // namespace
}  // namespace jujube::net
