#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/hash.h"
#include "steering/admission.h"
#include "steering/affinity_policy.h"
#include "steering/cold_request_interval.h"
#include "steering/least_connections_policy.h"
#include "steering/route_table.h"
#include "steering/selector.h"
#include "unit/steering_sample.h"

namespace jujube::steering {
namespace {

using std::chrono::milliseconds;

std::vector<membership::Member> Members(int count) {
  std::vector<membership::Member> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    members.push_back(SampleMember("t-" + std::to_string(i), "luz-a"));
  return members;
}

std::map<int, std::string> Placement(const UpstreamView& view, int objects) {
  Selector<AffinityPolicy> selector(1);
  std::map<int, std::string> placed;
  for (int object = 0; object < objects; ++object) {
    const auto selection = selector.Select(
        view.m_services[0],
        {.m_now = At(10), .m_object = Hash64(std::to_string(object)) | 1U});
    if (selection)
      placed[object] = selection->m_instance.m_value;
  }
  return placed;
}

// Guards against entry hosts that send the same object to different instances,
// and against a change of the set that moves objects of other instances.
TEST(AffinityPolicy, OnlyTheObjectsOfALostInstanceMove) {
  constexpr int kObjects = 200;
  CounterTable here;
  CounterTable there;
  const UpstreamView all = SampleView(Members(8), here);
  const auto before = Placement(all, kObjects);
  EXPECT_EQ(before, Placement(SampleView(Members(8), there), kObjects));
  const auto after = Placement(SampleView(Members(7), there), kObjects);
  std::set<std::string> used;
  for (const auto& [object, instance] : before) {
    used.insert(instance);
    if (instance != "t-7")
      EXPECT_EQ(after.at(object), instance) << object;
  }
  EXPECT_EQ(used.size(), 8U);
}

// Guards against a hot object that fills instance after instance.
TEST(AffinityPolicy, RefusesOnceItsFirstInstancesAreFull) {
  CounterTable counters;
  Deployment deployment = SampleDeployment();
  deployment.m_services[0].m_slow_start = milliseconds(0);
  const membership::RegistrySnapshot registry{.m_version = 1,
                                              .m_members = Members(8)};
  const std::vector<Drain> drains;
  const UpstreamView view =
      BuildView({.m_registry = registry,
                 .m_deployment = deployment,
                 .m_drains = drains,
                 .m_zone = {"luz-a"},
                 .m_queue_factor = AffinityPolicy::kQueueFactor,
                 .m_grants = {}},
                counters);
  Selector<AffinityPolicy> selector(1);
  std::vector<Selection> held;
  std::set<std::string> used;
  while (true) {
    auto selection =
        selector.Select(view.m_services[0], {.m_now = At(10), .m_object = 77});
    if (!selection)
      break;
    used.insert(selection->m_instance.m_value);
    held.push_back(*std::move(selection));
  }
  EXPECT_EQ(used.size(), AffinityPolicy::kMaxRank);
  EXPECT_EQ(held.size(),
            AffinityPolicy::kMaxRank * AffinityPolicy::kQueueFactor * 3);
}

// Guards against requests for a restricted route leaving its regions.
TEST(AffinityPolicy, StaysInTheAllowedRegions) {
  CounterTable counters;
  const UpstreamView view = SampleView(
      {SampleMember("a", "luz-a"), SampleMember("b", "vis-a")}, counters);
  Selector<AffinityPolicy> selector(1);
  const std::vector<RegionId> allowed = {{"visayas"}};
  for (std::uint64_t object = 1; object < 50; ++object) {
    const auto selection = selector.Select(
        view.m_services[0],
        {.m_now = At(10), .m_allowed = allowed, .m_object = object});
    ASSERT_TRUE(selection);
    EXPECT_EQ(selection->m_instance.m_value, "b");
  }
}

// Load pattern: work that is three times as fast where the object is known, and
// offered work that exceeds the slots without that gain. One entry host, time
// in steps of 10 ms.
struct LoadResult {
  int m_in_time = 0;
  int m_asked = 0;
};

template <SelectionPolicy P>
LoadResult PlayOverload(P policy) {
  constexpr int kInstances = 12;
  constexpr std::size_t kSlots = 3;
  constexpr std::size_t kKept = 25;
  constexpr int kObjects = 144;
  constexpr int kStep = 10;          // ms
  constexpr int kUnknownWork = 880;  // ms
  constexpr int kKnownWork = 264;    // ms
  constexpr int kTarget = 600;       // ms
  struct Job {
    int m_object = 0;
    int m_arrived = 0;
  };
  struct Instance {
    std::deque<Job> m_waiting;
    std::vector<std::pair<int, Job>> m_running;  // end of the work
    std::deque<int> m_known;
  };
  std::vector<Instance> instances(kInstances);
  FastRandom random(5);
  LoadResult result;
  for (int now = 0; now < 30000; now += kStep) {
    for (Instance& instance : instances) {
      std::erase_if(instance.m_running, [&](const auto& line) {
        if (line.first > now)
          return false;
        result.m_in_time += now - line.second.m_arrived <= kTarget ? 1 : 0;
        return true;
      });
      while (!instance.m_waiting.empty() &&
             instance.m_running.size() < kSlots) {
        const Job job = instance.m_waiting.front();
        instance.m_waiting.pop_front();
        auto& known = instance.m_known;
        const auto at = std::find(known.begin(), known.end(), job.m_object);
        const bool is_known = at != known.end();
        if (is_known)
          known.erase(at);
        known.push_back(job.m_object);
        if (known.size() > kKept)
          known.pop_front();
        instance.m_running.emplace_back(
            now + (is_known ? kKnownWork : kUnknownWork), job);
      }
    }
    // 60 requests a second, 53 slots of unknown work for 36 slots.
    if (random.Below(1000) >= 600)
      continue;
    ++result.m_asked;
    const Job job{.m_object = static_cast<int>(random.Below(kObjects)),
                  .m_arrived = now};
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < instances.size(); ++i) {
      const std::uint64_t mixed = MixHash(Hash64(std::to_string(job.m_object)),
                                          Hash64("i" + std::to_string(i)));
      const auto load = static_cast<std::uint32_t>(
          instances[i].m_waiting.size() + instances[i].m_running.size());
      candidates.push_back({.m_index = i,
                            .m_in_progress = load,
                            .m_limit = 12,
                            .m_slots = kSlots,
                            .m_affinity = static_cast<double>(mixed | 1U),
                            .m_use_permille = load * 1000 / 12});
    }
    const std::size_t chosen = policy.Pick(candidates, {}, random);
    if (chosen < candidates.size())
      instances[chosen].m_waiting.push_back(job);
  }
  return result;
}

// Guards against the collapse in which requests leave full instances, find
// their object unknown and keep all slots busy with slow work.
TEST(AffinityPolicy, KeepsWorkKnownUnderOverload) {
  const LoadResult affinity = PlayOverload(AffinityPolicy());
  const LoadResult spread = PlayOverload(LeastConnectionsPolicy());
  EXPECT_GT(affinity.m_in_time * 10, affinity.m_asked * 8);
  EXPECT_GT(affinity.m_in_time, spread.m_in_time * 2);
}

// Guards against entry hosts that together break down a cold instance: no span
// of a second may hold more requests than the rate and one for each host with
// an equal part.
TEST(ColdShare, HostsTogetherKeepTheRate) {
  for (const std::size_t count : {1U, 7U, 27U, 34U, 200U}) {
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < count; ++i)
      hosts.push_back({"entry-" + std::to_string(i)});
    for (const std::uint32_t rate : {2900U, 16000U, 500U}) {
      std::size_t in_a_second = 0;
      for (const HostId& host : hosts) {
        const auto spacing = ColdSpacing(rate, Hash64("instance"), host, hosts);
        if (spacing)
          in_a_second += static_cast<std::size_t>(
              1 + (std::chrono::seconds(1) - std::chrono::nanoseconds(1)) /
                      *spacing);
      }
      const std::size_t whole = std::max<std::size_t>(1, rate / 1000);
      EXPECT_GE(in_a_second, 1U) << count << " " << rate;
      EXPECT_LE(in_a_second, whole + (whole > count ? count : 1))
          << count << " " << rate;
    }
  }
  EXPECT_EQ(ColdSpacing(0, 1, {"a"}, {}), std::chrono::nanoseconds(0));
}

