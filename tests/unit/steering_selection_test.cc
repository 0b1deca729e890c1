#include <atomic>
#include <set>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "rcu/cell.h"
#include "rcu/thread.h"
#include "steering/candidate_collector.h"
#include "steering/headroom_latency_policy.h"
#include "steering/least_connections_policy.h"
#include "steering/load_estimate.h"
#include "steering/random_policy.h"
#include "steering/round_robin_policy.h"
#include "steering/selector.h"
#include "steering/two_choices_policy.h"
#include "unit/property.h"
#include "unit/steering_sample.h"

namespace jujube::steering {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<membership::Member> MembersInThreeZones() {
  return {SampleMember("a", "luz-a"), SampleMember("b", "luz-b"),
          SampleMember("c", "vis-a")};
}

// Names of the instances selected by `count` selections whose slots are all
// held; "-" if none was selected.
template <class P = HeadroomLatencyPolicy>
std::vector<std::string> Select(const UpstreamView& view,
                                int count,
                                MonoTime now = At(1),
                                const std::vector<InstanceId>& tried = {}) {
  Selector<P> selector(7);
  std::vector<Selection> held_selections;
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    auto selection = selector.Select(
        view.m_services[0],
        {.m_now = now, .m_weights = view.m_weights, .m_tried = tried});
    names.push_back(selection ? selection->m_instance.m_value : "-");
    if (selection)
      held_selections.push_back(std::move(*selection));
  }
  return names;
}

TEST(UpstreamView, SetsTiersDelaysAndDrains) {
  CounterTable counters;
  auto members = MembersInThreeZones();
  members.push_back(SampleMember("d", "nowhere"));
  const UpstreamView view =
      SampleView(members, counters,
                 {{.m_kind = DrainKind::kInstance, .m_name = "tankview/a"},
                  {.m_kind = DrainKind::kRegion, .m_name = "visayas"}});
  const auto& upstreams = view.m_services[0].m_upstreams;
  ASSERT_EQ(upstreams.size(), 3U);
  EXPECT_EQ(upstreams[0].m_tier, Tier::kZone);
  EXPECT_EQ(upstreams[1].m_tier, Tier::kRegion);
  EXPECT_EQ(upstreams[2].m_tier, Tier::kRemote);
  EXPECT_EQ(upstreams[2].m_delay, milliseconds(12));
  EXPECT_TRUE(upstreams[0].m_is_draining);
  EXPECT_FALSE(upstreams[1].m_is_draining);
  EXPECT_TRUE(upstreams[2].m_is_draining);
  EXPECT_EQ(view.m_unknown, 1U);
  EXPECT_EQ(FindService(view, {"other"}), nullptr);
}

// Guards against losing the number of requests in progress when a view is
// replaced, and against counters that are never freed.
TEST(UpstreamView, CountersOutliveViewsUntilTheLastRequestEnds) {
  CounterTable counters;
  std::optional<Selection> selection;
  {
    const UpstreamView view =
        SampleView({SampleMember("a", "luz-a")}, counters);
    selection =
        Selector<RandomPolicy>(1).Select(view.m_services[0], {.m_now = At(1)});
  }
  ASSERT_TRUE(selection);
  counters.Prune(At(1));
  EXPECT_EQ(counters.Size(), 1U);
  EXPECT_EQ(SampleView({SampleMember("a", "luz-a")}, counters)
                .m_services[0]
                .m_upstreams[0]
                .m_counters->Observe()
                .m_in_progress,
            1U);
  selection.reset();
  counters.Prune(At(1));
  EXPECT_EQ(counters.Size(), 0U);
}

