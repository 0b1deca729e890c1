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
          .m_lease = kLease,
          .m_allotments = {
              {.m_limit = slot_limit, .m_safe = safe, .m_leased = leased}}};
}

TEST(LimitsHolder, LeaseCountsFromTheRequest) {
  AllotmentHolder holder({"e1"}, 1);
  holder.Track({slot_limit, 9, {"luz-a"}});
  const auto request = holder.NextRequest(0, kStart);
  EXPECT_TRUE(holder.OnReply(Reply(request.m_sequence, 1, 4)));
  const auto table = holder.Table();
  EXPECT_EQ(table->Usable(slot_limit, kStart + kLease - milliseconds(1)), 5U);
  EXPECT_EQ(table->Usable(slot_limit, kStart + kLease), 1U);
  // A host that was frozen does not spend the lease after it resumes.
  const Permit safe = table->TryAcquire(slot_limit, 1, kStart + kLease);
  EXPECT_TRUE(safe);
  EXPECT_FALSE(table->TryAcquire(slot_limit, 1, kStart + kLease));
}

// Guards against a late reply that brings back a larger share.
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

TEST(LimitsHolder, DemandIsWhatWasUsedAndRefused) {
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

// Guards against units that nobody reports: a limit that is no longer wanted
// stays known while units are in use, and no new ones are given.
TEST(LimitsHolder, ForgottenLimitStaysUntilItsUnitsAreReleased) {
  AllotmentHolder holder({"e1"}, 1);
  holder.Track({slot_limit, 9, {"luz-a"}});
  holder.NextRequest(0, kStart);
  holder.OnReply(Reply(1, 1, 8));
  const auto table = holder.Table();
  Permit permit = table->TryAcquire(slot_limit, 1, kStart);
  holder.Forget(slot_limit);
  EXPECT_FALSE(table->TryAcquire(slot_limit, 1, kStart));
  EXPECT_EQ(holder.NextRequest(0, kStart).m_demands.size(), 1U);
  permit.Reset();
  EXPECT_TRUE(holder.NextRequest(0, kStart).m_demands.empty());
}

// Guards against more units than granted when threads compete, and against a
// grant that is put together from two: each one allows at most 4 units before
// its expiry and 1 after it.
TEST(LimitsCell, ThreadsNeverExceedTheGrant) {
  constexpr std::uint64_t kMost = 4;
  constexpr int kLooks = 200000;
  LimitCell cell;
  std::atomic<bool> stop = false;
  std::atomic<bool> exceeded = false;
  std::atomic<int> looks = 0;
  std::vector<std::thread> workers;
  workers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    workers.emplace_back([&] {
      while (!stop) {
        if (cell.Usable(kStart) > kMost)
          exceeded = true;
        ++looks;
        if (!cell.TryAcquire(kMost, kStart))
          continue;
        if (cell.InUse() > kMost)
          exceeded = true;
        cell.Release(kMost);
      }
    });
  }
  while (looks < kLooks) {
    cell.Adopt({.m_safe = 1, .m_leased = 3, .m_expires = kStart + kLease});
    cell.Adopt({.m_safe = 1, .m_leased = 100, .m_expires = kStart});
  }
  stop = true;
  for (std::thread& worker : workers)
    worker.join();
  EXPECT_FALSE(exceeded);
  EXPECT_EQ(cell.InUse(), 0U);
}

// Guards against a rate above the grant over any longer time, also with pieces
// larger than the burst and after idle time.
TEST(LimitsCell, RateStaysUnderTheGrant) {
  for (const std::uint64_t piece : {100U, 1500U, 65536U}) {
    LimitCell cell;
    constexpr std::uint64_t kRate = 800;  // kbit/s: 100 bytes in a millisecond
    cell.Adopt({.m_leased = kRate, .m_expires = kStart + kLease});
    MonoTime now = kStart + milliseconds(1000);
    const MonoTime end = now + milliseconds(3000);
    std::uint64_t sent = 0;
    while (now < end) {
      const SpendResult result = cell.TrySpend(piece, now);
      sent += result.m_allowed ? piece : 0;
      now = result.m_allowed ? now : result.m_retry_at;
    }
    const std::uint64_t granted = std::uint64_t{3000} * 100;
    const auto burst = static_cast<std::uint64_t>(LimitCell::kBurst.count()) *
                       std::uint64_t{100};
    EXPECT_LE(sent, granted + std::max(burst, piece)) << piece;
    EXPECT_GE(sent + piece, granted) << piece;
    EXPECT_FALSE(cell.TrySpend(1, kStart + kLease).m_allowed);
  }
}

TEST(LimitsTable, UnknownLimitHasNoUnits) {
  const LimitTable table;
  EXPECT_FALSE(table.TryAcquire(slot_limit, 1, kStart));
  EXPECT_FALSE(table.TrySpend(link_limit, 1, kStart).m_allowed);
}

}  // namespace
}  // namespace jujube::limits