// Guards against a cold instance that gets requests as fast as a warm one.
TEST(ColdShare, ColdInstancesGetRequestsAtTheirSpacing) {
  CounterTable counters;
  Deployment deployment = SampleDeployment();
  deployment.m_services[0].m_cold_requests_per_1000s = 2000;
  membership::Member cold = SampleMember("cold", "luz-a");
  cold.m_cold_until = At(1500);
  const UpstreamView view = SampleView({cold}, counters, {}, deployment);
  Selector<AffinityPolicy> selector(1);
  int started = 0;
  for (int ms = 0; ms < 1000; ms += 10) {
    const auto selection =
        selector.Select(view.m_services[0], {.m_now = At(ms), .m_object = 3});
    started += selection ? 1 : 0;
  }
  EXPECT_EQ(started, 2);
  const auto warm =
      selector.Select(view.m_services[0], {.m_now = At(1600), .m_object = 3});
  EXPECT_TRUE(warm);
}

// Guards against callers who were refused together and return together, or so
// late that nothing can be served in their time.
TEST(Admission, ReturnsAreSpreadWithinTheTimeLeft) {
  std::set<std::int64_t> seen;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    const milliseconds wait = SpreadRetryAfter(milliseconds(1500), draw * 7919);
    EXPECT_GE(wait, milliseconds(250));
    EXPECT_LE(wait, milliseconds(500));
    seen.insert(wait.count());
  }
  EXPECT_GT(seen.size(), 100U);
  EXPECT_EQ(SpreadRetryAfter(milliseconds(0), 1), milliseconds(50));
}

RouteRule Rule(const std::string& name,
               const std::string& prefix,
               std::vector<WeightedService> services) {
  return {.m_name = name,
          .m_host = "a.example",
          .m_path_prefix = prefix,
          .m_services = std::move(services)};
}

// Guards against a request that takes a shorter prefix or another host's route.
TEST(RouteTable, LongestPrefixOfTheHostWins) {
  const RouteTable table({Rule("short", "/a/", {}), Rule("long", "/a/b/", {})});
  EXPECT_EQ(table.Find("a.example", "/a/b/c")->m_name, "long");
  EXPECT_EQ(table.Find("A.Example:8080", "/a/c")->m_name, "short");
  EXPECT_EQ(table.Find("a.example", "/a"), nullptr);
  EXPECT_EQ(table.Find("b.example", "/a/b/c"), nullptr);
}

// Guards against shares that drift from their weights.
TEST(RouteTable, ServicesGetTheirWeights) {
  const RouteRule rule = Rule("r", "/", {{{"x"}, 90}, {{"y"}, 0}, {{"z"}, 10}});
  std::map<std::string, int> counts;
  for (int i = 0; i < 10000; ++i)
    ++counts[ChooseService(rule, Hash64(std::to_string(i))).m_value];
  EXPECT_NEAR(counts["x"], 9000, 200);
  EXPECT_NEAR(counts["z"], 1000, 200);
  EXPECT_EQ(counts["y"], 0);
}

}  // namespace
}  // namespace jujube::steering
