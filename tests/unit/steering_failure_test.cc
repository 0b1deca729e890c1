#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "steering/admission.h"
#include "steering/outlier_ejector.h"
#include "steering/priority_limiter.h"
#include "steering/retry_decision.h"
#include "unit/property.h"
#include "unit/steering_sample.h"

namespace jujube::steering {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = EjectionChange::Kind;

UpstreamView MakeView(int instances, CounterTable& counters) {
  std::vector<membership::Member> members;
  for (int i = 0; i < instances; ++i) {
    members.push_back(
        SampleMember(std::string(1, static_cast<char>('a' + i)), "luz-a"));
    members.back().m_expires = At(100000000);
  }
  return SampleView(members, counters);
}

void RecordFailures(const ServiceUpstreams& service,
                    std::size_t index,
                    MonoTime now) {
  for (int i = 0; i < 5; ++i)
    service.m_upstreams[index].m_counters->Record(Outcome::kFailure,
                                                  milliseconds(1), now);
}

std::size_t CandidateCount(const ServiceUpstreams& service, MonoTime now) {
  std::vector<Candidate> candidates;
  CollectCandidates(service, {.m_now = now}, candidates);
  return candidates.size();
}

// Guards against an instance that fails every request but stays selected
// because it reports itself as healthy and idle.
TEST(OutlierEjection, FailingInstanceIsEjectedWithGrowingBackoff) {
  CounterTable counters;
  const UpstreamView view = MakeView(3, counters);
  const ServiceUpstreams& service = view.m_services[0];
  RecordFailures(service, 1, At(0));
  const auto changes = EvaluateOutliers(service, {}, At(0));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0], (EjectionChange{.m_instance = {"b"},
                                        .m_kind = Kind::kEjected,
                                        .m_until = At(5000),
                                        .m_consecutive_failures = 5,
                                        .m_failure_permille = 1000}));
  EXPECT_EQ(CandidateCount(service, At(4999)), 2U);
  EXPECT_EQ(CandidateCount(service, At(5000)), 3U);
  EXPECT_TRUE(EvaluateOutliers(service, {}, At(5000)).empty());
  RecordFailures(service, 1, At(5001));
  EXPECT_EQ(EvaluateOutliers(service, {}, At(5001)).at(0).m_until, At(15001));
}

TEST(OutlierEjection, BackoffIsBoundedAndShortensAgain) {
  CounterTable counters;
  const UpstreamView view = MakeView(3, counters);
  const ServiceUpstreams& service = view.m_services[0];
  MonoTime now = At(0);
  for (int i = 0; i < 40; ++i) {
    RecordFailures(service, 0, now);
    now = EvaluateOutliers(service, {}, now).at(0).m_until;
  }
  RecordFailures(service, 0, now);
  EXPECT_EQ(EvaluateOutliers(service, {}, now).at(0).m_until,
            now + seconds(300));
  InstanceCounters& counters_of_first = *service.m_upstreams[0].m_counters;
  const std::uint32_t previous_count =
      counters_of_first.Observe().m_ejection_count;
  for (int i = 0; i < 20; ++i)
    counters_of_first.Record(Outcome::kSuccess, milliseconds(1), now);
  EvaluateOutliers(service, {}, now + seconds(601));
  EXPECT_EQ(counters_of_first.Observe().m_ejection_count, previous_count - 1);
}

// Guards against a network fault or faulty requests that eject all instances of
// a service.
TEST(OutlierEjection, NeverExceedsTheEjectionLimit) {
  for (const int instances : {1, 2, 3, 16}) {
    CounterTable counters;
    const UpstreamView view = MakeView(instances, counters);
    const ServiceUpstreams& service = view.m_services[0];
    for (int i = 0; i < instances; ++i)
      RecordFailures(service, static_cast<std::size_t>(i), At(0));
    EvaluateOutliers(service, {}, At(0));
    EvaluateOutliers(service, {}, At(1));
    const auto max_ejected = static_cast<std::size_t>(instances * 340 / 1000);
    EXPECT_EQ(CandidateCount(service, At(1)),
              static_cast<std::size_t>(instances) - max_ejected);
  }
}

// Guards against ejecting instances that refuse requests only for lack of
// slots.
TEST(OutlierEjection, RefusalsAreNotFailures) {
  CounterTable counters;
  const UpstreamView view = MakeView(3, counters);
  for (int i = 0; i < 50; ++i)
    view.m_services[0].m_upstreams[0].m_counters->Record(
        Outcome::kShed, milliseconds(1), At(0));
  EXPECT_TRUE(EvaluateOutliers(view.m_services[0], {}, At(0)).empty());
}

