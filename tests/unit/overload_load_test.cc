// Load patterns over the decisions of src/overload, in the closed loop of
// bench/overload_model.h.

#include <algorithm>
#include <numeric>

#include <gtest/gtest.h>

#include "bench/overload_model.h"
#include "overload/queue_at_upstream.h"
#include "overload/wait_by_rank.h"

namespace jujube::bench {
namespace {

using overload::QueueAtUpstream;
using overload::WaitByRank;

enum : std::size_t { kChange, kLookup, kUpload };

// Three kinds that together use `part` of the slots, highest rank first.
std::vector<ModelKind> KindsFor(double part) {
  const double slots = static_cast<double>(kAllSlots) * part;
  return {{"change", 9, slots * 0.3 / 0.5, milliseconds(500),
           milliseconds(1000), milliseconds(2500), 1},
          {"lookup", 8, slots * 0.5 / 0.6, milliseconds(600),
           milliseconds(1200), milliseconds(3000), 10},
          {"upload", 7, slots * 0.2 / 1.0, milliseconds(1000),
           milliseconds(3000), milliseconds(5000), 1}};
}

bool IsBetween(milliseconds now, int from_ms, int until_ms) {
  return now >= milliseconds(from_ms) && now < milliseconds(until_ms);
}

double InTime(const ModelResult& result) {
  ModelCount total;
  for (const ModelCount& count : result.m_by_kind) {
    total.m_asked += count.m_asked;
    total.m_in_time += count.m_in_time;
  }
  return total.InTime();
}

// Guards against a deployment with enough room that is served worse than
// without the decisions.
TEST(OverloadLoad, NothingChangesWithoutAShortage) {
  const OverloadParameters parameters{.m_kinds = KindsFor(0.6)};
  const ModelResult result = OverloadModel<WaitByRank>(parameters).Run();
  const ModelResult before = OverloadModel<QueueAtUpstream>(parameters).Run();
  for (std::size_t i = 0; i < result.m_by_kind.size(); ++i) {
    EXPECT_EQ(result.m_by_kind[i].m_asked, before.m_by_kind[i].m_asked);
    EXPECT_EQ(result.m_by_kind[i].m_in_time, before.m_by_kind[i].m_in_time);
  }
}

// Guards against queues that make all requests late, and against callers who
// are held beyond the target, in demand of 1.5 times the room for 10 s.
TEST(OverloadLoad, MostAreInTimeAtOneAndAHalfTimesTheRoom) {
  const OverloadParameters parameters{
      .m_kinds = KindsFor(0.75),
      .m_load = [](milliseconds now, std::size_t, std::uint32_t) {
        return IsBetween(now, 5000, 15000) ? 2.0 : 1.0;
      }};
  const ModelResult result = OverloadModel<WaitByRank>(parameters).Run();
  const ModelResult before = OverloadModel<QueueAtUpstream>(parameters).Run();
  EXPECT_GT(InTime(result), InTime(before) + 0.2);
  EXPECT_GT(result.m_by_kind[kChange].InTime(),
            result.m_by_kind[kLookup].InTime());
  EXPECT_GT(result.m_by_kind[kChange].Served(),
            result.m_by_kind[kUpload].Served());
  EXPECT_LE(result.m_max_held, milliseconds(3000));
}

// Guards against a flood of the lowest rank that takes the room of the others,
// and against refusing all of that rank.
TEST(OverloadLoad, FloodOfTheLowestRankTakesNothingFromOthers) {
  const ModelResult result =
      OverloadModel<WaitByRank>(
          {.m_kinds = KindsFor(0.75),
           .m_load =
               [](milliseconds now, std::size_t kind, std::uint32_t) {
                 return kind == kUpload && IsBetween(now, 5000, 15000) ? 6.0
                                                                       : 1.0;
               }})
          .Run();
  EXPECT_GT(result.m_by_kind[kChange].InTime(), 0.75);
  EXPECT_GT(result.m_by_kind[kLookup].InTime(), 0.7);
  ModelCount total;
  for (const ModelCount& count : result.m_by_kind) {
    total.m_asked += count.m_asked;
    total.m_in_time += count.m_in_time;
    total.m_late += count.m_late;
  }
  EXPECT_GT(result.m_by_kind[kUpload].Served(), total.Served() / 4);
}

// Guards against a flood of one tenant that makes the others of its rank late.
TEST(OverloadLoad, FloodOfATenantLeavesRoomToOthers) {
  const ModelResult result =
      OverloadModel<WaitByRank>(
          {.m_kinds = KindsFor(0.75),
           .m_load =
               [](milliseconds now, std::size_t kind, std::uint32_t tenant) {
                 return kind == kLookup && tenant == 0 &&
                                IsBetween(now, 5000, 15000)
                            ? 10.0
                            : 1.0;
               }})
          .Run();
  ModelCount others;
  for (const auto& [key, count] : result.m_by_tenant) {
    if (key.first == kLookup && key.second > 0) {
      others.m_asked += count.m_asked;
      others.m_in_time += count.m_in_time;
    }
  }
  const ModelCount& flood = result.m_by_tenant.at({kLookup, 0});
  // 0.84 without shares of tenants.
  EXPECT_GT(others.InTime(), 0.87);
  EXPECT_GT(others.InTime(), flood.InTime());
  EXPECT_GT(flood.Served(), 0.25);
}

// Guards against a burst of 2 s whose queue outlasts it.
TEST(OverloadLoad, BurstEndsWithItsDemand) {
  const OverloadParameters parameters{
      .m_kinds = KindsFor(0.75),
      .m_load = [](milliseconds now, std::size_t, std::uint32_t) {
        return IsBetween(now, 5000, 7000) ? 2.0 : 1.0;
      }};
  const ModelResult result = OverloadModel<WaitByRank>(parameters).Run();
  const ModelResult before = OverloadModel<QueueAtUpstream>(parameters).Run();
  EXPECT_GT(InTime(result), InTime(before));
}

// Guards against callers who were refused together and come back together, when
// a third of the upstreams is lost.
TEST(OverloadLoad, ReturnsAfterALossAreSpread) {
  const ModelResult result =
      OverloadModel<WaitByRank>({.m_kinds = KindsFor(0.8),
                                 .m_lost = kModelUpstreams / 3,
                                 .m_lost_at = milliseconds(5000),
                                 .m_back_at = milliseconds(13000)})
          .Run();
  const auto& returns = result.m_returns_by_10ms;
  const auto sum = std::accumulate(returns.begin(), returns.end(), 0U);
  const auto peak = *std::max_element(returns.begin(), returns.end());
  EXPECT_GT(sum, 100U);
  EXPECT_LT(peak, sum / 10);
}

// Guards against callers who repeat at once and thereby displace those who wait
// as told.
TEST(OverloadLoad, RepeatingCallersGainNothing) {
  const ModelResult result =
      OverloadModel<WaitByRank>(
          {.m_kinds = KindsFor(1.3), .m_abuse_share = 0.2})
          .Run();
  const ModelResult alone =
      OverloadModel<WaitByRank>({.m_kinds = KindsFor(1.3)}).Run();
  EXPECT_GT(result.m_orderly.InTime(), alone.m_orderly.InTime() - 0.05);
}

}  // namespace
}  // namespace jujube::bench
