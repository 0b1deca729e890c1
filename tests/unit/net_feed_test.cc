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
using test::Loop;
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

// A process of the feed: a server, and a client if it has parents.
class Node {
 public:
  Node(std::string name,
       std::vector<Endpoint> parents,
       FeedServerOptions server_options = {.m_heartbeat = milliseconds(20)},
       milliseconds max_origin_age = milliseconds(800))
      : m_max_origin_age(max_origin_age) {
    m_loop.Run([&] {
      if (!parents.empty())
        StartClient(std::move(name), std::move(parents));
      if (m_client && !server_options.m_origin_age)
        server_options.m_origin_age = [this] { return m_client->OriginAge(); };
      m_feed = std::make_unique<FeedServer>(m_loop.Context(), server_options,
                                            m_table);
      FrameDispatch handlers;
      m_feed->Register(&handlers);
      m_server = std::make_unique<FrameServer>(m_loop.Context(), TestOptions(),
                                               std::move(handlers));
      m_endpoint = m_server->Start({}).value();
      m_feed->Start();
    });
  }
  ~Node() {
    m_loop.Run([&] {
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
    m_client = std::make_unique<FeedClient>(m_loop.Context(), options, m_table);
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
    m_loop.Run([&] { EXPECT_TRUE(m_feed->Publish(StateAt(index, blocks))); });
  }
  void UntilAt(std::uint64_t index) {
    m_loop.Until([&] { return m_feed->Source().Index() >= index; });
    m_loop.Run(
        [&] { EXPECT_EQ(*m_feed->Source().Current(), *StateAt(index)); });
  }
  void UntilParent(std::size_t parent) {
    m_loop.Until([&] {
      return m_client->Parent() == parent && m_client->IsConnected();
    });
  }

  const milliseconds m_max_origin_age;
  Loop m_loop;
  feed::StatusTable m_table;
  std::vector<LogEvent> m_events;
  Endpoint m_endpoint;
  std::unique_ptr<FeedClient> m_client;
  std::unique_ptr<FeedServer> m_feed;
  std::unique_ptr<FrameServer> m_server;
};

TEST(NetFeed, ChangesAndReportsPassThroughARelay) {
  Node voter("", {});
  voter.Publish(1);
  Node relay("relay", {voter.m_endpoint});
  Node leaf("leaf", {relay.m_endpoint});
  leaf.UntilAt(1);
  for (std::uint64_t index = 2; index <= 60; ++index)
    voter.Publish(index);
  leaf.UntilAt(60);
  voter.m_loop.Until([&] {
    std::size_t current = 0;
    for (const auto& host : voter.m_table.Hosts(MonoClock::now()))
      current += host.m_index == 60 && host.m_incarnation == 3 ? 1 : 0;
    return current == 2;
  });
}

// Guards against a subscriber that stays at an old configuration because its
// parent is frozen.
TEST(NetFeed, SilentParentIsLeft) {
  Node voter("", {});
  voter.Publish(5);
  Node silent("", {}, {.m_heartbeat = std::chrono::hours(1)});
  // The age of the state alone must not be what makes the client leave.
  Node leaf("leaf", {silent.m_endpoint, voter.m_endpoint},
            {.m_heartbeat = milliseconds(20)}, std::chrono::hours(1));
  leaf.UntilAt(5);
  leaf.m_loop.Run(
      [&] { EXPECT_EQ(leaf.m_events.front(), LogEvent::kFeedParentChanged); });
}

// Guards against a relay that is alive but cut off from the voters, which would
// keep its subscribers at an old configuration.
TEST(NetFeed, ParentThatIsCutOffFromTheVotersIsLeft) {
  Node cut_off("", {}, {.m_heartbeat = milliseconds(20), .m_origin_age = [] {
                          return milliseconds(3600000);
                        }});
  cut_off.Publish(3);
  Node voter("", {});
  voter.Publish(5);
  Node leaf("leaf", {cut_off.m_endpoint, voter.m_endpoint});
  leaf.UntilAt(5);
}

// Guards against two relays that keep each other alive with their heartbeats.
TEST(NetFeed, LoopOfRelaysIsLeft) {
  Node voter("", {});
  voter.Publish(4);
  Node first("first", {voter.m_endpoint});
  Node second("second", {first.m_endpoint, voter.m_endpoint});
  second.UntilAt(4);
  first.m_loop.Run([&] {
    first.m_client.reset();
    first.StartClient("first", {second.m_endpoint, voter.m_endpoint});
  });
  voter.Publish(5);
  first.UntilAt(5);
  second.UntilAt(5);
}

// Guards against an older state after a change to a parent that lags.
TEST(NetFeed, LaggingParentDoesNotMoveTheIndexBack) {
  Node ahead("", {});
  ahead.Publish(9);
  Node behind("", {});
  behind.Publish(4);
  Node leaf("leaf", {ahead.m_endpoint, behind.m_endpoint});
  leaf.UntilAt(9);
  ahead.m_loop.Run([&] { ahead.m_server->Stop(); });
  leaf.UntilParent(1);
  behind.m_loop.Until([&] { return behind.m_feed->Subscribers() == 1; });
  behind.Publish(7);
  leaf.m_loop.Run([&] { EXPECT_EQ(leaf.m_feed->Source().Index(), 9U); });
  behind.Publish(12);
  leaf.UntilAt(12);
}

// Guards against memory of a parent that grows with the changes that a slow
// subscriber has not read.
TEST(NetFeed, SlowSubscriberCostsOneMessage) {
  Node voter("", {});
  RawPeer slow;
  slow.Connect(voter.m_endpoint);
  slow.Handshake();
  slow.Write(slow.Frame(FeedSubscribe{.m_host = {"slow"}}));
  voter.m_loop.Until([&] { return voter.m_feed->Subscribers() == 1; });
  constexpr std::size_t kBlocks = 5000;
  const std::size_t one = Encode(*StateAt(1, kBlocks)).size();
  for (std::uint64_t index = 1; index <= 500; ++index) {
    voter.Publish(index, kBlocks);
    voter.m_loop.Run([&] {
      EXPECT_LE(voter.m_server->QueuedBytes(), one * 3 + (128U << 10U));
    });
  }
}

}  // namespace
}  // namespace jujube::net
