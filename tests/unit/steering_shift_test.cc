#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "steering/shift_plan.h"
#include "unit/property.h"
#include "unit/steering_sample.h"

namespace jujube::steering {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t kUsable = 100;  // slots of each region
constexpr UnixMillis kStart{1000000};
const RegionId luzon_region{"luzon"};
const RegionId visayas_region{"visayas"};
const RegionId mindanao_region{"mindanao"};

const SourceSlots& SourceOf(const ShiftPlan& plan, const RegionId& region) {
  return *std::find_if(plan.m_sources.begin(), plan.m_sources.end(),
                       [&](const auto& s) { return s.m_source == region; });
}

std::vector<std::uint32_t> MovedBySource(const ShiftPlan& a,
                                         const ShiftPlan& b) {
  std::vector<std::uint32_t> counts(a.m_sources.size(), 0);
  for (std::size_t i = 0; i < a.m_sources.size(); ++i) {
    for (std::size_t slot = 0; slot < kCallerSlots; ++slot)
      counts[i] +=
          a.m_sources[i].m_target[slot] != b.m_sources[i].m_target[slot];
  }
  return counts;
}

std::uint32_t Moved(const ShiftPlan& a, const ShiftPlan& b) {
  const std::vector<std::uint32_t> counts = MovedBySource(a, b);
  return *std::max_element(counts.begin(), counts.end());
}

ShiftInputs Inputs(UnixMillis now,
                   std::vector<std::uint32_t> load,
                   std::vector<std::uint32_t> demand) {
  const std::vector<RegionId> regions{luzon_region, mindanao_region,
                                      visayas_region};
  ShiftInputs inputs{.m_now = now};
  for (std::size_t i = 0; i < regions.size(); ++i) {
    inputs.m_regions.push_back({.m_region = regions[i],
                                .m_from = now,
                                .m_in_progress = load[i],
                                .m_usable = kUsable});
    inputs.m_demand.push_back(
        {.m_source = regions[i], .m_in_progress = demand[i]});
  }
  return inputs;
}

ShiftPlan Home() {
  return HomePlan(SampleDeployment());
}

ShiftPlan Plan(const ShiftPlan& plan, const ShiftInputs& inputs) {
  return PlanShift(plan, inputs, SampleDeployment(), {});
}

TEST(Shift, OverloadMovesHalfOfTheExcessToTheNearestRoom) {
  const ShiftPlan plan =
      Plan(Home(), Inputs(kStart, {95, 20, 70}, {95, 20, 70}));
  const SourceSlots& source = SourceOf(plan, luzon_region);
  // 95 of 100 slots: the excess over 75 is 210 permille, half of it 105, and
  // the cap 100. Visayas is nearer and has room for 5 requests, 52 permille.
  EXPECT_EQ(ShareOf(source, visayas_region), 52U);
  EXPECT_EQ(ShareOf(source, mindanao_region), 48U);
  EXPECT_EQ(ShareOf(source, luzon_region), 900U);
}

// Guards against a shift that overloads the regions which receive it.
TEST(Shift, SurvivorsAreFilledToTheirRoomOverAllSources) {
  ShiftInputs inputs = Inputs(kStart, {0, 74, 74}, {90, 74, 74});
  inputs.m_out = {luzon_region};
  const ShiftPlan plan = Plan(Home(), inputs);
  EXPECT_LE(ShareOf(SourceOf(plan, luzon_region), visayas_region) * 90, 1000U);
  EXPECT_LE(ShareOf(SourceOf(plan, luzon_region), mindanao_region) * 90, 1000U);
  EXPECT_GT(Moved(plan, Home()), 0U);
}

// Guards against reacting again before callers use the new answers.
TEST(Shift, NothingMovesBeforeTheOldAnswersExpired) {
  const auto overloaded = [](UnixMillis now) {
    return Inputs(now, {95, 20, 20}, {95, 20, 20});
  };
  const ShiftPlan first = Plan(Home(), overloaded(kStart));
  ASSERT_GT(Moved(first, Home()), 0U);
  EXPECT_EQ(Moved(Plan(first, overloaded(kStart + seconds(4))), first), 0U);
  // The lifetime has passed, but the measurement began before.
  ShiftInputs lagging = overloaded(kStart + seconds(6));
  for (RegionMeasurement& measurement : lagging.m_regions)
    measurement.m_from = kStart + seconds(4);
  EXPECT_EQ(Moved(Plan(first, lagging), first), 0U);
}

// Guards against more than the cap in any minute, with every kind of input.
TEST(Shift, NeverExceedsTheCapInAnyMinute) {
  const bool holds = CheckWithSeed(15, [] {
    ShiftPlan plan = Home();
    std::deque<std::pair<UnixMillis, std::vector<std::uint32_t>>> steps;
    UnixMillis now = kStart;
    for (int i = 0; i < 40; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(1, 12000));
      const auto any = [] { return *rc::gen::inRange<std::uint32_t>(0, 130); };
      ShiftInputs inputs =
          Inputs(now, {any(), any(), any()}, {any(), any(), any()});
      inputs.m_regions[0].m_from -=
          std::chrono::milliseconds(*rc::gen::inRange(-20000, 20000));
      if (*rc::gen::inRange(0, 4) == 0)
        inputs.m_out = {mindanao_region};
      const ShiftPlan next = Plan(plan, inputs);
      steps.emplace_back(now, MovedBySource(plan, next));
      plan = next;
      while (now - steps.front().first >= seconds(60))
        steps.pop_front();
      for (std::size_t source = 0; source < 3; ++source) {
        std::uint32_t in_minute = 0;
        for (const auto& [at, moved] : steps)
          in_minute += moved[source];
        RC_ASSERT(in_minute <= 100U);
      }
    }
  });
  EXPECT_TRUE(holds);
}

