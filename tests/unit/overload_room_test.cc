#include <string>

#include <gtest/gtest.h>

#include "overload/repeat_filter.h"
#include "overload/return_delay.h"
#include "overload/service_room.h"
#include "overload/wait_by_rank.h"

namespace jujube::overload {
namespace {

using std::chrono::milliseconds;

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1) + milliseconds(ms));
}

RoomRequest RequestOf(std::uint64_t id, std::uint8_t priority, int now_ms) {
  return {.m_id = id,
          .m_priority = priority,
          .m_tenant = id,
          .m_expected_response = milliseconds(100),
          .m_target_at = At(now_ms + 1000),
          .m_deadline = At(now_ms + 3000)};
}

// A service with room for one request, whose upstreams state queues.
ServiceRoom<WaitByRank> FullRoom(int now_ms) {
  ServiceRoom<WaitByRank> room;
  room.SetFairShare(0.5);
  room.Ask(RequestOf(1, 8, now_ms), At(now_ms));
  for (int i = 0; i < 20; ++i) {
    room.OnResponse("route", milliseconds(100), milliseconds(110),
                    {.m_waiting = 8, .m_slots = 4}, At(now_ms));
  }
  return room;
}

// Guards against a request that waits although its room comes too late.
TEST(ServiceRoom, RefusesWhatCannotBeInTime) {
  ServiceRoom<WaitByRank> room = FullRoom(0);
  RoomRequest request = RequestOf(2, 8, 0);
  EXPECT_EQ(room.Preview(request, At(0)).m_answer, RoomAnswer::kWait);
  request.m_target_at = At(150);
  EXPECT_EQ(room.Preview(request, At(0)).m_answer, RoomAnswer::kTooLate);
  request = RequestOf(2, 8, 0);
  request.m_deadline = At(150);
  EXPECT_EQ(room.Preview(request, At(0)).m_answer, RoomAnswer::kTooLate);
}

// Guards against a wait that outlasts the latest start of the request.
TEST(ServiceRoom, RefusesAtTheLatestStart) {
  ServiceRoom<WaitByRank> room = FullRoom(0);
  EXPECT_EQ(room.Ask(RequestOf(2, 8, 0), At(0)).m_answer, RoomAnswer::kWait);
  room.Advance(At(899));
  EXPECT_TRUE(room.TakeWoken().empty());
  room.Advance(At(900));
  EXPECT_EQ(room.TakeWoken(),
            (std::vector<Woken>{{2, RoomAnswer::kWaitedTooLong}}));
}

// Guards against room that is lost when a request ends, and against a caller
// that left and still takes room.
TEST(ServiceRoom, GivesRoomToTheNextCallerThatStayed) {
  ServiceRoom<WaitByRank> room = FullRoom(0);
  room.Ask(RequestOf(2, 8, 0), At(0));
  room.Ask(RequestOf(3, 8, 1), At(1));
  room.Withdraw(2);
  room.Release(At(50));
  EXPECT_EQ(room.TakeWoken(), (std::vector<Woken>{{3, RoomAnswer::kGo}}));
  EXPECT_EQ(room.InProgress(), 1U);
}

// Guards against a planned stop that leaves callers without an answer.
TEST(ServiceRoom, StopRefusesAllWhoWait) {
  ServiceRoom<WaitByRank> room = FullRoom(0);
  room.Ask(RequestOf(2, 8, 0), At(0));
  room.Stop();
  EXPECT_EQ(room.TakeWoken(),
            (std::vector<Woken>{{2, RoomAnswer::kHostStops}}));
  EXPECT_FALSE(room.HasWaiting());
}

// Guards against repeats that take a place in the queue from others.
TEST(ServiceRoom, EarlyRepeatDoesNotWait) {
  ServiceRoom<WaitByRank> room = FullRoom(0);
  RoomRequest request = RequestOf(2, 8, 0);
  request.m_is_early_repeat = true;
  EXPECT_EQ(room.Ask(request, At(0)).m_answer, RoomAnswer::kRepeat);
}

// Guards against a service that stays closed because of old statements.
TEST(ServiceRoom, StaleStatementsHoldNothingBack) {
  ServiceRoom<WaitByRank> room = FullRoom(0);
  EXPECT_EQ(room.Preview(RequestOf(2, 8, 2001), At(2001)).m_answer,
            RoomAnswer::kGo);
}

