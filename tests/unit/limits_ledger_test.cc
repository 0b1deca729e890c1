#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "limits/lease_clock.h"
#include "limits/planner.h"
#include "unit/sample_deployment.h"

namespace jujube::limits {
namespace {

using std::chrono::milliseconds;

const LimitId region_limit = RegionLimit({"luzon"});
const LimitId slot_limit = SlotLimit({"pumplog"}, {"i1"});

HostRenewal Renewal(const std::string& host,
                    std::uint64_t sequence,
                    std::uint64_t adopted,
                    const OfferedLine& line,
                    std::uint64_t incarnation = 1) {
  return {.m_host = {host},
          .m_incarnation = incarnation,
          .m_sequence = sequence,
          .m_adopted = adopted,
          .m_lines = {line}};
}

OfferedLine RegionLine(std::uint64_t safe,
                       std::uint64_t leased,
                       std::uint64_t in_use = 0) {
  return {.m_limit = region_limit,
          .m_in_use = in_use,
          .m_safe = safe,
          .m_leased = leased};
}

Ledger LedgerWithCap10() {
  Ledger ledger;
  ledger.SetDocumentCaps({{region_limit, 10}});
  return ledger;
}

TEST(LimitsLedger, OffersAreReducedToTheAvailableUnits) {
  Ledger ledger = LedgerWithCap10();
  ledger.Renew(Renewal("e1", 1, 0, RegionLine(2, 5)), 1);
  const auto granted = ledger.Renew(Renewal("e2", 1, 0, RegionLine(2, 5)), 2);
  const Allotment expected{.m_limit = region_limit, .m_safe = 2, .m_leased = 1};
  EXPECT_EQ(granted, std::vector{expected});
}

// Guards against granting the same units to two hosts after the reply that
// reduces the allotment of the first one was lost.
TEST(LimitsLedger, ReductionTakesEffectWhenConfirmed) {
  Ledger ledger = LedgerWithCap10();
  ledger.Renew(Renewal("e1", 1, 0, RegionLine(0, 8)), 1);
  ledger.Renew(Renewal("e1", 2, 1, RegionLine(0, 3)), 2);
  EXPECT_EQ(ledger.ReservedUnits(region_limit), 8U);
  ledger.Renew(Renewal("e1", 3, 2, RegionLine(0, 3)), 3);
  EXPECT_EQ(ledger.ReservedUnits(region_limit), 3U);
}

// Guards against granting units that requests of another host still hold.
TEST(LimitsLedger, UnitsInUseAboveTheOfferStayReserved) {
  Ledger ledger = LedgerWithCap10();
  ledger.Renew(Renewal("e1", 1, 0, RegionLine(0, 8)), 1);
  ledger.Renew(Renewal("e1", 2, 1, RegionLine(0, 3, 8)), 2);
  ledger.Renew(Renewal("e1", 3, 2, RegionLine(0, 3, 6)), 3);
  EXPECT_EQ(ledger.ReservedUnits(region_limit), 6U);
  ledger.ExpireLeases(3);
  EXPECT_EQ(ledger.ReservedUnits(region_limit), 0U);
}

TEST(LimitsLedger, SafeShareIsReleasedByConfirmationRestartOrRemoval) {
  // 0: confirmation, 1: restart under a higher incarnation, 2: removal
  for (const int release_case : {0, 1, 2}) {
    Ledger ledger = LedgerWithCap10();
    ledger.Renew(Renewal("e1", 1, 0, RegionLine(8, 1)), 1);
    ledger.ExpireLeases(1);
    ledger.Renew(Renewal("e1", 2, 1, RegionLine(1, 0)), 2);
    ledger.ExpireLeases(2);
    const HostId e1{"e1"};
    EXPECT_EQ(ledger.ReservedUnits(region_limit, e1), 8U);
    if (release_case == 0)
      ledger.Renew(Renewal("e1", 3, 2, RegionLine(1, 0)), 3);
    else if (release_case == 1)
      ledger.Renew(Renewal("e1", 1, 0, RegionLine(1, 0), 2), 3);
    else
      ledger.RemoveHost(e1);
    EXPECT_LE(ledger.ReservedUnits(region_limit, e1), 1U) << release_case;
  }
}

TEST(LimitsLedger, LoweredCapIsPendingUntilOldLeasesExpire) {
  Ledger ledger = LedgerWithCap10();
  ledger.Renew(Renewal("e1", 1, 0, RegionLine(1, 7)), 1);
  ledger.SetDocumentCaps({{region_limit, 4}});
  EXPECT_EQ(ledger.PendingCaps(), (std::vector<Cap>{{region_limit, 4}}));
  const auto granted = ledger.Renew(Renewal("e2", 1, 0, RegionLine(1, 3)), 2);
  EXPECT_EQ(granted[0].m_safe + granted[0].m_leased, 0U);
  ledger.ExpireLeases(1);
  EXPECT_TRUE(ledger.PendingCaps().empty());
}

TEST(LimitsLedger, RestoredLedgerIsEqual) {
  Ledger ledger = LedgerWithCap10();
  ledger.Renew(Renewal("e1", 1, 0, RegionLine(1, 7, 3)), 1);
  EXPECT_EQ(Ledger(ledger.Lines()), ledger);
}

// Guards against a new leader that treats leases as expired although it does
// not know when they were granted.
TEST(LimitsLeaseClock, NewLeaderMeasuresFromItsElection) {
  const MonoTime start{std::chrono::seconds(100)};
  LeaseClock clock;
  clock.OnElected(7, start);
  clock.OnCommitted(6, start + milliseconds(10));
  clock.OnCommitted(9, start + milliseconds(1000));
  EXPECT_EQ(clock.ExpiredThrough(start + kLeaseDuration), 0U);
  EXPECT_EQ(clock.ExpiredThrough(start + kGrantorLease), 7U);
  EXPECT_EQ(clock.ExpiredThrough(start + milliseconds(1000) + kLeaseDuration),
            7U);
  EXPECT_EQ(clock.ExpiredThrough(start + milliseconds(1000) + kGrantorLease),
            9U);
}

std::vector<std::uint64_t> Divide(std::uint64_t pool,
                                  const std::vector<ShareRequest>& requests,
                                  std::uint64_t round = 0) {
  return DividePool(pool, requests, round);
}

TEST(LimitsShares, PoolIsDividedMaxMinFairByDemand) {
  using Grants = std::vector<std::uint64_t>;
  EXPECT_EQ(Divide(12, {{{"a"}, 2}, {{"b"}, 100}, {{"c"}, 100}}),
            (Grants{2, 5, 5}));
  EXPECT_EQ(Divide(50, {{{"a"}, 2}, {{"b"}, 10}}), (Grants{2, 10}));
  // Local hosts first, except for the reserve for remote hosts.
  EXPECT_EQ(Divide(8, {{{"a"}, 9}, {{"b"}, 9, false}}), (Grants{6, 2}));
  EXPECT_EQ(Divide(8, {{{"a"}, 1}, {{"b"}, 9, false}}), (Grants{1, 7}));
}

// Guards against a host that never gets a slot of an instance with few slots.
TEST(LimitsShares, IndivisibleUnitsRotateThroughAllHosts) {
  std::vector<ShareRequest> requests;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g"})
    requests.push_back({{name}, 3, *name < 'c'});
  for (const std::uint64_t pool : {1U, 2U}) {
    std::vector<std::uint64_t> totals(requests.size(), 0);
    for (std::uint64_t round = 0; round < 20; ++round) {
      const auto grants = DividePool(pool, requests, round);
      for (std::size_t i = 0; i < totals.size(); ++i)
        totals[i] += grants[i];
    }
    for (const std::uint64_t total : totals)
      EXPECT_GT(total, 0U) << pool;
  }
}

TEST(LimitsShares, SafeSharesDoNotExceedTheCap) {
  const Topology topology = MakeTopology(testing::SampleDeployment());
  std::vector<Cap> caps = topology.m_caps;
  caps.push_back({slot_limit, 3});
  caps.push_back({ConnectionLimit({"pumplog"}, {"i1"}), 360});
  caps.push_back({ConnectionLimit({"pumplog"}, {"i2"}), 1});
  for (const Cap& cap : caps) {
    std::uint64_t total = 0;
    for (const SafeShare& share : ComputeSafeShares(topology, cap, {"vis-a"}))
      total += share.m_units;
    EXPECT_LE(total, cap.m_size) << cap.m_limit.m_name;
  }
  const SafeShare expected{.m_host = {"e3"}, .m_units = 1};
  EXPECT_EQ(ComputeSafeShares(topology, {slot_limit, 3}, {"vis-a"}),
            std::vector{expected});
}

AllotmentRequest SlotRequest(const std::string& host,
                             std::uint64_t cap,
                             std::uint64_t wanted) {
  return {.m_host = {host},
          .m_incarnation = 1,
          .m_sequence = 1,
          .m_demands = {{.m_limit = slot_limit,
                         .m_cap = cap,
                         .m_availability_zone = {"luz-a"},
                         .m_wanted = wanted}}};
}

// The line for slot_limit that the plan offers to each host.
std::map<std::string, OfferedLine> SlotLines(
    const std::vector<HostRenewal>& plan) {
  std::map<std::string, OfferedLine> lines;
  for (const HostRenewal& renewal : plan) {
    for (const OfferedLine& line : renewal.m_lines) {
      if (line.m_limit == slot_limit)
        lines[renewal.m_host.m_value] = line;
    }
  }
  return lines;
}

TEST(LimitsPlanner, SmallestAnnouncedCapIsUsed) {
  const Topology topology = MakeTopology(testing::SampleDeployment());
  const MonoTime now{std::chrono::seconds(100)};
  Planner planner;
  planner.OnRequest(SlotRequest("e1", 9, 9), now);
  planner.OnRequest(SlotRequest("e2", 9, 9), now);
  planner.OnRequest(SlotRequest("e3", 4, 9), now);
  EXPECT_FALSE(
      planner.OnRequest(SlotRequest("e3", 4, 1), now));  // same sequence
  Ledger ledger;
  for (const HostRenewal& renewal :
       planner.Plan({{"e1"}, {"e2"}, {"e3"}}, topology, ledger, now)) {
    ledger.Renew(renewal, 1);
  }
  EXPECT_EQ(ledger.CapOf(slot_limit), 4U);
  EXPECT_EQ(ledger.ReservedUnits(slot_limit), 4U);
  // After an election, the recorded cap is used too until e3 has reported.
  Planner new_leader_planner;
  new_leader_planner.OnRequest(SlotRequest("e1", 9, 9), now);
  const auto lines =
      SlotLines(new_leader_planner.Plan({{"e1"}}, topology, ledger, now));
  EXPECT_EQ(lines.at("e1").m_cap, 4U);
}

}  // namespace
}  // namespace jujube::limits