// Guards against taking silence, age or a clock in the future for headroom.
TEST(Shift, UnknownRegionsReceiveNothing) {
  const ShiftInputs fresh = Inputs(kStart, {95, 0, 0}, {95, 0, 0});
  ShiftInputs missing = fresh;
  missing.m_regions.resize(1);
  ShiftInputs stale = fresh;
  ShiftInputs future = fresh;
  for (std::size_t i = 1; i < 3; ++i) {
    stale.m_regions[i].m_from -= seconds(16);
    future.m_regions[i].m_from += seconds(60);
  }
  for (const ShiftInputs& inputs : {missing, stale, future})
    EXPECT_EQ(Moved(Plan(Home(), inputs), Home()), 0U);
  EXPECT_GT(Moved(Plan(Home(), fresh), Home()), 0U);
}

// Guards against a region that reports to be idle: what the plan steers there
// and what it refuses count more.
TEST(Shift, LyingRegionsReceiveNothing) {
  ShiftInputs lying = Inputs(kStart, {95, 0, 0}, {95, 90, 0});
  lying.m_regions[2].m_refused = 1;
  EXPECT_EQ(Moved(Plan(Home(), lying), Home()), 0U);
}

// Guards against oscillation: with measurements that lag by up to 10 s, an
// overload that lasts and then ends moves callers out and back once.
TEST(Shift, DoesNotOscillateWithLaggingMeasurements) {
  for (const int lag : {0, 1, 5, 10}) {
    ShiftPlan plan = Home();
    std::deque<std::uint32_t> away;  // as callers follow, a lifetime later
    int turns = 0;
    int direction = 0;
    for (int second = 0; second < 1800; ++second) {
      const std::uint32_t demand = second < 900 ? 100 : 50;
      const std::uint32_t share =
          1000 - ShareOf(SourceOf(plan, luzon_region), luzon_region);
      away.push_back(share);
      const std::size_t delay = 5 + static_cast<std::size_t>(lag);
      const std::uint32_t effective =
          away.size() > delay ? away[away.size() - 1 - delay] : 0;
      const std::uint32_t at_home = demand * (1000 - effective) / 1000;
      ShiftInputs inputs =
          Inputs(kStart + seconds(second), {at_home, 20, 20 + demand - at_home},
                 {demand, 20, 20});
      for (RegionMeasurement& measurement : inputs.m_regions)
        measurement.m_from -= seconds(lag);
      plan = Plan(plan, inputs);
      const int change =
          static_cast<int>(
              1000 - ShareOf(SourceOf(plan, luzon_region), luzon_region)) -
          static_cast<int>(share);
      if (change != 0 && (change > 0) != (direction > 0)) {
        direction = change;
        ++turns;
      }
    }
    EXPECT_EQ(turns, 2) << "lag " << lag;
    EXPECT_EQ(ShareOf(SourceOf(plan, luzon_region), luzon_region), 1000U)
        << lag;
  }
}

// Guards against a region that flaps drawing its callers back and forth.
TEST(Shift, FlappingRegionGetsItsCallersBackOnlyWhenCalm) {
  ShiftPlan plan = Home();
  std::uint32_t away = 0;
  for (int second = 0; second < 600; ++second) {
    ShiftInputs inputs =
        Inputs(kStart + seconds(second), {10, 10, 10}, {10, 10, 10});
    if (second / 10 % 2 == 0)
      inputs.m_out = {luzon_region};
    plan = Plan(plan, inputs);
    const std::uint32_t share =
        1000 - ShareOf(SourceOf(plan, luzon_region), luzon_region);
    EXPECT_GE(share, away) << second;
    away = share;
  }
  EXPECT_GT(away, 0U);
}

// Guards against entry hosts that steer the same callers differently: the order
// of the inputs does not matter, and each block has one region.
TEST(Shift, SameInputsGiveTheSamePlan) {
  const ShiftInputs inputs = Inputs(kStart, {95, 20, 20}, {95, 20, 20});
  ShiftInputs reversed = inputs;
  std::reverse(reversed.m_regions.begin(), reversed.m_regions.end());
  std::reverse(reversed.m_demand.begin(), reversed.m_demand.end());
  const ShiftPlan plan = Plan(Home(), inputs);
  EXPECT_EQ(Plan(Home(), reversed), plan);
  int moved = 0;
  for (int i = 0; i < 2000; ++i)
    moved +=
        RegionForBlock(plan, luzon_region,
                       "10." + std::to_string(i) + ".0.0/16") != luzon_region;
  EXPECT_NEAR(moved, 200, 60);
  EXPECT_EQ(RegionForBlock(plan, {"unknown"}, "10.0.0.0/8"),
            RegionId{"unknown"});
}

TEST(Shift, RegionsThatLeaveTheDeploymentLoseTheirSlots) {
  const ShiftPlan plan =
      Plan(Home(), Inputs(kStart, {95, 20, 20}, {95, 20, 20}));
  Deployment smaller = SampleDeployment();
  smaller.m_regions.pop_back();  // visayas
  const ShiftPlan next = PlanShift(plan, {.m_now = kStart}, smaller, {});
  EXPECT_EQ(next.m_sources.size(), 2U);
  EXPECT_EQ(ShareOf(SourceOf(next, luzon_region), luzon_region), 1000U);
}

}  // namespace
}  // namespace jujube::steering