// Guards against continued requests to an instance without power: each one
// waits for the connect timeout before it is retried elsewhere.
TEST(OutlierEjection, TwoConnectTimeoutsEjectAnInstance) {
  CounterTable counters;
  const UpstreamView view = MakeView(3, counters);
  const ServiceUpstreams& service = view.m_services[0];
  InstanceCounters& unreachable = *service.m_upstreams[2].m_counters;
  unreachable.Record(Outcome::kUnreachable, milliseconds(250), At(0));
  EXPECT_TRUE(EvaluateOutliers(service, {}, At(0)).empty());
  unreachable.Record(Outcome::kUnreachable, milliseconds(250), At(1));
  const auto changes = EvaluateOutliers(service, {}, At(1));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].m_connect_timeouts, 2U);
  EXPECT_TRUE(unreachable.IsSetAside(At(1)));
}

// Guards against full load on instances that became cold while their zone was
// drained: their announcements may state this only one interval after the
// drain.
TEST(ColdInstances, AreColdAfterADrain) {
  CounterTable counters;
  Deployment deployment = SampleDeployment();
  deployment.m_services[0].m_cold_requests_per_1000s = 2900;
  deployment.m_services[0].m_slow_start = milliseconds(0);
  const auto view_at = [&](int ms, const std::vector<Drain>& drains) {
    membership::Member member = SampleMember("a", "luz-a");
    member.m_expires = At(100000000);
    const membership::RegistrySnapshot registry{.m_version = 1,
                                                .m_members = {member}};
    return BuildView({.m_registry = registry,
                      .m_deployment = deployment,
                      .m_drains = drains,
                      .m_zone = {"luz-a"},
                      .m_now = At(ms)},
                     counters);
  };
  const std::vector<Drain> zone_drain = {
      {.m_kind = DrainKind::kAvailabilityZone, .m_name = "luz-a"}};
  const auto is_cold = [&](const UpstreamView& view, int ms) {
    std::vector<Candidate> candidates;
    CollectCandidates(view.m_services[0], {.m_now = At(ms)}, candidates);
    return !candidates.empty() && candidates[0].m_is_cold;
  };
  EXPECT_FALSE(is_cold(view_at(0, {}), 0));
  view_at(1000, zone_drain);
  const UpstreamView after_drain = view_at(9000, {});
  EXPECT_TRUE(is_cold(after_drain, 9000));
  EXPECT_TRUE(is_cold(view_at(10000, {}), 11999));
  EXPECT_FALSE(is_cold(after_drain, 12000));
}

// Guards against further requests to an address that another instance has taken
// over, also when many instances are replaced at once.
TEST(OutlierEjection, ReplacedInstanceIsExcludedImmediately) {
  CounterTable counters;
  const UpstreamView view = MakeView(3, counters);
  const ServiceUpstreams& service = view.m_services[0];
  for (std::size_t i = 0; i < 2; ++i)
    service.m_upstreams[i].m_counters->Record(Outcome::kGone, milliseconds(1),
                                              At(0));
  EXPECT_EQ(CandidateCount(service, At(1)), 1U);
  EXPECT_EQ(CountSlots(service, At(1)).m_usable, 3U);
  EXPECT_TRUE(EvaluateOutliers(service, {}, At(1)).empty());
  EXPECT_EQ(CandidateCount(service, At(10000)), 3U);
}

RetryInputs RetryableInputs() {
  return {.m_verdict = Verdict::kNotRun,
          .m_remaining = milliseconds(100),
          .m_expected_latency = milliseconds(10)};
}

// Guards against running a non-repeatable request twice.
TEST(RetryDecision, RequiresNotRunOrARepeatableMethod) {
  const Service service{.m_non_repeatable_methods = {"POST"}};
  EXPECT_TRUE(IsRepeatable(service, "GET"));
  EXPECT_FALSE(IsRepeatable(service, "POST"));
  RetryBudget budget;
  RetryInputs inputs = RetryableInputs();
  EXPECT_EQ(DecideRetry(inputs, 100, budget), RetryAnswer::kRetry);
  inputs.m_verdict = Verdict::kMayHaveRun;
  EXPECT_EQ(DecideRetry(inputs, 100, budget), RetryAnswer::kMayHaveRun);
  inputs.m_verdict = Verdict::kRan;
  EXPECT_EQ(DecideRetry(inputs, 100, budget), RetryAnswer::kMayHaveRun);
  inputs.m_is_repeatable = true;
  EXPECT_EQ(DecideRetry(inputs, 100, budget), RetryAnswer::kRetry);
}