// Guards against requests to an instance that stated in a response that it
// leaves: a late announcement, a new view or a view without the instance in
// between must not bring that incarnation back. The next one is another
// process.
TEST(UpstreamView, StatedLeaveHoldsForTheIncarnation) {
  CounterTable counters;
  {
    const UpstreamView view =
        SampleView({SampleMember("a", "luz-a")}, counters);
    InstanceCounters& a = *view.m_services[0].m_upstreams[0].m_counters;
    EXPECT_EQ(a.RecordReport({.m_is_leaving = true}, At(1)),
              ReportChanges{.m_has_begun_to_leave = true});
    EXPECT_EQ(a.RecordReport({.m_is_leaving = true}, At(2)), ReportChanges{});
    EXPECT_EQ(a.RecordReport({.m_in_progress = 1}, At(3)), ReportChanges{});
    EXPECT_FALSE(a.AcceptsRequests(At(3)));
    EXPECT_EQ(Select(view, 1), std::vector<std::string>{"-"});
    EXPECT_EQ(CountSlots(view.m_services[0], At(1)).m_usable, 0U);
  }
  SampleView({}, counters);
  counters.Prune(At(60000));
  membership::Member later = SampleMember("a", "luz-a");
  later.m_announcement.m_sequence = 99;
  EXPECT_EQ(Select(SampleView({later}, counters), 1),
            std::vector<std::string>{"-"});
  membership::Member restarted = SampleMember("a", "luz-a");
  restarted.m_announcement.m_incarnation = 2;
  EXPECT_EQ(Select(SampleView({restarted}, counters), 1),
            std::vector<std::string>{"a"});
  counters.Prune(At(3600000));
  EXPECT_EQ(counters.Size(), 0U);
}

// Guards against requests during the pause for which an instance asked, against
// a response that shortens it, and against an instance that gets no requests
// for good after an absurd pause.
TEST(UpstreamView, PausedInstanceIsUsedAgainAfterItsPause) {
  CounterTable counters;
  const UpstreamView view = SampleView({SampleMember("a", "luz-a")}, counters);
  InstanceCounters& a = *view.m_services[0].m_upstreams[0].m_counters;
  a.RecordReport({.m_pause = milliseconds(700)}, At(0));
  a.RecordReport({.m_pause = milliseconds(100)}, At(1));
  a.RecordReport({.m_pause = milliseconds(-900)}, At(2));
  a.RecordReport({.m_in_progress = 1}, At(3));
  EXPECT_FALSE(a.AcceptsRequests(At(699)));
  EXPECT_EQ(Select(view, 1, At(699)), std::vector<std::string>{"-"});
  EXPECT_EQ(CountSlots(view.m_services[0], At(699)).m_usable, 0U);
  EXPECT_TRUE(a.AcceptsRequests(At(700)));
  EXPECT_EQ(Select(view, 1, At(700)), std::vector<std::string>{"a"});
  a.RecordReport({.m_pause = milliseconds::max()}, At(800));
  EXPECT_FALSE(a.AcceptsRequests(At(800 + 599000)));
  EXPECT_TRUE(a.AcceptsRequests(At(800 + 601000)));
}

// Guards against requests beyond the rate limit that an instance states,
// against slots that admission counts although no request may be sent, and
// against a limit that outlasts its statement.
TEST(UpstreamView, InstanceAtItsRateLimitIsNoCandidate) {
  CounterTable counters;
  const UpstreamView view = SampleView({SampleMember("a", "luz-a")}, counters);
  InstanceCounters& a = *view.m_services[0].m_upstreams[0].m_counters;
  EXPECT_TRUE(
      a.RecordReport({.m_requests_per_1000s = 1000}, At(0)).m_has_other_limit);
  EXPECT_EQ(Select(view, 2, At(1)), (std::vector<std::string>{"a", "-"}));
  EXPECT_EQ(CountSlots(view.m_services[0], At(1)).m_usable, 0U);
  EXPECT_EQ(Select(view, 2, At(1001)), (std::vector<std::string>{"a", "-"}));
  EXPECT_TRUE(a.RecordReport({}, At(1002)).m_has_other_limit);
  EXPECT_EQ(Select(view, 2, At(1003)), (std::vector<std::string>{"a", "a"}));
}