// Guards against statements that are absurd: no slots, or a huge queue.
TEST(RoomEstimate, BearsAbsurdStatements) {
  RoomEstimate estimate;
  estimate.SetFairShare(10);
  estimate.OnResponse({.m_waiting = 4000000000U, .m_slots = 0}, 1, 1, At(0));
  EXPECT_FALSE(estimate.IsShort(At(0)));
  for (int i = 0; i < 10000; ++i)
    estimate.OnResponse({.m_waiting = 4000000000U, .m_slots = 1}, 1, 1, At(0));
  EXPECT_TRUE(estimate.IsShort(At(0)));
  EXPECT_GE(estimate.Room(), 1);
  for (int i = 0; i < 200; ++i)
    estimate.OnResponse({.m_waiting = 0, .m_slots = 9}, 1, 30, At(0));
  EXPECT_FALSE(estimate.IsShort(At(0)));
  EXPECT_GE(estimate.Room(), 30);
}

// Guards against hosts that keep sending while upstreams state long queues, and
// against room that does not come back afterwards.
TEST(RoomEstimate, FollowsStatedQueues) {
  RoomEstimate estimate;
  estimate.SetFairShare(10);
  const double start = estimate.Room();
  for (int i = 0; i < 40; ++i)
    estimate.OnResponse({.m_waiting = 18, .m_slots = 9}, 0.5, 20, At(0));
  const double shrunk = estimate.Room();
  EXPECT_LT(shrunk, start / 2);
  // While it is used up, short queues let it grow.
  for (int i = 0; i < 200; ++i)
    estimate.OnResponse({.m_waiting = 3, .m_slots = 9}, 0.5, 20, At(0));
  EXPECT_GT(estimate.Room(), shrunk * 1.5);
}

// Guards against hosts that send the load of lost upstreams to the others.
TEST(RoomEstimate, ShrinksWithTheSlotsOfTheService) {
  RoomEstimate estimate;
  estimate.SetFairShare(12);
  const double start = estimate.Room();
  estimate.SetFairShare(8);
  EXPECT_LE(estimate.Room(), start * 8 / 12);
}

// Guards against a service without upstreams, or a host count of zero shares.
TEST(RoomEstimate, HasRoomForOneWithoutUpstreams) {
  RoomEstimate estimate;
  estimate.SetFairShare(0);
  estimate.OnRefused(At(0));
  EXPECT_GE(estimate.Room(), 1);
}

// Guards against room that stands empty for a higher rank with few requests.
TEST(RankShares, ReservesNoMoreThanHigherRanksAskFor) {
  RankShares ranks;
  for (int i = 0; i < 98; ++i)
    ranks.OnAsked(5, At(0));
  ranks.OnAsked(9, At(0));
  ranks.OnAsked(9, At(0));
  EXPECT_DOUBLE_EQ(ranks.ReservedAbove(5), 0.02);
  EXPECT_EQ(ranks.ReservedAbove(9), 0);
  for (int i = 0; i < 100; ++i)
    ranks.OnAsked(9, At(0));
  EXPECT_DOUBLE_EQ(ranks.ReservedAbove(5), RankShares::kMaxReserve);
}

// Guards against priorities beyond the range.
TEST(RankShares, TakesPrioritiesBeyondTheRangeAsTheHighest) {
  RankShares ranks;
  ranks.OnAsked(255, At(0));
  EXPECT_EQ(ranks.CountAbove(8, At(1)), 1U);
  EXPECT_EQ(ranks.CountAbove(200, At(1)), 0U);
}

// Guards against a queue without bound, and against a flood that pushes out
// other ranks and tenants.
TEST(WaitQueue, FullQueueRefusesTheTenantWithMostOfTheLowestRank) {
  WaitQueue queue;
  const auto entry = [](std::uint64_t id, std::uint8_t priority,
                        std::uint64_t tenant) {
    return WaitEntry{.m_id = id,
                     .m_priority = priority,
                     .m_tenant = tenant,
                     .m_latest_start = At(static_cast<int>(id))};
  };
  std::uint64_t id = 0;
  for (std::size_t i = 0; i < WaitQueue::kPlacesPerRank; ++i)
    EXPECT_FALSE(queue.Push(entry(++id, 5, 1)));
  while (queue.size() < WaitQueue::kCapacity)
    EXPECT_FALSE(queue.Push(entry(++id, 8, id % 4 == 0 ? 2 : 3)));
  // The lowest rank keeps its places; tenant 3 has most of the other rank.
  const auto removed = queue.Push(entry(++id, 9, 4));
  ASSERT_TRUE(removed);
  EXPECT_EQ(removed->m_priority, 8);
  EXPECT_EQ(removed->m_tenant, 3U);
  EXPECT_EQ(queue.size(), WaitQueue::kCapacity);
}

