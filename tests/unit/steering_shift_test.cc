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

constexpr std::uint32_t kUsableSlots = 100;  // slots of each region
constexpr UnixMillis kStart{1000000};
const RegionId luzon_region{"luzon"};
const RegionId visayas_region{"visayas"};
const RegionId mindanao_region{"mindanao"};

const SourceSlots& SourceOf(const ShiftPlan& plan, const RegionId& region) {
  return *std::find_if(plan.m_sources.begin(), plan.m_sources.end(),
                       [&](const auto& s) { return s.m_source == region; });
}

std::vector<std::uint32_t> MovedSlotsBySource(const ShiftPlan& a,
                                              const ShiftPlan& b) {
  std::vector<std::uint32_t> counts(a.m_sources.size(), 0);
  for (std::size_t i = 0; i < a.m_sources.size(); ++i) {
    for (std::size_t slot = 0; slot < kCallerSlots; ++slot)
      counts[i] +=
          a.m_sources[i].m_target[slot] != b.m_sources[i].m_target[slot];
  }
  return counts;
}

std::uint32_t MaxMovedSlots(const ShiftPlan& a, const ShiftPlan& b) {
  const std::vector<std::uint32_t> counts = MovedSlotsBySource(a, b);
  return *std::max_element(counts.begin(), counts.end());
}

ShiftInputs MakeInputs(UnixMillis now,
                       std::vector<std::uint32_t> load,
                       std::vector<std::uint32_t> demand) {
  const std::vector<RegionId> regions{luzon_region, mindanao_region,
                                      visayas_region};
  ShiftInputs inputs{.m_now = now};
  for (std::size_t i = 0; i < regions.size(); ++i) {
    inputs.m_regions.push_back({.m_region = regions[i],
                                .m_from = now,
                                .m_in_progress = load[i],
                                .m_usable = kUsableSlots});
    inputs.m_demand.push_back(
        {.m_source = regions[i], .m_in_progress = demand[i]});
  }
  return inputs;
}

ShiftPlan SampleHomePlan() {
  return HomePlan(SampleDeployment());
}

ShiftPlan PlanWithDefaults(const ShiftPlan& plan, const ShiftInputs& inputs) {
  return PlanShift(plan, inputs, SampleDeployment(), {});
}

TEST(Shift, OverloadMovesHalfOfTheExcessToTheNearestHeadroom) {
  const ShiftPlan plan = PlanWithDefaults(
      SampleHomePlan(), MakeInputs(kStart, {95, 20, 70}, {95, 20, 70}));
  const SourceSlots& source = SourceOf(plan, luzon_region);
  // 95 of 100 slots: the excess over 75 is 210 permille, half of it is 105, and
  // the cap is 100. Visayas is nearer and has headroom for 5 requests, or 52
  // permille.
  EXPECT_EQ(ShareOf(source, visayas_region), 52U);
  EXPECT_EQ(ShareOf(source, mindanao_region), 48U);
  EXPECT_EQ(ShareOf(source, luzon_region), 900U);
}

// Guards against a shift that overloads the receiving regions.
TEST(Shift, ReceivingRegionsStayWithinTheirHeadroom) {
  ShiftInputs inputs = MakeInputs(kStart, {0, 74, 74}, {90, 74, 74});
  inputs.m_out = {luzon_region};
  const ShiftPlan plan = PlanWithDefaults(SampleHomePlan(), inputs);
  EXPECT_LE(ShareOf(SourceOf(plan, luzon_region), visayas_region) * 90, 1000U);
  EXPECT_LE(ShareOf(SourceOf(plan, luzon_region), mindanao_region) * 90, 1000U);
  EXPECT_GT(MaxMovedSlots(plan, SampleHomePlan()), 0U);
}