// Guards against new requests to instances that are leaving, starting, draining
// or expired.
TEST(Selector, SkipsLeavingDrainingAndExpiredInstances) {
  CounterTable counters;
  auto members = MembersInThreeZones();
  members[0].m_announcement.m_state = UpstreamState::kLeaving;
  members[1].m_announcement.m_state = UpstreamState::kStarting;
  members[2].m_expires = At(100);
  const UpstreamView view = SampleView(members, counters);
  EXPECT_EQ(Select(view, 1, At(99)), std::vector<std::string>{"c"});
  EXPECT_EQ(Select(view, 1, At(100)), std::vector<std::string>{"-"});
  const UpstreamView draining =
      SampleView({SampleMember("a", "luz-a")}, counters,
                 {{.m_kind = DrainKind::kAvailabilityZone, .m_name = "luz-a"}});
  EXPECT_EQ(Select(draining, 1), std::vector<std::string>{"-"});
}

// Guards against a retry at the instance that has just failed, and against
// requests to a region at its cap.
TEST(Selector, NeverSelectsATriedInstanceOrAFullRegion) {
  CounterTable counters;
  const UpstreamView view = SampleView(MembersInThreeZones(), counters);
  EXPECT_EQ(Select(view, 2, At(1), {{"a"}, {"b"}}),
            (std::vector<std::string>{"c", "c"}));
  const std::vector<RegionId> full_regions{{"luzon"}, {"visayas"}};
  Selector<RandomPolicy> selector(1);
  EXPECT_FALSE(selector.Select(view.m_services[0],
                               {.m_now = At(1), .m_closed = full_regions}));
}

// Guards against using a lease after its end, for example when a suspended
// process resumes.
TEST(Selector, StaysWithinTheGrantAndItsLease) {
  CounterTable counters;
  const Deployment deployment = SampleDeployment();
  const membership::RegistrySnapshot registry{
      .m_members = {SampleMember("a", "luz-a"), SampleMember("b", "luz-a")}};
  const UpstreamView view = BuildView(
      {.m_registry = registry,
       .m_deployment = deployment,
       .m_drains = {},
       .m_zone = {"luz-a"},
       .m_grants =
           {{{{{"tankview"}, {"a"}},
              {.m_safe = 1, .m_leased = 1, .m_leased_until = At(50)}}}}},
      counters);
  EXPECT_EQ(Select(view, 3, At(49)), (std::vector<std::string>{"a", "a", "-"}));
  EXPECT_EQ(Select(view, 2, At(50)), (std::vector<std::string>{"a", "-"}));
  EXPECT_EQ(CountSlots(view.m_services[0], At(49)).m_usable, 2U);
  EXPECT_EQ(CountSlots(view.m_services[0], At(50)).m_usable, 1U);
}

// Guards against a policy that exceeds the slots when several threads select
// while views are replaced.
template <class P>
void CheckSlotLimitAcrossThreads() {
  CounterTable counters;
  const auto members = MembersInThreeZones();
  rcu::Cell<UpstreamView> cell(
      std::make_unique<const UpstreamView>(SampleView(members, counters)));
  std::atomic<bool> exceeded_slots = false;
  std::atomic<int> running_threads = 3;
  std::vector<std::thread> threads;
  threads.reserve(3);
  for (int i = 0; i < 3; ++i) {
    threads.emplace_back([&, i] {
      const rcu::ThreadRegistration registration;
      Selector<P> selector(static_cast<std::uint64_t>(i));
      std::vector<Selection> held_selections;
      for (int round = 0; round < 500; ++round) {
        {
          const rcu::ReadSection section;
          const UpstreamView& view = cell.Read(section);
          if (auto selection = selector.Select(
                  view.m_services[0],
                  {.m_now = At(1), .m_weights = view.m_weights}))
            held_selections.push_back(std::move(*selection));
          for (const Upstream& upstream : view.m_services[0].m_upstreams)
            if (upstream.m_counters->Observe().m_in_progress > 3)
              exceeded_slots = true;
        }
        if (held_selections.size() > 4) {
          held_selections.front().m_slot.Counters()->Record(
              Outcome::kSuccess, milliseconds(1), At(1));
          held_selections.clear();
        }
      }
      --running_threads;
    });
  }
  while (running_threads > 0)
    cell.Publish(
        std::make_unique<const UpstreamView>(SampleView(members, counters)));
  for (std::thread& thread : threads)
    thread.join();
  EXPECT_FALSE(exceeded_slots);
  EXPECT_EQ(CountSlots(SampleView(members, counters).m_services[0], At(1)),
            (SlotTotals{.m_usable = 9, .m_in_use = 0}));
}

