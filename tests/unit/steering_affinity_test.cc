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

std::vector<membership::Member> MakeMembers(int count) {
  std::vector<membership::Member> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    members.push_back(SampleMember("t-" + std::to_string(i), "luz-a"));
  return members;
}

std::map<int, std::string> PlaceObjects(const UpstreamView& view, int objects) {
  Selector<AffinityPolicy> selector(1);
  std::map<int, std::string> instance_by_object;
  for (int object = 0; object < objects; ++object) {
    const auto selection = selector.Select(
        view.m_services[0],
        {.m_now = At(10), .m_object = Hash64(std::to_string(object)) | 1U});
    if (selection)
      instance_by_object[object] = selection->m_instance.m_value;
  }
  return instance_by_object;
}

// Guards against entry hosts that send the same object to different instances,
// and against a removed instance that moves objects of other instances.
TEST(AffinityPolicy, OnlyObjectsOfARemovedInstanceMove) {
  constexpr int kObjects = 200;
  CounterTable first_counters;
  CounterTable second_counters;
  const UpstreamView all = SampleView(MakeMembers(8), first_counters);
  const auto before_removal = PlaceObjects(all, kObjects);
  EXPECT_EQ(
      before_removal,
      PlaceObjects(SampleView(MakeMembers(8), second_counters), kObjects));
  const auto after_removal =
      PlaceObjects(SampleView(MakeMembers(7), second_counters), kObjects);
  std::set<std::string> used;
  for (const auto& [object, instance] : before_removal) {
    used.insert(instance);
    if (instance != "t-7")
      EXPECT_EQ(after_removal.at(object), instance) << object;
  }
  EXPECT_EQ(used.size(), 8U);
}

// Guards against a hot object that fills one instance after another.
TEST(AffinityPolicy, RefusesWhenThePreferredInstancesAreFull) {
  CounterTable counters;
  Deployment deployment = SampleDeployment();
  deployment.m_services[0].m_slow_start = milliseconds(0);
  const membership::RegistrySnapshot registry{.m_version = 1,
                                              .m_members = MakeMembers(8)};
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
  std::vector<Selection> selections;
  std::set<std::string> used;
  while (true) {
    auto selection =
        selector.Select(view.m_services[0], {.m_now = At(10), .m_object = 77});
    if (!selection)
      break;
    used.insert(selection->m_instance.m_value);
    selections.push_back(*std::move(selection));
  }
  EXPECT_EQ(used.size(), AffinityPolicy::kMaxInstancesPerObject);
  EXPECT_EQ(selections.size(), AffinityPolicy::kMaxInstancesPerObject *
                                   AffinityPolicy::kQueueFactor * 3);
}

// Guards against requests of a route with restricted regions that leave these
// regions.
TEST(AffinityPolicy, SelectsOnlyAllowedRegions) {
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

// Load pattern: requests run three times as fast on an instance that has the
// object cached, and without cache hits the offered load exceeds the slots.
// Simulates one entry host in steps of 10 ms.
struct LoadResult {
  int m_within_target = 0;
  int m_requests = 0;
};

template <SelectionPolicy P>
LoadResult SimulateOverload(P policy) {
  constexpr int kInstances = 12;
  constexpr std::size_t kSlots = 3;
  constexpr std::size_t kCacheSize = 25;
  constexpr int kObjects = 144;
  constexpr int kStepMs = 10;
  constexpr int kCacheMissMs = 880;
  constexpr int kCacheHitMs = 264;
  constexpr int kTargetMs = 600;
  struct Job {
    int m_object = 0;
    int m_arrived_ms = 0;
  };
  struct Instance {
    std::deque<Job> m_queue;
    std::vector<std::pair<int, Job>> m_running;  // finish time in ms
    std::deque<int> m_cached_objects;
  };
  std::vector<Instance> instances(kInstances);
  FastRandom random(5);
  LoadResult result;
  for (int now_ms = 0; now_ms < 30000; now_ms += kStepMs) {
    for (Instance& instance : instances) {
      std::erase_if(instance.m_running, [&](const auto& entry) {
        if (entry.first > now_ms)
          return false;
        result.m_within_target +=
            now_ms - entry.second.m_arrived_ms <= kTargetMs ? 1 : 0;
        return true;
      });
      while (!instance.m_queue.empty() && instance.m_running.size() < kSlots) {
        const Job job = instance.m_queue.front();
        instance.m_queue.pop_front();
        auto& cached_objects = instance.m_cached_objects;
        const auto at = std::find(cached_objects.begin(), cached_objects.end(),
                                  job.m_object);
        const bool is_cached = at != cached_objects.end();
        if (is_cached)
          cached_objects.erase(at);
        cached_objects.push_back(job.m_object);
        if (cached_objects.size() > kCacheSize)
          cached_objects.pop_front();
        instance.m_running.emplace_back(
            now_ms + (is_cached ? kCacheHitMs : kCacheMissMs), job);
      }
    }
    // 60 requests per second; with cache misses only, they need 53 slots of the
    // 36.
    if (random.UniformBelow(1000) >= 600)
      continue;
    ++result.m_requests;
    const Job job{.m_object = static_cast<int>(random.UniformBelow(kObjects)),
                  .m_arrived_ms = now_ms};
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < instances.size(); ++i) {
      const std::uint64_t score = MixHash(Hash64(std::to_string(job.m_object)),
                                          Hash64("i" + std::to_string(i)));
      const auto load = static_cast<std::uint32_t>(
          instances[i].m_queue.size() + instances[i].m_running.size());
      candidates.push_back({.m_index = i,
                            .m_in_progress = load,
                            .m_limit = 12,
                            .m_slots = kSlots,
                            .m_affinity_score = static_cast<double>(score | 1U),
                            .m_utilization_permille = load * 1000 / 12});
    }
    const std::size_t chosen = policy.Pick(candidates, {}, random);
    if (chosen < candidates.size())
      instances[chosen].m_queue.push_back(job);
  }
  return result;
}

