#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "bench/steering_model.h"
#include "core/hash.h"
#include "steering/cost_policy.h"
#include "steering/selector.h"
#include "unit/steering_sample.h"

namespace jujube::steering {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kObject = 77;
constexpr int kInstances = 12;

// A view that selects by cost, of instances of three slots in one zone.
UpstreamView CostView(CounterTable& counters, const Deployment& deployment) {
  membership::RegistrySnapshot registry{.m_version = 1};
  for (int i = 0; i < kInstances; ++i)
    registry.m_members.push_back(
        SampleMember("t-" + std::to_string(10 + i), "luz-a"));
  const std::vector<Drain> drains;
  return BuildView(
      {.m_registry = registry,
       .m_deployment = deployment,
       .m_drains = drains,
       .m_zone = {"luz-a"},
       .m_queue_factor = AffinityPolicy::kQueueFactor,
       .m_entry_hosts_by_zone = std::map<AvailabilityZoneId, std::uint32_t>(),
       .m_grants = {}},
      counters);
}

Deployment DeploymentWithoutSlowStart() {
  Deployment deployment = SampleDeployment();
  deployment.m_services[0].m_slow_start = milliseconds(0);
  return deployment;
}

class CostPolicyTest : public testing::Test {
 protected:
  std::optional<Selection> Select(std::uint64_t object = kObject, int ms = 10) {
    return m_selector.Select(
        Service(),
        {.m_now = At(ms), .m_object = object, .m_remaining = seconds(6)});
  }
  const ServiceUpstreams& Service() const { return m_view.m_services[0]; }

  InstanceCounters& CountersOf(const std::string& name) {
    const auto& upstreams = Service().m_upstreams;
    return *std::find_if(
                upstreams.begin(), upstreams.end(),
                [&](const Upstream& upstream) {
                  return upstream.m_member.m_announcement.m_instance.m_value ==
                         name;
                })
                ->m_counters;
  }

  // Makes an instance state its load.
  void Report(const std::string& name,
              std::uint32_t in_progress,
              std::uint32_t work_time_permille = 1000,
              int ms = 0) {
    CountersOf(name).RecordReport({.m_in_progress = in_progress,
                                   .m_slots = 3,
                                   .m_work_time_permille = work_time_permille},
                                  At(ms));
  }

  // Instances that requests for the object go to, with the number of them.
  std::map<std::string, int> Spread(int requests, int ms = 10) {
    std::map<std::string, int> count_by_instance;
    for (int i = 0; i < requests; ++i) {
      const auto selection = Select(kObject, ms);
      if (selection)
        ++count_by_instance[selection->m_instance.m_value];
    }
    return count_by_instance;
  }