TEST(Selector, NoPolicyExceedsTheSlots) {
  CheckSlotLimitAcrossThreads<RandomPolicy>();
  CheckSlotLimitAcrossThreads<RoundRobinPolicy>();
  CheckSlotLimitAcrossThreads<LeastConnectionsPolicy>();
  CheckSlotLimitAcrossThreads<TwoChoicesPolicy>();
  CheckSlotLimitAcrossThreads<HeadroomLatencyPolicy>();
}

TEST(Policies, EachSelectsByItsRule) {
  CounterTable counters;
  const UpstreamView view = SampleView(MembersInThreeZones(), counters);
  EXPECT_EQ(Select<RoundRobinPolicy>(view, 4),
            (std::vector<std::string>{"a", "b", "c", "a"}));
  const auto least_connections = Select<LeastConnectionsPolicy>(view, 3);
  EXPECT_EQ(
      std::set<std::string>(least_connections.begin(), least_connections.end())
          .size(),
      3U);
  const auto busy_counters = view.m_services[0].m_upstreams[0].m_counters;
  for (int i = 0; i < 2; ++i)
    ASSERT_TRUE(busy_counters->TryAcquire(3));
  const UpstreamView two_zones = SampleView(
      {SampleMember("a", "luz-a"), SampleMember("b", "luz-b")}, counters);
  EXPECT_EQ(Select<TwoChoicesPolicy>(two_zones, 1),
            std::vector<std::string>{"b"});
}

// Guards against requests that leave the zone while it has headroom, and
// against a full zone while the region has headroom.
TEST(HeadroomLatencyPolicy, PrefersTheZoneThenTheRegion) {
  CounterTable counters;
  UpstreamView view = SampleView(MembersInThreeZones(), counters);
  view.m_weights = {.m_headroom = 3, .m_latency = 1};
  const auto names = Select(view, 5);
  EXPECT_EQ(names[0], "a");
  EXPECT_NE(std::find(names.begin(), names.begin() + 4, "b"),
            names.begin() + 4);
  EXPECT_EQ(Select(view, 9).back(), "c");
}

// Guards against weights without effect: the instance in the zone is two thirds
// full, the instance in the other region is idle.
TEST(HeadroomLatencyPolicy, WeightsDecideWhenToLeaveTheZone) {
  CounterTable counters;
  UpstreamView view = SampleView(
      {SampleMember("a", "luz-a"), SampleMember("c", "vis-a")}, counters);
  const auto local_counters = view.m_services[0].m_upstreams[0].m_counters;
  ASSERT_TRUE(local_counters->TryAcquire(3));
  ASSERT_TRUE(local_counters->TryAcquire(3));
  view.m_weights = {.m_headroom = 9, .m_latency = 1};
  EXPECT_EQ(Select(view, 1), std::vector<std::string>{"c"});
  view.m_weights = {.m_headroom = 1, .m_latency = 9};
  EXPECT_EQ(Select(view, 1), std::vector<std::string>{"a"});
}

// Guards against a high latency weight that keeps requests in a zone which
// refuses them.
TEST(HeadroomLatencyPolicy, LeavesAFullZoneRegardlessOfWeights) {
  CounterTable counters;
  UpstreamView view = SampleView(
      {SampleMember("a", "luz-a"), SampleMember("c", "vis-a")}, counters);
  view.m_weights = {.m_headroom = 1, .m_latency = 9};
  view.m_services[0].m_upstreams[0].m_counters->Record(Outcome::kShed,
                                                       milliseconds(1), At(0));
  EXPECT_EQ(Select(view, 1), std::vector<std::string>{"c"});
}

