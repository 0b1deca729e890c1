#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "lookup/entry_host_lists.h"
#include "lookup/spill_plan.h"

namespace jujube::lookup {
namespace {

using std::chrono::milliseconds;

constexpr MonoTime kStart{std::chrono::seconds(100)};
constexpr milliseconds kInterval{250};

const AvailabilityZoneId loaded_zone{"a1"};

ZoneLoads Loads(std::uint32_t load_of_a1) {
  return {{loaded_zone, {.m_hosts = 6, .m_load_permille = load_of_a1}},
          {{"a2"}, {.m_hosts = 6, .m_load_permille = 250}}};
}

// Lets the load of the zone follow its share after `delay` intervals, as
// callers keep their answers. Returns the shares of all intervals.
std::vector<std::uint32_t> PlayZone(std::uint32_t whole_load,
                                    std::size_t delay,
                                    std::size_t intervals) {
  SpillPlan plan{.m_updated_at = kStart};
  std::vector<std::uint32_t> shares(delay + 1, 0);
  MonoTime now = kStart;
  for (std::size_t i = 0; i < intervals; ++i) {
    now += kInterval;
    const std::uint32_t share = shares[shares.size() - 1 - delay];
    plan = NextSpillPlan(plan, Loads(whole_load * (1000 - share) / 1000), now);
    shares.push_back(plan.ShareOf(loaded_zone));
  }
  return shares;
}

// Load pattern: callers move into a zone until its hosts would need 1.25 times
// their links. Guards against a spill that oscillates with the lifetime of
// look-up answers.
TEST(SpillPlan, SettlesAtTheTargetAlthoughAnswersAreCached) {
  const std::vector<std::uint32_t> shares = PlayZone(1250, 12, 200);
  // 625 of 1250 is a half.
  EXPECT_GE(shares.back(), 400U);
  EXPECT_LE(shares.back(), 500U);
  std::uint32_t max_change = 0;
  for (std::size_t i = 1; i < shares.size(); ++i) {
    max_change = std::max(max_change, shares[i] > shares[i - 1]
                                          ? shares[i] - shares[i - 1]
                                          : shares[i - 1] - shares[i]);
  }
  EXPECT_LE(max_change, 25U);
}

// Guards against callers that are sent away without need, and against a spill
// that remains after the load is gone.
TEST(SpillPlan, BeginsOnlyUnderLoadAndEnds) {
  EXPECT_EQ(PlayZone(700, 0, 100).back(), 0U);
  SpillPlan plan{.m_share_permille = {{loaded_zone, 400}},
                 .m_updated_at = kStart};
  MonoTime now = kStart;
  for (int i = 0; i < 100; ++i) {
    now += kInterval;
    plan = NextSpillPlan(plan, Loads(200), now);
  }
  EXPECT_EQ(plan.ShareOf(loaded_zone), 0U);
}

// Guards against a jump after the process was suspended, or a clock that does
// not advance.
TEST(SpillPlan, OneStepAfterAPause) {
  const SpillPlan plan{.m_updated_at = kStart};
  EXPECT_EQ(NextSpillPlan(plan, Loads(2000), kStart + std::chrono::hours(1))
                .ShareOf(loaded_zone),
            100U);
  EXPECT_EQ(NextSpillPlan(plan, Loads(2000), kStart).ShareOf(loaded_zone), 0U);
}

std::vector<EntryHostCandidate> Candidates(std::uint32_t load_of_a2) {
  std::vector<EntryHostCandidate> candidates;
  const auto add = [&](const std::string& zone, std::uint32_t load) {
    for (int i = 0; i < 6; ++i) {
      candidates.push_back(
          {.m_zone = {zone},
           .m_caller_listener = {.m_address = zone + "-" + std::to_string(i),
                                 .m_port = 80},
           .m_load_permille = load});
    }
  };
  add("a1", 1000);
  add("a2", load_of_a2);
  add("b1", 250);
  return candidates;
}

const RegionByZone regions_of_zones{{{"a1"}, {"a"}},
                                    {{"a2"}, {"a"}},
                                    {{"b1"}, {"b"}}};

// Guards against a spill that leaves the region although it has room, or that
// goes to hosts without room.
TEST(SpillPlan, ReceiversHaveRoomAndAreInTheRegionIfPossible) {
  const auto near =
      ChooseEntryHosts(Candidates(250), regions_of_zones, {"a1"}, {"a"}, 250);
  ASSERT_EQ(near.size(), 8U);
  EXPECT_EQ(near[6].m_address.substr(0, 2), "a2");
  EXPECT_EQ(near[7].m_address.substr(0, 2), "a2");
  const auto far =
      ChooseEntryHosts(Candidates(750), regions_of_zones, {"a1"}, {"a"}, 500);
  ASSERT_EQ(far.size(), 12U);
  EXPECT_EQ(far[6].m_address.substr(0, 2), "b1");
  EXPECT_EQ(
      ChooseEntryHosts(Candidates(250), regions_of_zones, {"a2"}, {"a"}, 0)
          .size(),
      6U);
}

// Guards against announcing each small change to all hosts.
TEST(SpillPlan, AnnouncedLoadChangesInSteps) {
  EXPECT_EQ(QuantizedLoad(250, 300), 250);
  EXPECT_EQ(QuantizedLoad(250, 375), 375);
  EXPECT_EQ(QuantizedLoad(250, 130), 250);
  EXPECT_EQ(QuantizedLoad(250, 100), 125);
  EXPECT_EQ(QuantizedLoad(0, 1000000), 4000);
}

}  // namespace
}  // namespace jujube::lookup