// Guards against a second step before callers use the new look-up answers.
TEST(Shift, NothingMovesBeforeCachedAnswersExpire) {
  const auto overloaded = [](UnixMillis now) {
    return MakeInputs(now, {95, 20, 20}, {95, 20, 20});
  };
  const ShiftPlan first =
      PlanWithDefaults(SampleHomePlan(), overloaded(kStart));
  ASSERT_GT(MaxMovedSlots(first, SampleHomePlan()), 0U);
  EXPECT_EQ(
      MaxMovedSlots(PlanWithDefaults(first, overloaded(kStart + seconds(4))),
                    first),
      0U);
  // The lifetime has passed, but the measurement started before its end.
  ShiftInputs lagging = overloaded(kStart + seconds(6));
  for (RegionMeasurement& measurement : lagging.m_regions)
    measurement.m_from = kStart + seconds(4);
  EXPECT_EQ(MaxMovedSlots(PlanWithDefaults(first, lagging), first), 0U);
}

// Guards against exceeding the cap in any minute, with random inputs.
TEST(Shift, NeverExceedsTheCapInAnyMinute) {
  const bool holds = CheckWithSeed(15, [] {
    ShiftPlan plan = SampleHomePlan();
    std::deque<std::pair<UnixMillis, std::vector<std::uint32_t>>> recent_moves;
    UnixMillis now = kStart;
    for (int i = 0; i < 40; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(1, 12000));
      const auto random_load = [] {
        return *rc::gen::inRange<std::uint32_t>(0, 130);
      };
      ShiftInputs inputs =
          MakeInputs(now, {random_load(), random_load(), random_load()},
                     {random_load(), random_load(), random_load()});
      inputs.m_regions[0].m_from -=
          std::chrono::milliseconds(*rc::gen::inRange(-20000, 20000));
      if (*rc::gen::inRange(0, 4) == 0)
        inputs.m_out = {mindanao_region};
      const ShiftPlan next = PlanWithDefaults(plan, inputs);
      recent_moves.emplace_back(now, MovedSlotsBySource(plan, next));
      plan = next;
      while (now - recent_moves.front().first >= seconds(60))
        recent_moves.pop_front();
      for (std::size_t source = 0; source < 3; ++source) {
        std::uint32_t moved_in_minute = 0;
        for (const auto& [at, moved] : recent_moves)
          moved_in_minute += moved[source];
        RC_ASSERT(moved_in_minute <= 100U);
      }
    }
  });
  EXPECT_TRUE(holds);
}

// Guards against treating missing, stale or future measurements as headroom.
TEST(Shift, RegionsWithoutValidMeasurementsReceiveNothing) {
  const ShiftInputs valid_inputs = MakeInputs(kStart, {95, 0, 0}, {95, 0, 0});
  ShiftInputs missing_measurements = valid_inputs;
  missing_measurements.m_regions.resize(1);
  ShiftInputs stale_measurements = valid_inputs;
  ShiftInputs future_measurements = valid_inputs;
  for (std::size_t i = 1; i < 3; ++i) {
    stale_measurements.m_regions[i].m_from -= seconds(16);
    future_measurements.m_regions[i].m_from += seconds(60);
  }
  for (const ShiftInputs& inputs :
       {missing_measurements, stale_measurements, future_measurements})
    EXPECT_EQ(MaxMovedSlots(PlanWithDefaults(SampleHomePlan(), inputs),
                            SampleHomePlan()),
              0U);
  EXPECT_GT(MaxMovedSlots(PlanWithDefaults(SampleHomePlan(), valid_inputs),
                          SampleHomePlan()),
            0U);
}

// Guards against a region that falsely reports no load: the load that the plan
// directs there and its refusals take precedence.
TEST(Shift, RegionsWithFalseReportsReceiveNothing) {
  ShiftInputs false_report = MakeInputs(kStart, {95, 0, 0}, {95, 90, 0});
  false_report.m_regions[2].m_refused = 1;
  EXPECT_EQ(MaxMovedSlots(PlanWithDefaults(SampleHomePlan(), false_report),
                          SampleHomePlan()),
            0U);
}

