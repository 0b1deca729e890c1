#include <array>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "feed/change.h"
#include "feed/publisher.h"
#include "feed/status_table.h"
#include "feed/subscriber.h"
#include "gen/feed_wire.h"

namespace jujube::feed {
namespace {

using std::chrono::milliseconds;

// Fixes the seed for rc::check, which reads RC_PARAMS once per process. A value
// that is already set in the environment is kept.
const bool g_fixed_seed = ::setenv("RC_PARAMS", "seed=20261204", 0) == 0;

constexpr std::size_t kBlocks = 200;

// Returns the state at an index. Each index moves one block to another site, so
// that all states differ. Every tenth index removes or restores a block, and
// every seventh state has a drained region.
Publisher::State MakeState(std::uint64_t index) {
  FeedState state{.m_index = index};
  state.m_deployment.m_number = index * 2;
  for (std::size_t block = 0; block < kBlocks; ++block) {
    if (block == 5 && (index / 10) % 2 == 1)
      continue;
    const std::uint64_t site = (index + kBlocks - block) / kBlocks;
    state.m_deployment.m_blocks.push_back(
        {.m_prefix = "10.0." + std::to_string(block) + ".0/24",
         .m_site = {"site-" + std::to_string(site)}});
  }
  if (index % 7 == 0)
    state.m_drains.push_back({.m_kind = DrainKind::kRegion, .m_name = "r"});
  return std::make_shared<const FeedState>(Canonical(std::move(state)));
}

// Cached, because the property tests compare thousands of states.
Publisher::State StateAt(std::uint64_t index) {
  static std::map<std::uint64_t, Publisher::State> states;
  Publisher::State& state = states[index];
  if (!state)
    state = MakeState(index);
  return state;
}

MessageResult Deliver(Subscriber* subscriber, const FeedMessage& message) {
  if (message.m_type == FrameType::kFeedChange)
    return subscriber->OnChange(DecodeFeedChange(*message.m_payload).value());
  return subscriber->OnChunk(
      DecodeFeedSnapshotChunk(*message.m_payload).value());
}

struct MessageCounts {
  std::size_t m_changes = 0;
  std::size_t m_chunks = 0;
};

MessageCounts CatchUp(Publisher* publisher, Subscriber* subscriber) {
  MessageCounts counts;
  Cursor cursor{.m_index = subscriber->Index()};
  while (const auto message = publisher->NextMessage(&cursor)) {
    const bool is_change = message->m_type == FrameType::kFeedChange;
    ++(is_change ? counts.m_changes : counts.m_chunks);
    Deliver(subscriber, *message);
  }
  return counts;
}

void PublishUpTo(Publisher* publisher, std::uint64_t index) {
  for (std::uint64_t i = publisher->Index() + 1; i <= index; ++i)
    ASSERT_TRUE(publisher->Publish(StateAt(i)));
}

TEST(FeedChange, MakeAndApplyAreInverse) {
  EXPECT_TRUE(rc::check([] {
    const auto from = *rc::gen::inRange<std::uint64_t>(1, 900);
    const auto to = from + *rc::gen::inRange<std::uint64_t>(1, 900);
    const auto change = MakeChange(*StateAt(from), *StateAt(to));
    RC_ASSERT(ApplyChange(*StateAt(from), change.value()).value() ==
              *StateAt(to));
    RC_ASSERT(!ApplyChange(*StateAt(from + 1), change.value()));
  }));
}

TEST(FeedPublisher, FiveHundredMissedChangesAreSentFromTheTail) {
  Publisher publisher;
  PublishUpTo(&publisher, 100);
  Subscriber subscriber(StateAt(100));
  PublishUpTo(&publisher, 600);
  const MessageCounts counts = CatchUp(&publisher, &subscriber);
  EXPECT_EQ(counts.m_changes, 500U);
  EXPECT_EQ(counts.m_chunks, 0U);
  EXPECT_EQ(*subscriber.Current(), *StateAt(600));
}

TEST(FeedPublisher, SnapshotIsSentIfTheTailIsTooShort) {
  Publisher publisher({.m_max_tail_changes = 50, .m_chunk_bytes = 512});
  PublishUpTo(&publisher, 100);
  Subscriber subscriber(StateAt(100));
  PublishUpTo(&publisher, 600);
  const MessageCounts counts = CatchUp(&publisher, &subscriber);
  EXPECT_EQ(counts.m_changes, 0U);
  EXPECT_GT(counts.m_chunks, 2U);
  EXPECT_EQ(*subscriber.Current(), *StateAt(600));
}

// Guards against a subscriber that never receives the configuration: without a
// state, it cannot apply a change from index 0.
TEST(FeedPublisher, FirstStateIsSentAsASnapshot) {
  Publisher publisher;
  const auto first = MakeChange(FeedState{}, *StateAt(7));
  ASSERT_TRUE(publisher.Publish(StateAt(7), first.value()));
  Subscriber subscriber;
  const MessageCounts counts = CatchUp(&publisher, &subscriber);
  EXPECT_EQ(counts.m_changes, 0U);
  EXPECT_EQ(*subscriber.Current(), *StateAt(7));
}

// Guards against a subscriber that is sent the same snapshot again and again: a
// change that is too large for one message leaves a gap behind the snapshot.
TEST(FeedPublisher, SnapshotBeforeATooLargeChangeIsNotReused) {
  Publisher publisher;
  PublishUpTo(&publisher, 1);
  Cursor holder;
  ASSERT_TRUE(publisher.NextMessage(&holder));  // encodes the snapshot of 1
  PublishUpTo(&publisher, 2);
  FeedState large = *StateAt(2);
  large.m_index = 3;
  constexpr std::size_t kTooManyBlocks = 100001;
  for (std::size_t block = 0; block < kTooManyBlocks; ++block)
    large.m_deployment.m_blocks.push_back({.m_prefix = std::to_string(block)});
  const auto state =
      std::make_shared<const FeedState>(Canonical(std::move(large)));
  ASSERT_TRUE(publisher.Publish(state));
  Subscriber subscriber;
  Cursor cursor;
  constexpr int kMaxMessages = 1000;
  for (int i = 0; i < kMaxMessages && subscriber.Index() < 3; ++i) {
    const auto message = publisher.NextMessage(&cursor);
    ASSERT_TRUE(message);
    Deliver(&subscriber, *message);
  }
  EXPECT_EQ(subscriber.Index(), 3U);
}

// Guards against entry hosts that keep the tenants of an earlier document, or
// that never get a document with as many keys as the check allows: its change
// exceeds the limit of one message.
TEST(FeedPublisher, TenantsReachASubscriber) {
  Publisher publisher;
  PublishUpTo(&publisher, 1);
  Subscriber subscriber;
  Cursor cursor;
  const auto deliver_all = [&](std::uint64_t index) {
    constexpr int kMaxMessages = 1000;
    for (int i = 0; i < kMaxMessages && subscriber.Index() < index; ++i) {
      const auto message = publisher.NextMessage(&cursor);
      ASSERT_TRUE(message);
      Deliver(&subscriber, *message);
    }
  };
  deliver_all(1);
  constexpr std::size_t kKeysPerTenant = 100;
  for (std::uint64_t index = 2; index <= 5; ++index) {
    // Few, many, other ones and none.
    constexpr std::array<std::size_t, 4> kTenantCounts = {3, 1000, 999, 0};
    FeedState state = *StateAt(1);
    state.m_index = index;
    for (std::size_t i = 0; i < kTenantCounts[index - 2]; ++i) {
      Tenant& tenant = state.m_deployment.m_tenants.emplace_back();
      tenant.m_name = {"tenant-" + std::to_string(i)};
      for (std::size_t j = 0; j < kKeysPerTenant; ++j) {
        std::string key = std::to_string(index * 1000000 + i * 1000 + j);
        key.resize(80, 'k');
        tenant.m_keys.push_back(std::move(key));
      }
    }
    const auto published =
        std::make_shared<const FeedState>(Canonical(std::move(state)));
    ASSERT_TRUE(publisher.Publish(published));
    deliver_all(index);
    ASSERT_NE(subscriber.Current(), nullptr);
    EXPECT_EQ(*subscriber.Current(), *published) << index;
  }
}

// Guards against a heartbeat that calls a subscriber current while changes for
// it wait in its queue.
TEST(FeedPublisher, SubscriberIsUpToDateAfterTheLastChange) {
  Publisher publisher;
  PublishUpTo(&publisher, 2);
  Cursor cursor{.m_index = 1};
  EXPECT_FALSE(publisher.IsUpToDate(cursor));
  publisher.NextMessage(&cursor);
  EXPECT_TRUE(publisher.IsUpToDate(cursor));
  PublishUpTo(&publisher, 3);
  EXPECT_FALSE(publisher.IsUpToDate(cursor));
}

// Guards against a parent that sends an older state than before.
TEST(FeedPublisher, OlderStateIsRefused) {
  Publisher publisher;
  PublishUpTo(&publisher, 5);
  EXPECT_FALSE(publisher.Publish(StateAt(5)));
  EXPECT_FALSE(publisher.Publish(StateAt(3)));
  EXPECT_EQ(publisher.Index(), 5U);
}

// Guards against memory use that grows with the number of changes or of
// slow subscribers.
TEST(FeedPublisher, MemoryIsBoundedWithSlowSubscribers) {
  const std::size_t snapshot_bytes = Encode(*StateAt(1)).size();
  const PublisherLimits limits{
      .m_max_tail_changes = 20, .m_max_tail_bytes = 4096, .m_chunk_bytes = 64};
  Publisher publisher(limits);
  std::vector<Cursor> slow_cursors;
  for (std::uint64_t index = 1; index <= 400; ++index) {
    PublishUpTo(&publisher, index);
    slow_cursors.emplace_back();
    for (Cursor& cursor : slow_cursors)
      publisher.NextMessage(&cursor);
    EXPECT_LE(publisher.RetainedBytes(),
              limits.m_max_tail_bytes + snapshot_bytes + snapshot_bytes / 4);
  }
  slow_cursors.clear();
  publisher.ReleaseUnusedSnapshot();
  EXPECT_LE(publisher.RetainedBytes(), limits.m_max_tail_bytes);
}

// Guards against a subscriber that never catches up. It reads one chunk per
// change, and the snapshot must not be replaced with each change.
TEST(FeedPublisher, SlowSubscriberCatchesUpDuringChanges) {
  Publisher publisher({.m_max_tail_changes = 500, .m_chunk_bytes = 256});
  PublishUpTo(&publisher, 1);
  Subscriber subscriber;
  Cursor cursor;
  std::uint64_t index = 1;
  for (; index < 300 && subscriber.Index() == 0; ++index) {
    PublishUpTo(&publisher, index + 1);
    Deliver(&subscriber, publisher.NextMessage(&cursor).value());
  }
  EXPECT_LT(index, 300U);
  while (const auto message = publisher.NextMessage(&cursor))
    Deliver(&subscriber, *message);
  EXPECT_EQ(*subscriber.Current(), *StateAt(publisher.Index()));
}

// Guards against an older or inconsistent state after messages were lost,
// duplicated or reordered, on one connection or on several ones.
TEST(FeedSubscriber, StatesStayConsistentIfMessagesAreLostOrReordered) {
  EXPECT_TRUE(rc::check([] {
    Publisher publisher({.m_max_tail_changes = 8, .m_chunk_bytes = 2048});
    Subscriber subscriber;
    std::vector<FeedMessage> sent;
    Cursor cursor;
    const auto steps =
        *rc::gen::container<std::vector<int>>(120, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      const std::uint64_t before = subscriber.Index();
      MessageResult result = MessageResult::kIgnored;
      if (step < 30) {
        RC_ASSERT(publisher.Publish(StateAt(publisher.Index() + 1)));
      } else if (step < 60) {
        if (const auto message = publisher.NextMessage(&cursor)) {
          sent.push_back(*message);
          if (step < 52)  // otherwise lost
            result = Deliver(&subscriber, *message);
        }
      } else if (step < 90 && !sent.empty()) {
        result = Deliver(&subscriber,
                         sent[(std::size_t{7919} * step) % sent.size()]);
      } else {
        cursor = {.m_index = subscriber.Index()};
        subscriber.DiscardPartialSnapshot();
      }
      RC_ASSERT(result != MessageResult::kRefused);
      RC_ASSERT(subscriber.Index() >= before);
      RC_ASSERT((subscriber.Index() > before) ==
                (result == MessageResult::kApplied));
      if (subscriber.Current())
        RC_ASSERT(*subscriber.Current() == *StateAt(subscriber.Index()));
    }
    CatchUp(&publisher, &subscriber);
    RC_ASSERT(subscriber.Index() == publisher.Index());
  }));
}

// Guards against an allocation of the total size that a malicious sender
// states, and against a snapshot that is longer than its stated size.
TEST(FeedSubscriber, InconsistentChunksAreRefused) {
  const FeedSnapshotChunk valid_chunk{
      .m_index = 3, .m_total_bytes = 100, .m_data = std::string(10, 'x')};
  const auto modified_chunk = [&](auto change) {
    FeedSnapshotChunk chunk = valid_chunk;
    change(&chunk);
    return chunk;
  };
  Subscriber subscriber;
  EXPECT_EQ(subscriber.OnChunk(modified_chunk(
                [](auto* c) { c->m_total_bytes = kMaxSnapshotBytes + 1; })),
            MessageResult::kRefused);
  EXPECT_EQ(
      subscriber.OnChunk(modified_chunk([](auto* c) { c->m_total_bytes = 9; })),
      MessageResult::kRefused);
  EXPECT_EQ(
      subscriber.OnChunk(modified_chunk([](auto* c) { c->m_data.clear(); })),
      MessageResult::kRefused);
  EXPECT_EQ(subscriber.OnChunk(modified_chunk(
                [](auto* c) { c->m_offset = ~std::uint64_t{0}; })),
            MessageResult::kRefused);
  EXPECT_EQ(subscriber.OnChunk(modified_chunk(
                [](auto* c) { c->m_total_bytes = kMaxSnapshotBytes; })),
            MessageResult::kPartial);
  EXPECT_LT(subscriber.PartialSnapshotBytes(), 1024U);
  EXPECT_EQ(
      subscriber.OnChunk(modified_chunk([](auto* c) { c->m_offset = 10; })),
      MessageResult::kRefused);
}

// Guards against a snapshot that is malformed or contains another index.
TEST(FeedSubscriber, SnapshotMustDecodeToItsIndex) {
  const std::string bytes = Encode(*StateAt(9));
  const FeedSnapshotChunk chunk{
      .m_index = 10, .m_total_bytes = bytes.size(), .m_data = bytes};
  Subscriber subscriber;
  EXPECT_EQ(subscriber.OnChunk(chunk), MessageResult::kRefused);
  EXPECT_EQ(subscriber.OnChunk({.m_index = 9,
                                .m_total_bytes = bytes.size() - 1,
                                .m_data = bytes.substr(1)}),
            MessageResult::kRefused);
  EXPECT_EQ(subscriber.Index(), 0U);
}

// Guards against an older report of a host that is delayed on another path.
TEST(FeedStatusTable, NewestReportOfAHostIsKept) {
  StatusTable table;
  const MonoTime now{std::chrono::seconds(100)};
  const HostVersion old{.m_host = {"e1"}, .m_incarnation = 1, .m_index = 9};
  const HostVersion restarted{
      .m_host = {"e1"}, .m_incarnation = 2, .m_index = 4};
  table.Merge({.m_hosts = {restarted}}, now);
  table.Merge({.m_hosts = {old}}, now);
  EXPECT_EQ(table.Hosts(now), std::vector{restarted});
}

// Guards against reports of unbounded size, and against hosts that are still
// reported long after they were removed. Between two full reports, a report
// contains only changed hosts.
TEST(FeedStatusTable, ReportsAreBoundedAndHostsExpire) {
  StatusTable table({.m_max_hosts = 3});
  const MonoTime now{std::chrono::seconds(100)};
  for (int i = 0; i < 10; ++i)
    table.Merge({.m_hosts = {{.m_host = {"e" + std::to_string(i)}}}}, now);
  EXPECT_EQ(table.Report(now).m_hosts.size(), 3U);
  EXPECT_TRUE(table.Report(now + milliseconds(1000)).m_hosts.empty());
  EXPECT_EQ(table.Report(now + milliseconds(5000)).m_hosts.size(), 3U);
  EXPECT_TRUE(table.Hosts(now + milliseconds(20000)).empty());
  table.Merge({.m_hosts = {{.m_host = {"new"}}}}, now + milliseconds(20000));
  EXPECT_EQ(table.Report(now + milliseconds(20000)).m_hosts.size(), 1U);
}

}  // namespace
}  // namespace jujube::feed
