#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "limits/allotment_holder.h"
#include "limits/lease_clock.h"
#include "limits/topology.h"

namespace jujube::limits {
namespace {

using std::chrono::milliseconds;

const LimitId slot_limit = SlotLimit({"pumplog"}, {"i1"});
const LimitId link_limit = LinkLimit({"luzon"}, {"visayas"});
constexpr MonoTime kStart{std::chrono::seconds(100)};

AllotmentReply Reply(std::uint64_t sequence,
                     std::uint64_t safe,
                     std::uint64_t leased) {
  return {.m_sequence = sequence,
          .m_lease = kLeaseDuration,
          .m_allotments = {
              {.m_limit = slot_limit, .m_safe = safe, .m_leased = leased}}};
}

TEST(LimitsHolder, LeaseStartsWhenTheRequestIsSent) {
  AllotmentHolder holder({"e1"}, 1);
  holder.Track({slot_limit, 9, {"luz-a"}});
  const auto request = holder.NextRequest(0, kStart);
  EXPECT_TRUE(holder.OnReply(Reply(request.m_sequence, 1, 4)));
  const auto table = holder.Table();
  EXPECT_EQ(
      table->Usable(slot_limit, kStart + kLeaseDuration - milliseconds(1)), 5U);
  EXPECT_EQ(table->Usable(slot_limit, kStart + kLeaseDuration), 1U);
  // After its lease has expired, a host that was suspended has only the safe
  // share.
  const Permit safe = table->TryAcquire(slot_limit, 1, kStart + kLeaseDuration);
  EXPECT_TRUE(safe);
  EXPECT_FALSE(table->TryAcquire(slot_limit, 1, kStart + kLeaseDuration));
}

// Guards against a late reply that restores a larger share.
TEST(LimitsHolder, LateAndUnknownRepliesAreDropped) {
  AllotmentHolder holder({"e1"}, 1);
  holder.Track({slot_limit, 9, {"luz-a"}});
  holder.NextRequest(0, kStart);
  holder.NextRequest(0, kStart);
  EXPECT_TRUE(holder.OnReply(Reply(2, 1, 0)));
  EXPECT_FALSE(holder.OnReply(Reply(1, 1, 8)));
  EXPECT_FALSE(holder.OnReply(Reply(3, 1, 8)));
  EXPECT_EQ(holder.Table()->Usable(slot_limit, kStart), 1U);
  EXPECT_EQ(holder.NextRequest(0, kStart).m_adopted, 2U);
}

TEST(LimitsHolder, DemandIsPeakUsagePlusRefusedUnits) {
  AllotmentHolder holder({"e1"}, 1);
  holder.Track({slot_limit, 9, {"luz-a"}});
  holder.NextRequest(0, kStart);
  holder.OnReply(Reply(1, 1, 1));
  const auto table = holder.Table();
  const Permit first = table->TryAcquire(slot_limit, 1, kStart);
  table->TryAcquire(slot_limit, 1, kStart).Reset();
  EXPECT_FALSE(table->TryAcquire(slot_limit, 3, kStart));
  const AllotmentDemand demand = holder.NextRequest(0, kStart).m_demands[0];
  EXPECT_EQ(demand.m_in_use, 1U);
  EXPECT_EQ(demand.m_wanted, 5U);
}

// Guards against units in use that are not reported: an untracked limit stays
// in the requests while its units are in use, and no new units can be acquired.
TEST(LimitsHolder, UntrackedLimitStaysUntilItsUnitsAreReleased) {
  AllotmentHolder holder({"e1"}, 1);
  holder.Track({slot_limit, 9, {"luz-a"}});
  holder.NextRequest(0, kStart);
  holder.OnReply(Reply(1, 1, 8));
  const auto table = holder.Table();
  Permit permit = table->TryAcquire(slot_limit, 1, kStart);
  holder.Untrack(slot_limit);
  EXPECT_FALSE(table->TryAcquire(slot_limit, 1, kStart));
  EXPECT_EQ(holder.NextRequest(0, kStart).m_demands.size(), 1U);
  permit.Reset();
  EXPECT_TRUE(holder.NextRequest(0, kStart).m_demands.empty());
}

// Guards against exceeding a grant when threads compete, and against reading a
// mixture of two grants. At kStart, each grant alone allows at most 4 units.
TEST(LimitsCell, ThreadsNeverExceedTheGrant) {
  constexpr std::uint64_t kMaxUnits = 4;
  constexpr int kMinReads = 200000;
  LimitCell cell;
  std::atomic<bool> is_stopped = false;
  std::atomic<bool> is_exceeded = false;
  std::atomic<int> reads = 0;
  std::vector<std::thread> workers;
  workers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    workers.emplace_back([&] {
      while (!is_stopped) {
        if (cell.Usable(kStart) > kMaxUnits)
          is_exceeded = true;
        ++reads;
        if (!cell.TryAcquire(kMaxUnits, kStart))
          continue;
        if (cell.InUse() > kMaxUnits)
          is_exceeded = true;
        cell.Release(kMaxUnits);
      }
    });
  }
  while (reads < kMinReads) {
    cell.Adopt(
        {.m_safe = 1, .m_leased = 3, .m_expires = kStart + kLeaseDuration});
    cell.Adopt({.m_safe = 1, .m_leased = 100, .m_expires = kStart});
  }
  is_stopped = true;
  for (std::thread& worker : workers)
    worker.join();
  EXPECT_FALSE(is_exceeded);
  EXPECT_EQ(cell.InUse(), 0U);
}

// Guards against exceeding the granted rate over a longer time, also with
// chunks larger than the burst and after idle time.
TEST(LimitsCell, RateStaysUnderTheGrant) {
  for (const std::uint64_t chunk_bytes : {100U, 1500U, 65536U}) {
    LimitCell cell;
    constexpr std::uint64_t kRateKbitS = 800;  // 100 bytes per millisecond
    cell.Adopt({.m_leased = kRateKbitS, .m_expires = kStart + kLeaseDuration});
    MonoTime now = kStart + milliseconds(1000);
    const MonoTime end = now + milliseconds(3000);
    std::uint64_t sent_bytes = 0;
    while (now < end) {
      const SpendResult result = cell.TrySpend(chunk_bytes, now);
      sent_bytes += result.m_allowed ? chunk_bytes : 0;
      now = result.m_allowed ? now : result.m_retry_at;
    }
    const std::uint64_t granted_bytes = std::uint64_t{3000} * 100;
    const auto burst_bytes =
        static_cast<std::uint64_t>(LimitCell::kBurstDuration.count()) *
        std::uint64_t{100};
    EXPECT_LE(sent_bytes, granted_bytes + std::max(burst_bytes, chunk_bytes))
        << chunk_bytes;
    EXPECT_GE(sent_bytes + chunk_bytes, granted_bytes) << chunk_bytes;
    EXPECT_FALSE(cell.TrySpend(1, kStart + kLeaseDuration).m_allowed);
  }
}

TEST(LimitsTable, UnknownLimitHasNoUnits) {
  const LimitTable table;
  EXPECT_FALSE(table.TryAcquire(slot_limit, 1, kStart));
  EXPECT_FALSE(table.TrySpend(link_limit, 1, kStart).m_allowed);
}

}  // namespace
}  // namespace jujube::limits