LoadInputs InputsWithReport(std::uint32_t in_progress, int age_ms) {
  return {.m_slots = 10,
          .m_reported_in_progress = in_progress,
          .m_report_age = milliseconds(age_ms)};
}

// Guards against treating a missing or old report as no load.
TEST(LoadEstimate, MissingAndStaleReportsDecayTowardsFull) {
  const std::uint32_t fresh_report =
      EstimateUtilization(InputsWithReport(0, 500));
  const std::uint32_t aged_report =
      EstimateUtilization(InputsWithReport(0, 3000));
  const std::uint32_t stale_report =
      EstimateUtilization(InputsWithReport(0, 60000));
  EXPECT_EQ(fresh_report, 0U);
  EXPECT_GT(aged_report, fresh_report);
  EXPECT_GT(stale_report, aged_report);
  EXPECT_EQ(EstimateUtilization({.m_slots = 10}), stale_report);
  EXPECT_EQ(EstimateUtilization(InputsWithReport(10, 500)), stale_report);
}

// Guards against false reports: requests and refusals observed by this host
// take precedence.
TEST(LoadEstimate, OwnObservationsOverrideReports) {
  LoadInputs idle = InputsWithReport(0, 0);
  idle.m_own_in_progress = 9;
  EXPECT_EQ(EstimateUtilization(idle), 900U);
  LoadInputs full = InputsWithReport(10, 0);
  EXPECT_LT(EstimateUtilization(full), 500U);
  LoadInputs shedding = InputsWithReport(0, 0);
  shedding.m_shed_permille = 800;
  EXPECT_EQ(EstimateUtilization(shedding), 800U);
  shedding.m_outcome_age = seconds(10);
  EXPECT_EQ(EstimateUtilization(shedding), 0U);
}

TEST(LoadEstimate, IsMonotonicAndBounded) {
  const bool holds = CheckWithSeed(13, [] {
    LoadInputs inputs = InputsWithReport(
        *rc::gen::inRange<std::uint32_t>(0, 20), *rc::gen::inRange(-100, 9000));
    inputs.m_own_in_progress = *rc::gen::inRange<std::uint32_t>(0, 12);
    inputs.m_shed_permille = *rc::gen::inRange<std::uint32_t>(0, 1000);
    const std::uint32_t utilization = EstimateUtilization(inputs);
    RC_ASSERT(utilization <= 1000U);
    LoadInputs increased = inputs;
    increased.m_own_in_progress += 1;
    increased.m_report_age += milliseconds(100);
    increased.m_reported_in_progress = *inputs.m_reported_in_progress + 1;
    RC_ASSERT(EstimateUtilization(increased) >= utilization);
  });
  EXPECT_TRUE(holds);
}

// Guards against a cold instance that gets its full share at once, and against
// throttling a service whose instances all start together.
TEST(SlowStart, RampIsRelativeToTheWarmestInstance) {
  CounterTable counters;
  auto members =
      std::vector{SampleMember("a", "luz-a"), SampleMember("b", "luz-a")};
  members[0].m_serving_since = At(0);
  std::vector<Candidate> candidates;
  const auto collect = [&] {
    const UpstreamView view = SampleView(members, counters);
    CollectCandidates(view.m_services[0], {.m_now = At(1000)}, candidates);
  };
  collect();
  ASSERT_EQ(candidates.size(), 2U);
  EXPECT_EQ(candidates[0].m_limit, 1U);
  EXPECT_EQ(candidates[1].m_limit, 3U);
  EXPECT_EQ(Select(SampleView(members, counters), 1, At(1000)),
            std::vector<std::string>{"b"});
  members[1].m_serving_since = At(0);
  collect();
  EXPECT_EQ(candidates[0].m_limit, 3U);
}

}  // namespace
}  // namespace jujube::steering