// Guards against oscillation: with measurements delayed by up to 10 s, a
// temporary overload moves callers away and back exactly once.
TEST(Shift, DoesNotOscillateWithLaggingMeasurements) {
  for (const int lag_s : {0, 1, 5, 10}) {
    ShiftPlan plan = SampleHomePlan();
    std::deque<std::uint32_t> away_history;
    int direction_changes = 0;
    int direction = 0;
    for (int second = 0; second < 1800; ++second) {
      const std::uint32_t demand = second < 900 ? 100 : 50;
      const std::uint32_t away_share =
          1000 - ShareOf(SourceOf(plan, luzon_region), luzon_region);
      away_history.push_back(away_share);
      const std::size_t delay = 5 + static_cast<std::size_t>(lag_s);
      const std::uint32_t effective =
          away_history.size() > delay
              ? away_history[away_history.size() - 1 - delay]
              : 0;
      const std::uint32_t home_load = demand * (1000 - effective) / 1000;
      ShiftInputs inputs = MakeInputs(kStart + seconds(second),
                                      {home_load, 20, 20 + demand - home_load},
                                      {demand, 20, 20});
      for (RegionMeasurement& measurement : inputs.m_regions)
        measurement.m_from -= seconds(lag_s);
      plan = PlanWithDefaults(plan, inputs);
      const int change =
          static_cast<int>(
              1000 - ShareOf(SourceOf(plan, luzon_region), luzon_region)) -
          static_cast<int>(away_share);
      if (change != 0 && (change > 0) != (direction > 0)) {
        direction = change;
        ++direction_changes;
      }
    }
    EXPECT_EQ(direction_changes, 2) << "lag " << lag_s;
    EXPECT_EQ(ShareOf(SourceOf(plan, luzon_region), luzon_region), 1000U)
        << lag_s;
  }
}

// Guards against a flapping region that moves its callers back and forth.
TEST(Shift, FlappingRegionGetsItsCallersBackOnlyWhenCalm) {
  ShiftPlan plan = SampleHomePlan();
  std::uint32_t previous_share = 0;
  for (int second = 0; second < 600; ++second) {
    ShiftInputs inputs =
        MakeInputs(kStart + seconds(second), {10, 10, 10}, {10, 10, 10});
    if (second / 10 % 2 == 0)
      inputs.m_out = {luzon_region};
    plan = PlanWithDefaults(plan, inputs);
    const std::uint32_t away_share =
        1000 - ShareOf(SourceOf(plan, luzon_region), luzon_region);
    EXPECT_GE(away_share, previous_share) << second;
    previous_share = away_share;
  }
  EXPECT_GT(previous_share, 0U);
}

// Guards against entry hosts that direct the same callers to different regions:
// the plan does not depend on the order of the inputs, and each block has
// exactly one region.
TEST(Shift, SameInputsGiveTheSamePlan) {
  const ShiftInputs inputs = MakeInputs(kStart, {95, 20, 20}, {95, 20, 20});
  ShiftInputs reversed = inputs;
  std::reverse(reversed.m_regions.begin(), reversed.m_regions.end());
  std::reverse(reversed.m_demand.begin(), reversed.m_demand.end());
  const ShiftPlan plan = PlanWithDefaults(SampleHomePlan(), inputs);
  EXPECT_EQ(PlanWithDefaults(SampleHomePlan(), reversed), plan);
  int moved = 0;
  for (int i = 0; i < 2000; ++i)
    moved +=
        RegionForBlock(plan, luzon_region,
                       "10." + std::to_string(i) + ".0.0/16") != luzon_region;
  EXPECT_NEAR(moved, 200, 60);
  EXPECT_EQ(RegionForBlock(plan, {"unknown"}, "10.0.0.0/8"),
            RegionId{"unknown"});
}

TEST(Shift, RemovedRegionsLoseTheirSlots) {
  const ShiftPlan plan = PlanWithDefaults(
      SampleHomePlan(), MakeInputs(kStart, {95, 20, 20}, {95, 20, 20}));
  Deployment smaller = SampleDeployment();
  smaller.m_regions.pop_back();  // visayas
  const ShiftPlan next = PlanShift(plan, {.m_now = kStart}, smaller, {});
  EXPECT_EQ(next.m_sources.size(), 2U);
  EXPECT_EQ(ShareOf(SourceOf(next, luzon_region), luzon_region), 1000U);
}

}  // namespace
}  // namespace jujube::steering