// Guards against an order that ignores rank, tenant or the time left, and
// against a rank that starves.
TEST(WaitQueue, NextIsByShareRankTenantAndTime) {
  WaitQueue queue;
  RankShares ranks;
  TenantShares tenants;
  queue.Push(
      {.m_id = 1, .m_priority = 5, .m_tenant = 1, .m_latest_start = At(1)});
  queue.Push(
      {.m_id = 2, .m_priority = 8, .m_tenant = 1, .m_latest_start = At(2)});
  queue.Push(
      {.m_id = 3, .m_priority = 8, .m_tenant = 2, .m_latest_start = At(4)});
  queue.Push(
      {.m_id = 4, .m_priority = 8, .m_tenant = 2, .m_latest_start = At(3)});
  EXPECT_EQ(queue.Next(ranks, tenants)->m_id, 2U);
  tenants.OnStarted(8, 1, At(0));
  EXPECT_EQ(queue.Next(ranks, tenants)->m_id, 4U);
  for (int i = 0; i < 8; ++i) {
    ranks.OnAsked(5, At(0));
    ranks.OnAsked(8, At(0));
    ranks.OnStarted(8, At(0));
  }
  EXPECT_EQ(queue.Next(ranks, tenants)->m_id, 1U);
}

// Guards against memory that grows with the number of tenants or routes.
TEST(TenantShares, ForgetsTheSmallestOfManyTenants) {
  TenantShares shares;
  shares.OnStarted(8, 0, At(0));
  shares.OnStarted(8, 0, At(0));
  for (std::uint64_t tenant = 1; tenant < 1000; ++tenant)
    shares.OnStarted(8, tenant, At(0));
  EXPECT_EQ(shares.Started(8, 0), 2);
  EXPECT_EQ(shares.Started(8, 1), 0);
}

// Guards against a Retry-After that callers don't follow, that returns all at
// once, or that returns lower ranks first.
TEST(ReturnDelay, SpreadsWithinAThirdOfTheTimeAndByRank) {
  milliseconds least = milliseconds::max();
  milliseconds most{0};
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    ReturnInputs inputs{.m_remaining = milliseconds(1500),
                        .m_expected_room = milliseconds(400),
                        .m_draw = draw};
    const milliseconds first = ReturnDelay(inputs);
    inputs.m_ranks_above = 2;
    const milliseconds last = ReturnDelay(inputs);
    EXPECT_LE(first, last);
    EXPECT_LE(last, milliseconds(500));
    least = std::min(least, first);
    most = std::max(most, first);
  }
  EXPECT_GT(most - least, milliseconds(80));
  EXPECT_GT(ReturnDelay({.m_remaining = milliseconds(0)}), milliseconds(0));
}

// Guards against a caller that is taken for another one, or barred for good.
TEST(RepeatFilter, RecognizesARepeatUntilItsTime) {
  RepeatFilter filter;
  filter.OnRefused(7, At(100));
  EXPECT_TRUE(filter.IsEarly(7, At(99)));
  EXPECT_FALSE(filter.IsEarly(7, At(100)));
  EXPECT_FALSE(filter.IsEarly(8, At(50)));
}

// Guards against slots that stand idle although all responses are late anyway,
// and against queues in which a response can't meet its target.
TEST(ResponseTimes, BearableQueueFollowsTheTarget) {
  ResponseTimes times;
  EXPECT_TRUE(times.CanMeet("route", milliseconds(1)));
  times.OnResponse("route", milliseconds(150), {.m_waiting = 4, .m_slots = 8});
  // The work takes 100 ms.
  EXPECT_FALSE(times.CanMeet("route", milliseconds(100)));
  EXPECT_DOUBLE_EQ(times.BearableQueue("route", milliseconds(90)), 0.5);
  EXPECT_NEAR(times.BearableQueue("route", milliseconds(200)), 0.33, 0.01);
  EXPECT_DOUBLE_EQ(times.BearableQueue("route", milliseconds(101)), 0.1);
  EXPECT_DOUBLE_EQ(times.BearableQueue("route", milliseconds(9000)), 1);
}

// Guards against a mean that misses the requests that were given up.
TEST(ResponseTimes, GivenUpRequestsAreALowerBound) {
  ResponseTimes times;
  times.OnResponse("route", milliseconds(100), {});
  times.OnGivenUp("route", milliseconds(900));
  EXPECT_EQ(times.Expected("route"), milliseconds(200));
  times.OnGivenUp("route", milliseconds(50));
  EXPECT_EQ(times.Expected("route"), milliseconds(200));
}

}  // namespace
}  // namespace jujube::overload
