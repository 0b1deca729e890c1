#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>

#include <gtest/gtest.h>

#include "steering/cost_admission.h"
#include "steering/expected_cost.h"
#include "steering/instance_counters.h"
#include "steering/work_estimate.h"
#include "unit/steering_sample.h"

namespace jujube::steering {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kRoute = 7;

void RecordWork(WorkEstimator& estimator,
                Acquaintance acquaintance,
                milliseconds elapsed,
                int count,
                MonoTime now = At(0)) {
  for (int i = 0; i < count; ++i) {
    estimator.Record({.m_route = kRoute,
                      .m_acquaintance = acquaintance,
                      .m_elapsed = elapsed},
                     now);
  }
}

// Load pattern: alike requests of unlike cost. Guards against one mean for
// instances that know the object and those that do not.
TEST(WorkEstimator, TellsAcquaintancesApart) {
  WorkEstimator estimator;
  RecordWork(estimator, Acquaintance::kRemembered, milliseconds(300), 40);
  RecordWork(estimator, Acquaintance::kStranger, milliseconds(1000), 40);
  EXPECT_EQ(
      estimator.ExpectedWork(kRoute, Acquaintance::kRemembered, At(0)).count(),
      300000);
  EXPECT_NEAR(static_cast<double>(
                  estimator.ExpectedWork(kRoute, Acquaintance::kStranger, At(0))
                      .count()),
              1000000, 1000);
}

// Guards against a few odd samples that make a stranger look cheaper than an
// instance that knows the object.
TEST(WorkEstimator, AStrangerIsNeverCheaper) {
  WorkEstimator estimator;
  RecordWork(estimator, Acquaintance::kRemembered, milliseconds(900), 10);
  RecordWork(estimator, Acquaintance::kStranger, milliseconds(100), 10);
  EXPECT_LE(estimator.ExpectedWork(kRoute, Acquaintance::kRemembered, At(0)),
            estimator.ExpectedWork(kRoute, Acquaintance::kStranger, At(0)));
}

// Load pattern: a heavy tail. Guards against an estimate that follows the few
// requests that take many times the work.
TEST(WorkEstimator, TheTailMovesTheMeanLittle) {
  WorkEstimator estimator;
  for (int i = 0; i < 300; ++i) {
    const bool is_long = i % 33 == 0;
    RecordWork(estimator, Acquaintance::kRemembered,
               milliseconds(is_long ? 7000 : 300), 1);
  }
  EXPECT_LT(estimator.ExpectedWork(kRoute, Acquaintance::kRemembered, At(0)),
            milliseconds(500));
  // The queue in front of a request does contain the long ones.
  EXPECT_GT(estimator.MeanWork(), milliseconds(400));
}

// Guards against slow requests that vanish from the mean because their callers
// gave them up, and against short waits of impatient callers that lower it.
TEST(WorkEstimator, AGivenUpRequestOnlyRaisesTheEstimate) {
  WorkEstimator estimator;
  RecordWork(estimator, Acquaintance::kPreferred, milliseconds(500), 40);
  const auto before =
      estimator.ExpectedWork(kRoute, Acquaintance::kPreferred, At(0));
  WorkSample sample{.m_route = kRoute,
                    .m_acquaintance = Acquaintance::kPreferred,
                    .m_elapsed = milliseconds(50),
                    .m_is_lower_bound = true};
  estimator.Record(sample, At(0));
  EXPECT_EQ(estimator.ExpectedWork(kRoute, Acquaintance::kPreferred, At(0)),
            before);
  sample.m_elapsed = milliseconds(1500);
  estimator.Record(sample, At(0));
  EXPECT_GT(estimator.ExpectedWork(kRoute, Acquaintance::kPreferred, At(0)),
            before);
}

// Guards against a mean that is kept forever once its class is not used.
TEST(WorkEstimator, ForgetsAClassWithoutSamples) {
  WorkEstimator estimator;
  RecordWork(estimator, Acquaintance::kRemembered, milliseconds(300), 40);
  RecordWork(estimator, Acquaintance::kStranger, milliseconds(9000), 40);
  RecordWork(estimator, Acquaintance::kRemembered, milliseconds(300), 40,
             At(60000));
  EXPECT_LT(estimator.ExpectedWork(kRoute, Acquaintance::kStranger, At(60000)),
            milliseconds(1500));
}

// Guards against waiting time and a slow machine that are taken for work.
TEST(WorkSample, IsWorkAtTheUsualSpeedWithoutTheWait) {
  EXPECT_EQ(WorkOf({.m_elapsed = milliseconds(1250),
                    .m_expected_wait = milliseconds(500),
                    .m_work_time_permille = 2500}),
            milliseconds(300));
  // A wait that was overestimated leaves some work.
  EXPECT_EQ(
      WorkOf({.m_elapsed = milliseconds(400), .m_expected_wait = seconds(9)}),
      milliseconds(100));
  EXPECT_EQ(WorkOf({.m_elapsed = milliseconds(-5), .m_work_time_permille = 0}),
            milliseconds(0));
}

// Guards against memory that grows with the objects of callers, and against a
// restarted clock that makes old placements look new.
TEST(PlacementMemory, ForgetsOldPlacements) {
  const auto memory = std::make_unique<PlacementMemory>();
  memory->Remember(0x1234567890abcdefULL, At(0));
  EXPECT_TRUE(memory->Contains(0x1234567890abcdefULL, At(1000)));
  EXPECT_FALSE(memory->Contains(0x1234567990abcdefULL, At(1000)));
  EXPECT_FALSE(memory->Contains(0x1234567890abcdefULL, At(31000)));
  EXPECT_FALSE(memory->Contains(0x1234567890abcdefULL, At(-1000)));
}

CostInputs SampleInputs() {
  return {.m_slots = 6,
          .m_in_progress = 0,
          .m_load = {.m_others_in_progress = 6, .m_at = At(0)},
          .m_work = milliseconds(300),
          .m_mean_work = milliseconds(600),
          .m_mean_queue_permille = 500};
}

// Guards against a stale report that makes an instance look idle: its queue
// becomes the mean queue of the service.
TEST(EstimateCost, AStaleReportBecomesTheMean) {
  CostInputs inputs = SampleInputs();
  inputs.m_load.m_others_in_progress = 0;
  EXPECT_EQ(EstimateCost(inputs, At(100)).m_wait, microseconds(0));
  EXPECT_GT(EstimateCost(inputs, At(1500)).m_wait, milliseconds(50));
  EXPECT_EQ(EstimateCost(inputs, At(3000)).m_wait, milliseconds(300));
  inputs.m_load.m_at = MonoTime{};  // none yet
  EXPECT_EQ(EstimateCost(inputs, At(100)).m_wait, milliseconds(300));
}

// Guards against a queue that counts as work of one request each: it is shared
// by the slots.
TEST(EstimateCost, TheQueueIsSharedByTheSlots) {
  CostInputs inputs = SampleInputs();
  EXPECT_EQ(EstimateCost(inputs, At(100)).m_wait, microseconds(99600));
  inputs.m_in_progress = 5;
  EXPECT_EQ(EstimateCost(inputs, At(100)).m_wait, milliseconds(600));
  // Requests of this host count whatever the age of the report.
  inputs.m_in_progress = 11;
  EXPECT_EQ(EstimateCost(inputs, At(90000)).m_wait, milliseconds(600));
}

// Load pattern: machines that are slow for 600 ms. Guards against a moment that
// counts for longer.
TEST(EstimateCost, ASlowMachineCountsForAMoment) {
  CostInputs inputs = SampleInputs();
  inputs.m_load = {.m_work_time_permille = 2500, .m_at = At(0)};
  EXPECT_EQ(EstimateCost(inputs, At(50)).m_work, milliseconds(750));
  EXPECT_LT(EstimateCost(inputs, At(400)).m_work, milliseconds(600));
  EXPECT_EQ(EstimateCost(inputs, At(600)).m_work, milliseconds(300));
}

// Guards against an instance that fails fast and therefore looks cheap.
TEST(EstimateCost, FailuresCostTheRepetition) {
  CostInputs inputs = SampleInputs();
  const auto healthy = EstimateCost(inputs, At(0)).Total();
  inputs.m_failure_permille = 500;
  EXPECT_GE(EstimateCost(inputs, At(0)).Total(), healthy + milliseconds(450));
}

// Guards against absurd reports: a division by zero, an overflow, more slots
// than announced, or times that go back.
TEST(EstimateCost, TakesAbsurdReports) {
  constexpr std::uint32_t kHuge = std::numeric_limits<std::uint32_t>::max();
  CostInputs inputs = SampleInputs();
  inputs.m_load.m_slots = kHuge;
  EXPECT_EQ(EstimateCost(inputs, At(0)), EstimateCost(SampleInputs(), At(0)));
  inputs.m_slots = 0;
  inputs.m_load = {.m_others_in_progress = kHuge,
                   .m_waiting = kHuge,
                   .m_slots = 0,
                   .m_work_time_permille = kHuge,
                   .m_at = At(0)};
  inputs.m_in_progress = kHuge;
  inputs.m_failure_permille = kHuge;
  const Cost cost = EstimateCost(inputs, At(-50000));
  EXPECT_GT(cost.m_wait, microseconds(0));
  EXPECT_GT(cost.Total(), cost.m_wait);
}

// Guards against a report that is mixed from two, and against a machine that
// claims to be faster than usual, or to take no time at all.
TEST(InstanceCounters, KeepsTheReportedLoad) {
  InstanceCounters counters;
  EXPECT_EQ(counters.Load(), ReportedLoad());
  counters.RecordReport({.m_in_progress = 9,
                         .m_waiting = 3,
                         .m_slots = 6,
                         .m_work_time_permille = 2500},
                        At(5));
  EXPECT_EQ(counters.Load(), (ReportedLoad{.m_others_in_progress = 9,
                                           .m_waiting = 3,
                                           .m_slots = 6,
                                           .m_work_time_permille = 2500,
                                           .m_at = At(5)}));
  counters.RecordReport({.m_in_progress = 1, .m_work_time_permille = 0}, At(6));
  EXPECT_EQ(counters.Load().m_work_time_permille, kUsualWorkTimePermille);
  counters.RecordReport(
      {.m_in_progress = 1, .m_waiting = 100000, .m_slots = 100000}, At(7));
  EXPECT_EQ(counters.Load().m_slots, 65535U);
}

// Guards against a wrong estimate that locks a route out, and against the
// refusal of a request that can still be answered.
TEST(DecideByCost, RejectsOnlyWhatIsTooLateAndTriesAPart) {
  CostAdmissionInputs inputs{
      .m_expected = seconds(2), .m_remaining = seconds(2), .m_draw = 1};
  EXPECT_EQ(DecideByCost(inputs), CostAnswer::kAdmitted);
  inputs.m_remaining = milliseconds(1999);
  EXPECT_EQ(DecideByCost(inputs), CostAnswer::kExpectedLate);
  inputs.m_draw = 0;
  EXPECT_EQ(DecideByCost(inputs), CostAnswer::kTried);
  inputs.m_remaining.reset();
  EXPECT_EQ(DecideByCost(inputs), CostAnswer::kAdmitted);
}

}  // namespace
}  // namespace jujube::steering
