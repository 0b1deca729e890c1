// Tests of the turns on the link of a host. Rates and sizes are those of a host
// with a link of 2.6 Mbit/s and bodies of 360 KB.

#include <cstdint>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "limits/host_link.h"

namespace jujube::limits {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kNarrow = 2600;  // kbit/s
constexpr std::uint64_t kBodyBytes = 360000;
constexpr MonoTime kStart{std::chrono::hours(1)};

// Guards against a small message that waits for the transmission of a whole
// body, 1.1 s on this link.
TEST(HostLink, SmallMessageWaitsForOneChunkAtMost) {
  HostLink link(kNarrow);
  MonoTime now = kStart;
  std::uint64_t passed = 0;
  while (passed < kBodyBytes) {
    now = link.Reserve(LinkSide::kOut, link.ChunkBytes(), now);
    passed += link.ChunkBytes();
    // What a small message would wait for, right after the chunk is written.
    EXPECT_LE(link.Backlog(LinkSide::kOut, now), milliseconds(15));
  }
  // The body gets the usable part of the link, and no more.
  EXPECT_GT(now - kStart, milliseconds(1100));
  EXPECT_LT(now - kStart, milliseconds(1300));
}

// Guards against one body that takes the link until its end while others wait.
TEST(HostLink, BodiesUseTheLinkInTurn) {
  HostLink link(kNarrow);
  constexpr std::size_t kBodies = 4;
  std::vector<MonoTime> ready(kBodies, kStart);
  std::vector<std::size_t> chunks(kBodies, 0);
  for (std::size_t i = 0; i < 400; ++i) {
    // The body whose chunk was passed on first asks for its next one first.
    std::size_t next = 0;
    for (std::size_t body = 1; body < kBodies; ++body) {
      if (ready[body] < ready[next])
        next = body;
    }
    ready[next] = link.Reserve(LinkSide::kOut, link.ChunkBytes(), ready[next]);
    ++chunks[next];
  }
  for (const std::size_t count : chunks)
    EXPECT_NEAR(static_cast<double>(count), 100, 1);
}

// Guards against bodies that use the capacity that small messages take.
TEST(HostLink, SmallMessagesDelayBodiesAndNotTheReverse) {
  HostLink link(kNarrow);
  const MonoTime first =
      link.Reserve(LinkSide::kOut, link.ChunkBytes(), kStart);
  EXPECT_EQ(first, kStart);
  for (int i = 0; i < 10; ++i)
    link.Record(LinkSide::kOut, 1000, kStart);
  const MonoTime second =
      link.Reserve(LinkSide::kOut, link.ChunkBytes(), kStart);
  EXPECT_GT(second - kStart, milliseconds(40));
}

TEST(HostLink, DirectionsAreIndependent) {
  HostLink link(kNarrow);
  link.Record(LinkSide::kIn, kBodyBytes, kStart);
  EXPECT_GT(link.Backlog(LinkSide::kIn, kStart), milliseconds(1000));
  EXPECT_EQ(link.Backlog(LinkSide::kOut, kStart), milliseconds(0));
  EXPECT_TRUE(link.IsBusy(kStart));
}

// Guards against delays on hosts without a stated rate.
TEST(HostLink, WithoutARateNothingWaits) {
  HostLink link(std::nullopt);
  for (int i = 0; i < 1000; ++i)
    EXPECT_EQ(link.Reserve(LinkSide::kOut, kBodyBytes, kStart), kStart);
  EXPECT_FALSE(link.IsBusy(kStart));
  EXPECT_EQ(link.UtilizationPermille(LinkSide::kOut, kStart), 0U);
}

// Guards against a host that is taken for busy long after a burst, or for idle
// during one.
TEST(HostLink, UtilizationIsThatOfTheLastPeriod) {
  HostLink link(kNarrow);
  // Half of the bytes of a period.
  link.Record(LinkSide::kIn, kNarrow * 500 / 8 / 2, kStart);
  EXPECT_EQ(link.UtilizationPermille(LinkSide::kIn, kStart), 0U);
  const MonoTime next = kStart + HostLink::kPeriod;
  EXPECT_EQ(link.UtilizationPermille(LinkSide::kIn, next), 500U);
  link.Record(LinkSide::kIn, 100, next);
  EXPECT_EQ(link.UtilizationPermille(LinkSide::kIn, next), 500U);
  EXPECT_EQ(
      link.UtilizationPermille(LinkSide::kIn, next + 2 * HostLink::kPeriod),
      0U);
}

// Guards against reservations that are lost when threads make them at once.
TEST(HostLink, ReservationsOfAllThreadsCount) {
  HostLink link(kNarrow);
  constexpr int kPerThread = 1000;
  std::vector<std::thread> threads;
  constexpr int kThreads = 4;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < kPerThread; ++j)
        (void)link.Reserve(LinkSide::kOut, 1000, kStart);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  HostLink one_thread(kNarrow);
  for (int i = 0; i < kThreads * kPerThread; ++i)
    (void)one_thread.Reserve(LinkSide::kOut, 1000, kStart);
  EXPECT_EQ(link.Backlog(LinkSide::kOut, kStart),
            one_thread.Backlog(LinkSide::kOut, kStart));
}

}  // namespace
}  // namespace jujube::limits