  CounterTable m_counters;
  UpstreamView m_view = CostView(m_counters, DeploymentWithoutSlowStart());
  Selector<CostPolicy> m_selector{1};
};

// Load pattern: objects that few instances remember. Guards against requests
// that leave the instance that knows their object without need.
TEST_F(CostPolicyTest, StaysAtThePreferredInstance) {
  Selector<AffinityPolicy> affinity(1);
  for (std::uint64_t object = 1; object < 60; ++object) {
    const auto preferred = affinity.Select(
        Service(), {.m_now = At(10), .m_object = Hash64("o") + object});
    const auto selected = Select(Hash64("o") + object);
    ASSERT_TRUE(preferred && selected);
    EXPECT_EQ(selected->m_instance, preferred->m_instance);
  }
}

// Guards against a policy that waits in a long queue for an instance that
// knows the object, or leaves it for a short one.
TEST_F(CostPolicyTest, LeavesThePreferredInstanceForALongQueueOnly) {
  const std::string preferred = Select()->m_instance.m_value;
  for (int i = 0; i < 100; ++i) {
    Service().m_work->Record({.m_acquaintance = Acquaintance::kPreferred,
                              .m_elapsed = milliseconds(300)},
                             At(0));
    Service().m_work->Record({.m_acquaintance = Acquaintance::kSecond,
                              .m_elapsed = milliseconds(800)},
                             At(0));
  }
  Report(preferred, 3);
  EXPECT_EQ(Spread(40), (std::map<std::string, int>{{preferred, 40}}));
  Report(preferred, 8);
  EXPECT_EQ(Spread(40).count(preferred), 0U);
}

// Load pattern: machines that are slow for 600 ms. Guards against requests that
// avoid the instance for longer than the moment, or not at all.
TEST_F(CostPolicyTest, AvoidsASlowMachineForAMoment) {
  const std::string preferred = Select()->m_instance.m_value;
  Report(preferred, 0, 2500);
  EXPECT_EQ(Spread(20, 50).count(preferred), 0U);
  EXPECT_EQ(Spread(20, 700), (std::map<std::string, int>{{preferred, 20}}));
}

// Load pattern: all hosts choose at once on the same stale view, in which the
// preferred instance is full. Guards against a herd on one other instance.
TEST_F(CostPolicyTest, HostsWithTheSameViewSpread) {
  const std::string preferred = Select()->m_instance.m_value;
  Report(preferred, 12);
  for (const Upstream& upstream : Service().m_upstreams) {
    const std::string& name =
        upstream.m_member.m_announcement.m_instance.m_value;
    if (name != preferred)
      Report(name, 5);
  }
  std::map<std::string, int> count_by_instance;
  constexpr int kHosts = 60;
  for (std::uint64_t host = 0; host < kHosts; ++host) {
    Selector<CostPolicy> selector(host);
    const auto selection =
        selector.Select(Service(), {.m_now = At(10), .m_object = kObject});
    ASSERT_TRUE(selection);
    ++count_by_instance[selection->m_instance.m_value];
  }
  EXPECT_GE(count_by_instance.size(), 2U);
  for (const auto& [name, count] : count_by_instance)
    EXPECT_LT(count, kHosts * 3 / 4) << name;
}

// Guards against a flood of an instance that lies about its load: the requests
// of this host count whatever it states, and its slots end the choice.
TEST_F(CostPolicyTest, AnInstanceThatStatesToBeIdleIsNotFlooded) {
  std::vector<Selection> selections;
  while (auto selection = Select()) {
    CountersOf(selection->m_instance.m_value)
        .RecordReport({.m_in_progress = 0, .m_slots = 60000}, At(10));
    selections.push_back(*std::move(selection));
    ASSERT_LE(selections.size(), 200U);
  }
  std::map<std::string, int> count_by_instance;
  for (const Selection& selection : selections)
    ++count_by_instance[selection.m_instance.m_value];
  for (const auto& [name, count] : count_by_instance)
    EXPECT_LE(count, 6) << name;
}

// Guards against an instance that fails fast and therefore keeps its objects.
TEST_F(CostPolicyTest, AvoidsAnInstanceThatFailsFast) {
  const std::string preferred = Select()->m_instance.m_value;
  for (int i = 0; i < 4; ++i) {
    CountersOf(preferred).Record(Outcome::kFailure, milliseconds(1), At(5));
  }
  EXPECT_EQ(Spread(20).count(preferred), 0U);
}

// Guards against an instance back under the same name that counts as one that
// knows the objects of its last life.
TEST_F(CostPolicyTest, ANewIncarnationIsAStranger) {
  const auto selection = Select();
  const std::uint64_t placement = selection->m_forecast->m_placement;
  Service().m_work->Placements().Remember(placement, At(10));
  EXPECT_EQ(Select()->m_forecast->m_acquaintance, Acquaintance::kRemembered);
  membership::RegistrySnapshot registry{.m_version = 2};
  for (const Upstream& upstream : Service().m_upstreams) {
    registry.m_members.push_back(upstream.m_member);
    ++registry.m_members.back().m_announcement.m_incarnation;
  }
  const std::vector<Drain> drains;
  const Deployment deployment = DeploymentWithoutSlowStart();
  m_view = BuildView(
      {.m_registry = registry,
       .m_deployment = deployment,
       .m_drains = drains,
       .m_zone = {"luz-a"},
       .m_entry_hosts_by_zone = std::map<AvailabilityZoneId, std::uint32_t>(),
       .m_grants = {}},
      m_counters);
  EXPECT_EQ(Select()->m_forecast->m_acquaintance, Acquaintance::kPreferred);
}

// Guards against a request that is sent although its response cannot come in
// time, and against a route that is locked out by a wrong estimate.
TEST_F(CostPolicyTest, RejectsWhatCannotBeInTimeButTriesAPart) {
  for (int i = 0; i < 40; ++i)
    Service().m_work->Record({.m_elapsed = seconds(60)}, At(0));
  int tried = 0;
  constexpr int kRequests = 640;
  for (int i = 0; i < kRequests; ++i) {
    if (Select())
      ++tried;
    else
      EXPECT_TRUE(m_selector.IsExpectedLate());
  }
  EXPECT_GT(tried, kRequests / 32);
  EXPECT_LT(tried, kRequests / 8);
}

// Guards against a request without an object that all hosts send to the first
// instance, and against a forecast for it.
TEST_F(CostPolicyTest, SelectsByUseWithoutAnObject) {
  std::set<std::string> used;
  std::vector<Selection> selections;
  for (int i = 0; i < kInstances; ++i) {
    selections.push_back(*Select(0));
    used.insert(selections.back().m_instance.m_value);
    EXPECT_FALSE(selections.back().m_forecast);
  }
  EXPECT_EQ(used.size(), static_cast<std::size_t>(kInstances));
}

// Figures of the model of bench/steering_bench.cc for one load pattern.
template <SelectionPolicy P>
bench::ModelResult RunModel(const bench::ModelWork& work,
                            double offered_load,
                            bool plans_regions) {
  bench::ModelParameters parameters{.m_deployment = bench::UnevenDeployment(),
                                    .m_work = work,
                                    .m_entry_hosts = 36,
                                    .m_offered_load = offered_load};
  parameters.m_work.m_plans_regions = plans_regions;
  return bench::SteeringModel<P>(parameters).Run();
}

// Load pattern: alike requests of unlike cost, a heavy tail, machines that are
// slow for moments, more work than slots unless most requests meet an instance
// that knows their object. Guards against a choice that does worse than the
// order of the objects alone.
TEST(CostPolicyModel, ServesMoreInTimeUnderHeavyLoad) {
  const auto by_order =
      RunModel<AffinityPolicy>(bench::UnevenWork(), 1.9, false);
  const auto by_cost = RunModel<CostPolicy>(bench::UnevenWork(), 1.9, true);
  EXPECT_GT(by_cost.m_in_time, by_order.m_in_time + 0.1);
  EXPECT_GT(by_cost.m_worth, by_order.m_worth);
  EXPECT_LT(by_cost.m_refused, 0.01);
}

// Load pattern: a wave that starts in a region without room.
TEST(CostPolicyModel, ServesAWaveInARegionWithoutRoom) {
  bench::ModelWork wave = bench::UnevenWork();
  wave.m_wave_start = seconds(30);
  wave.m_wave_end = seconds(50);
  wave.m_wave_factor = 3;
  const auto by_order = RunModel<AffinityPolicy>(wave, 0.8, false);
  const auto by_cost = RunModel<CostPolicy>(wave, 0.8, true);
  EXPECT_GT(by_cost.m_in_time, by_order.m_in_time);
  EXPECT_LT(by_cost.m_refused, 0.01);
}

}  // namespace
}  // namespace jujube::steering