// Guards against a collapse under overload: requests are diverted from full
// instances, miss the cache there and keep all slots busy with slow work.
TEST(AffinityPolicy, KeepsCacheHitsUnderOverload) {
  const LoadResult affinity = SimulateOverload(AffinityPolicy());
  const LoadResult least_connections =
      SimulateOverload(LeastConnectionsPolicy());
  EXPECT_GT(affinity.m_within_target * 10, affinity.m_requests * 8);
  EXPECT_GT(affinity.m_within_target, least_connections.m_within_target * 2);
}

// Guards against entry hosts that together overload a cold instance: within any
// second, they may send at most as many requests as the rate allows plus one
// for each host with an equal share.
TEST(ColdRequestInterval, HostsTogetherStayWithinTheRate) {
  for (const std::size_t count : {1U, 7U, 27U, 34U, 200U}) {
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < count; ++i)
      hosts.push_back({"entry-" + std::to_string(i)});
    for (const std::uint32_t requests_per_1000s : {2900U, 16000U, 500U}) {
      std::size_t requests_in_a_second = 0;
      for (const HostId& host : hosts) {
        const auto interval = ColdRequestInterval(
            requests_per_1000s, Hash64("instance"), host, hosts);
        if (interval)
          requests_in_a_second += static_cast<std::size_t>(
              1 + (std::chrono::seconds(1) - std::chrono::nanoseconds(1)) /
                      *interval);
      }
      const std::size_t requests_per_second =
          std::max<std::size_t>(1, requests_per_1000s / 1000);
      EXPECT_GE(requests_in_a_second, 1U) << count << " " << requests_per_1000s;
      EXPECT_LE(requests_in_a_second,
                requests_per_second + (requests_per_second > count ? count : 1))
          << count << " " << requests_per_1000s;
    }
  }
  EXPECT_EQ(ColdRequestInterval(0, 1, {"a"}, {}), std::chrono::nanoseconds(0));
}

// Guards against a cold instance that gets as many requests as a warm one.
TEST(ColdRequestInterval, LimitsRequestsToAColdInstance) {
  CounterTable counters;
  Deployment deployment = SampleDeployment();
  deployment.m_services[0].m_cold_requests_per_1000s = 2000;
  membership::Member cold = SampleMember("cold", "luz-a");
  cold.m_cold_until = At(1500);
  const UpstreamView view = SampleView({cold}, counters, {}, deployment);
  Selector<AffinityPolicy> selector(1);
  int started_requests = 0;
  for (int ms = 0; ms < 1000; ms += 10) {
    const auto selection =
        selector.Select(view.m_services[0], {.m_now = At(ms), .m_object = 3});
    started_requests += selection ? 1 : 0;
  }
  EXPECT_EQ(started_requests, 2);
  const auto warm =
      selector.Select(view.m_services[0], {.m_now = At(1600), .m_object = 3});
  EXPECT_TRUE(warm);
}

// Guards against callers that are refused together and retry together, or retry
// too late to be served before their deadline.
TEST(Admission, RetryAfterIsJitteredWithinTheRemainingTime) {
  std::set<std::int64_t> distinct_delays;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    const milliseconds retry_after =
        SpreadRetryAfter(milliseconds(1500), draw * 7919);
    EXPECT_GE(retry_after, milliseconds(250));
    EXPECT_LE(retry_after, milliseconds(500));
    distinct_delays.insert(retry_after.count());
  }
  EXPECT_GT(distinct_delays.size(), 100U);
  EXPECT_EQ(SpreadRetryAfter(milliseconds(0), 1), milliseconds(50));
}

RouteRule MakeRule(const std::string& name,
                   const std::string& prefix,
                   std::vector<WeightedService> services) {
  return {.m_name = name,
          .m_host = "a.example",
          .m_path_prefix = prefix,
          .m_services = std::move(services)};
}

// Guards against a request that matches a shorter prefix or a route of another
// host.
TEST(RouteTable, LongestPrefixOfTheHostWins) {
  const RouteTable table(
      {MakeRule("short", "/a/", {}), MakeRule("long", "/a/b/", {})});
  EXPECT_EQ(table.Find("a.example", "/a/b/c")->m_name, "long");
  EXPECT_EQ(table.Find("A.Example:8080", "/a/c")->m_name, "short");
  EXPECT_EQ(table.Find("a.example", "/a"), nullptr);
  EXPECT_EQ(table.Find("b.example", "/a/b/c"), nullptr);
}

// Guards against traffic shares that differ from the configured weights.
TEST(RouteTable, ServicesAreChosenByWeight) {
  const RouteRule rule =
      MakeRule("r", "/", {{{"x"}, 90}, {{"y"}, 0}, {{"z"}, 10}});
  std::map<std::string, int> counts;
  for (int i = 0; i < 10000; ++i)
    ++counts[ChooseService(rule, Hash64(std::to_string(i))).m_value];
  EXPECT_NEAR(counts["x"], 9000, 200);
  EXPECT_NEAR(counts["z"], 1000, 200);
  EXPECT_EQ(counts["y"], 0);
}

}  // namespace
}  // namespace jujube::steering