TEST(RetryDecision, EnforcesDeadlineAttemptsAndLayer) {
  RetryBudget budget;
  RetryInputs inputs = RetryableInputs();
  inputs.m_remaining = inputs.m_expected_latency;
  EXPECT_EQ(DecideRetry(inputs, 100, budget), RetryAnswer::kDeadline);
  inputs = RetryableInputs();
  inputs.m_attempts = kMaxAttempts;
  EXPECT_EQ(DecideRetry(inputs, 100, budget), RetryAnswer::kAttemptsSpent);
  inputs = RetryableInputs();
  inputs.m_is_forwarded = true;
  EXPECT_EQ(DecideRetry(inputs, 100, budget), RetryAnswer::kOtherLayer);
  EXPECT_EQ(DecideRetry(RetryableInputs(), 0, budget),
            RetryAnswer::kBudgetSpent);
}

// Guards against retries that multiply the load on a failing service.
TEST(RetryBudget, LimitsRetriesAcrossThreads) {
  RetryBudget budget;
  std::atomic<int> retries = 0;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int request = 0; request < 1000; ++request) {
        budget.OnRequest(100);
        if (budget.TryWithdraw(100))
          ++retries;
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  // The 4000 requests add 400 tokens to the initial 3.
  EXPECT_GE(retries, 390);
  EXPECT_LE(retries, 403);
}

TEST(RetryBudget, AccumulatesAtMostTheBurst) {
  RetryBudget budget;
  for (int i = 0; i < 100000; ++i)
    budget.OnRequest(1000);
  int retries = 0;
  while (budget.TryWithdraw(1000))
    ++retries;
  EXPECT_EQ(retries, 10);
}

// Guards against entry hosts that together accumulate more retries than the
// service can handle.
TEST(RetryBudget, SetBurstLimitsAccumulatedRetries) {
  RetryBudget budget;
  budget.SetBurst(4);
  for (int i = 0; i < 1000; ++i)
    budget.OnRequest(180);
  int retries = 0;
  while (budget.TryWithdraw(180))
    ++retries;
  EXPECT_EQ(retries, 4);
}

AdmissionInputs AdmissibleInputs() {
  return {.m_slots = {.m_usable = 9, .m_in_use = 8},
          .m_host_cap = 100,
          .m_remaining = milliseconds(5)};
}

// Guards against queueing requests for slots until their deadline.
TEST(Admission, RefusesWithTheMatchingReason) {
  EXPECT_EQ(DecideAdmission(AdmissibleInputs()), AdmissionAnswer::kAdmitted);
  AdmissionInputs inputs = AdmissibleInputs();
  inputs.m_slots.m_in_use = 9;
  EXPECT_EQ(DecideAdmission(inputs), AdmissionAnswer::kSlotsTaken);
  EXPECT_EQ(VerdictOf(AdmissionAnswer::kSlotsTaken), Verdict::kNotRun);
  inputs.m_slots.m_usable = 0;
  EXPECT_EQ(DecideAdmission(inputs), AdmissionAnswer::kNoUpstream);
  inputs = AdmissibleInputs();
  inputs.m_is_host_draining = true;
  EXPECT_EQ(DecideAdmission(inputs), AdmissionAnswer::kHostDraining);
  inputs = AdmissibleInputs();
  inputs.m_remaining = seconds(0);
  EXPECT_EQ(DecideAdmission(inputs), AdmissionAnswer::kDeadlinePassed);
}

// Guards against low-priority requests that fill a cap before high-priority
// ones.
TEST(Admission, LowerPrioritiesAreRefusedFirst) {
  AdmissionInputs inputs = AdmissibleInputs();
  inputs.m_host_in_progress = 80;
  inputs.m_priority = 0;
  EXPECT_EQ(DecideAdmission(inputs), AdmissionAnswer::kPriorityTooLow);
  inputs.m_priority = 9;
  EXPECT_EQ(DecideAdmission(inputs), AdmissionAnswer::kAdmitted);
  inputs.m_host_in_progress = 100;
  EXPECT_EQ(DecideAdmission(inputs), AdmissionAnswer::kPriorityTooLow);
}

TEST(PriorityLimiter, CapGrowsWithPriorityUpToTheFullCap) {
  const bool holds = CheckWithSeed(14, [] {
    const auto cap = *rc::gen::arbitrary<std::uint32_t>();
    for (std::uint8_t priority = 0; priority < 9; ++priority)
      RC_ASSERT(CapForPriority(cap, priority) <=
                CapForPriority(cap, static_cast<std::uint8_t>(priority + 1)));
    RC_ASSERT(CapForPriority(cap, 9) == cap);
    RC_ASSERT(cap == 0 || CapForPriority(cap, 0) >= 1);
  });
  EXPECT_TRUE(holds);
  PriorityLimiter limiter;
  EXPECT_TRUE(limiter.TryAcquire(1, 0));
  EXPECT_FALSE(limiter.TryAcquire(1, 9));
  limiter.Release();
  EXPECT_TRUE(limiter.TryAcquire(1, 9));
}

}  // namespace
}  // namespace jujube::steering
