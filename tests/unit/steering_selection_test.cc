#include <atomic>
#include <set>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "rcu/cell.h"
#include "rcu/thread.h"
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

std::vector<membership::Member> ThreeZones() {
  return {SampleMember("a", "luz-a"), SampleMember("b", "luz-b"),
          SampleMember("c", "vis-a")};
}

// Instance names that `count` selections give while all of them are held.
template <class P = HeadroomLatencyPolicy>
std::vector<std::string> Select(const UpstreamView& view,
                                int count,
                                MonoTime now = At(1),
                                const std::vector<InstanceId>& tried = {}) {
  Selector<P> selector(7);
  std::vector<Selection> held;
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) {
    auto selection = selector.Select(
        view.m_services[0],
        {.m_now = now, .m_weights = view.m_weights, .m_tried = tried});
    names.push_back(selection ? selection->m_instance.m_value : "-");
    if (selection)
      held.push_back(std::move(*selection));
  }
  return names;
}

TEST(UpstreamView, KnowsDistanceDrainsAndUnknownNames) {
  CounterTable counters;
  auto members = ThreeZones();
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

// Guards against counts of requests in progress that are lost with a view, and
// against counters that are kept for ever.
TEST(UpstreamView, CountersOutliveViewsUntilTheLastRequestEnds) {
  CounterTable counters;
  std::optional<Selection> held;
  {
    const UpstreamView view =
        SampleView({SampleMember("a", "luz-a")}, counters);
    held =
        Selector<RandomPolicy>(1).Select(view.m_services[0], {.m_now = At(1)});
  }
  ASSERT_TRUE(held);
  counters.Prune();
  EXPECT_EQ(counters.Size(), 1U);
  EXPECT_EQ(SampleView({SampleMember("a", "luz-a")}, counters)
                .m_services[0]
                .m_upstreams[0]
                .m_counters->Observe()
                .m_in_progress,
            1U);
  held.reset();
  counters.Prune();
  EXPECT_EQ(counters.Size(), 0U);
}

// Guards against new work for instances that leave, drain or are gone.
TEST(Selector, SkipsLeavingDrainingAndExpiredInstances) {
  CounterTable counters;
  auto members = ThreeZones();
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

// Guards against a second attempt at the instance that has just failed.
TEST(Selector, NeverTakesATriedInstanceOrAClosedRegion) {
  CounterTable counters;
  const UpstreamView view = SampleView(ThreeZones(), counters);
  EXPECT_EQ(Select(view, 2, At(1), {{"a"}, {"b"}}),
            (std::vector<std::string>{"c", "c"}));
  const std::vector<RegionId> closed{{"luzon"}, {"visayas"}};
  Selector<RandomPolicy> selector(1);
  EXPECT_FALSE(selector.Select(view.m_services[0],
                               {.m_now = At(1), .m_closed = closed}));
}

// Guards against spending a lease after its end, as a resumed process would.
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

// Guards against a policy that exceeds the slots, under several threads that
// also see views being replaced.
template <class P>
void CheckSlotsUnderThreads() {
  CounterTable counters;
  const auto members = ThreeZones();
  rcu::Cell<UpstreamView> cell(
      std::make_unique<const UpstreamView>(SampleView(members, counters)));
  std::atomic<bool> is_over = false;
  std::atomic<int> running = 3;
  std::vector<std::thread> threads;
  threads.reserve(3);
  for (int i = 0; i < 3; ++i) {
    threads.emplace_back([&, i] {
      const rcu::ThreadRegistration registration;
      Selector<P> selector(static_cast<std::uint64_t>(i));
      std::vector<Selection> held;
      for (int round = 0; round < 500; ++round) {
        {
          const rcu::ReadSection section;
          const UpstreamView& view = cell.Read(section);
          if (auto selection = selector.Select(
                  view.m_services[0],
                  {.m_now = At(1), .m_weights = view.m_weights}))
            held.push_back(std::move(*selection));
          for (const Upstream& upstream : view.m_services[0].m_upstreams)
            if (upstream.m_counters->Observe().m_in_progress > 3)
              is_over = true;
        }
        if (held.size() > 4) {
          held.front().m_slot.Counters()->Record(Outcome::kSuccess,
                                                 milliseconds(1), At(1));
          held.clear();
        }
      }
      --running;
    });
  }
  while (running > 0)
    cell.Publish(
        std::make_unique<const UpstreamView>(SampleView(members, counters)));
  for (std::thread& thread : threads)
    thread.join();
  EXPECT_FALSE(is_over);
  EXPECT_EQ(CountSlots(SampleView(members, counters).m_services[0], At(1)),
            (SlotTotals{.m_usable = 9, .m_in_use = 0}));
}

TEST(Selector, NoPolicyExceedsTheSlots) {
  CheckSlotsUnderThreads<RandomPolicy>();
  CheckSlotsUnderThreads<RoundRobinPolicy>();
  CheckSlotsUnderThreads<LeastConnectionsPolicy>();
  CheckSlotsUnderThreads<TwoChoicesPolicy>();
  CheckSlotsUnderThreads<HeadroomLatencyPolicy>();
}

TEST(Policies, TakeTheirOrder) {
  CounterTable counters;
  const UpstreamView view = SampleView(ThreeZones(), counters);
  EXPECT_EQ(Select<RoundRobinPolicy>(view, 4),
            (std::vector<std::string>{"a", "b", "c", "a"}));
  const auto least = Select<LeastConnectionsPolicy>(view, 3);
  EXPECT_EQ(std::set<std::string>(least.begin(), least.end()).size(), 3U);
  const auto busy = view.m_services[0].m_upstreams[0].m_counters;
  for (int i = 0; i < 2; ++i)
    ASSERT_TRUE(busy->TryAcquire(3));
  const UpstreamView two = SampleView(
      {SampleMember("a", "luz-a"), SampleMember("b", "luz-b")}, counters);
  EXPECT_EQ(Select<TwoChoicesPolicy>(two, 1), std::vector<std::string>{"b"});
}

// Guards against requests that cross a link while the zone has headroom, and
// against a full zone while the region has some.
TEST(HeadroomLatencyPolicy, PrefersTheZoneThenTheRegion) {
  CounterTable counters;
  UpstreamView view = SampleView(ThreeZones(), counters);
  view.m_weights = {.m_headroom = 3, .m_latency = 1};
  const auto names = Select(view, 5);
  EXPECT_EQ(names[0], "a");
  EXPECT_NE(std::find(names.begin(), names.begin() + 4, "b"),
            names.begin() + 4);
  EXPECT_EQ(Select(view, 9).back(), "c");
}

// Guards against weights without effect: the host in the zone is half full and
// slow, another zone is idle.
TEST(HeadroomLatencyPolicy, WeightsDecideWhenToLeaveTheZone) {
  CounterTable counters;
  UpstreamView view = SampleView(
      {SampleMember("a", "luz-a"), SampleMember("c", "vis-a")}, counters);
  const auto local = view.m_services[0].m_upstreams[0].m_counters;
  ASSERT_TRUE(local->TryAcquire(3));
  ASSERT_TRUE(local->TryAcquire(3));
  view.m_weights = {.m_headroom = 9, .m_latency = 1};
  EXPECT_EQ(Select(view, 1), std::vector<std::string>{"c"});
  view.m_weights = {.m_headroom = 1, .m_latency = 9};
  EXPECT_EQ(Select(view, 1), std::vector<std::string>{"a"});
}

// Guards against a high weight of latency that holds requests in a zone which
// refuses them.
TEST(HeadroomLatencyPolicy, FullZoneIsLeftWhateverTheWeights) {
  CounterTable counters;
  UpstreamView view = SampleView(
      {SampleMember("a", "luz-a"), SampleMember("c", "vis-a")}, counters);
  view.m_weights = {.m_headroom = 1, .m_latency = 9};
  view.m_services[0].m_upstreams[0].m_counters->Record(Outcome::kShed,
                                                       milliseconds(1), At(0));
  EXPECT_EQ(Select(view, 1), std::vector<std::string>{"c"});
}

LoadFacts Reported(std::uint32_t in_progress, int age_ms) {
  return {.m_slots = 10,
          .m_reported = in_progress,
          .m_report_age = milliseconds(age_ms)};
}

// Guards against a missing or old report being read as no load.
TEST(LoadEstimate, MissingAndStaleReportsDecayTowardsFull) {
  const std::uint32_t fresh = EstimateUse(Reported(0, 500));
  const std::uint32_t old = EstimateUse(Reported(0, 3000));
  const std::uint32_t stale = EstimateUse(Reported(0, 60000));
  EXPECT_EQ(fresh, 0U);
  EXPECT_GT(old, fresh);
  EXPECT_GT(stale, old);
  EXPECT_EQ(EstimateUse({.m_slots = 10}), stale);
  EXPECT_EQ(EstimateUse(Reported(10, 500)), stale);
}

// Guards against a lying report: own requests and refusals outvote it.
TEST(LoadEstimate, OwnObservationsOutvoteReports) {
  LoadFacts idle = Reported(0, 0);
  idle.m_own_in_progress = 9;
  EXPECT_EQ(EstimateUse(idle), 900U);
  LoadFacts full = Reported(10, 0);
  EXPECT_LT(EstimateUse(full), 500U);
  LoadFacts shedding = Reported(0, 0);
  shedding.m_shed_permille = 800;
  EXPECT_EQ(EstimateUse(shedding), 800U);
  shedding.m_outcome_age = seconds(10);
  EXPECT_EQ(EstimateUse(shedding), 0U);
}

TEST(LoadEstimate, GrowsWithEachFactAndStaysWithinBounds) {
  const bool holds = CheckWithSeed(13, [] {
    LoadFacts facts = Reported(*rc::gen::inRange<std::uint32_t>(0, 20),
                               *rc::gen::inRange(-100, 9000));
    facts.m_own_in_progress = *rc::gen::inRange<std::uint32_t>(0, 12);
    facts.m_shed_permille = *rc::gen::inRange<std::uint32_t>(0, 1000);
    const std::uint32_t use = EstimateUse(facts);
    RC_ASSERT(use <= 1000U);
    LoadFacts more = facts;
    more.m_own_in_progress += 1;
    more.m_report_age += milliseconds(100);
    more.m_reported = *facts.m_reported + 1;
    RC_ASSERT(EstimateUse(more) >= use);
  });
  EXPECT_TRUE(holds);
}

// Guards against a cold instance that gets its full part at once, and against
// holding back a service whose instances all start together.
TEST(SlowStart, RampsAgainstTheWarmestInstance) {
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
