// Compares the selection policies and measures the cost of a selection.
//
//   build/steering_bench
//
// Rows named Model/deployment/fault/policy run the queueing model of
// bench/steering_model.h with three fixed seeds and print averages as counters;
// the same binary prints the same counters on each run. docs/steering.md has
// the results.

#include <string>

#include <benchmark/benchmark.h>

#include "bench/steering_model.h"
#include "steering/affinity_policy.h"
#include "steering/cost_policy.h"
#include "steering/headroom_latency_policy.h"
#include "steering/least_connections_policy.h"
#include "steering/random_policy.h"
#include "steering/round_robin_policy.h"
#include "steering/two_choices_policy.h"

namespace jujube::bench {
namespace {

constexpr int kSeeds = 3;

template <class P>
void RunModel(benchmark::State& state, ModelParameters parameters) {
  for ([[maybe_unused]] auto unused : state) {
    ModelResult combined;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      parameters.m_seed = static_cast<std::uint64_t>(seed);
      const ModelResult result = SteeringModel<P>(parameters).Run();
      combined.m_p50_ms += result.m_p50_ms / kSeeds;
      combined.m_p99_ms += result.m_p99_ms / kSeeds;
      combined.m_p999_ms += result.m_p999_ms / kSeeds;
      combined.m_max_utilization =
          std::max(combined.m_max_utilization, result.m_max_utilization);
      combined.m_refused += result.m_refused / kSeeds;
      combined.m_in_time += result.m_in_time / kSeeds;
      combined.m_worth += result.m_worth / kSeeds;
    }
    state.counters["p50_ms"] = combined.m_p50_ms;
    state.counters["p99_ms"] = combined.m_p99_ms;
    state.counters["p999_ms"] = combined.m_p999_ms;
    state.counters["max_use"] = combined.m_max_utilization;
    state.counters["refused_pct"] = 100 * combined.m_refused;
    if (parameters.m_work.m_objects > 0) {
      state.counters["in_time_pct"] = 100 * combined.m_in_time;
      state.counters["worth"] = combined.m_worth;
    }
  }
}

template <class P>
void Register(const std::string& policy) {
  const std::pair<const char*, FaultKind> faults[] = {
      {"healthy", FaultKind::kNone},
      {"lying", FaultKind::kFalseReport},
      {"frozen", FaultKind::kFrozenReports},
      {"zone_lost", FaultKind::kZoneLost}};
  for (const ModelDeployment& deployment :
       {CooperativeDeployment(), LabDeployment()}) {
    for (const auto& [name, fault] : faults) {
      const ModelParameters parameters{.m_deployment = deployment,
                                       .m_fault = fault};
      benchmark::RegisterBenchmark(("Model/" + std::string(deployment.m_name) +
                                    "/" + name + "/" + policy)
                                       .c_str(),
                                   [parameters](benchmark::State& state) {
                                     RunModel<P>(state, parameters);
                                   })
          ->Iterations(1)
          ->Unit(benchmark::kMillisecond);
    }
  }
}

struct ModelPattern {
  const char* m_name = "";
  double m_offered_load = 0;
  ModelWork m_work;
};

// Load patterns of expected cost, each with the region plan and without.
std::vector<ModelPattern> CostPatterns() {
  ModelWork even = UnevenWork();
  even.m_tail_share = 0;
  even.m_slow_share = 0;
  ModelWork forgetful = UnevenWork();
  forgetful.m_kept = 3;
  ModelWork wave = UnevenWork();
  wave.m_wave_start = std::chrono::seconds(30);
  wave.m_wave_end = std::chrono::seconds(50);
  wave.m_wave_factor = 3;
  return {{"alike", 0.8, even},
          {"tail_and_slow", 0.8, UnevenWork()},
          {"forgetful", 0.8, forgetful},
          {"heavy", 1.6, UnevenWork()},
          {"wave", 0.8, wave}};
}

template <class P>
void RegisterCost(const std::string& policy, bool plans_regions) {
  for (const ModelPattern& pattern : CostPatterns()) {
    ModelParameters parameters{.m_deployment = UnevenDeployment(),
                               .m_work = pattern.m_work,
                               .m_entry_hosts = 36,
                               .m_offered_load = pattern.m_offered_load};
    parameters.m_work.m_plans_regions = plans_regions;
    benchmark::RegisterBenchmark(
        ("Cost/" + std::string(pattern.m_name) + "/" + policy).c_str(),
        [parameters](benchmark::State& state) {
          RunModel<P>(state, parameters);
        })
        ->Iterations(1)
        ->Unit(benchmark::kMillisecond);
  }
}

// Cost of selecting an instance and releasing its slot, with the given number
// of instances of 9 slots.
template <class P>
void SelectAndReturn(benchmark::State& state) {
  steering::CounterTable counters;
  Deployment deployment{.m_services = {{.m_name = {"s"}}}};
  deployment.m_availability_zones = {{{"z"}, {"r"}}};
  membership::RegistrySnapshot registry;
  const MonoTime now = MonoTime(std::chrono::hours(1));
  for (int i = 0; i < state.range(0); ++i) {
    registry.m_members.push_back(
        {.m_announcement = {.m_service = {"s"},
                            .m_instance = {std::to_string(i)},
                            .m_incarnation = 1,
                            .m_state = UpstreamState::kServing,
                            .m_availability_zone = {"z"},
                            .m_slots = 9},
         .m_expires = now + std::chrono::seconds(2),
         .m_reported_in_progress = 1,
         .m_reported_at = now});
  }
  const steering::UpstreamView view =
      steering::BuildView({.m_registry = registry,
                           .m_deployment = deployment,
                           .m_drains = {},
                           .m_zone = {"z"},
                           .m_grants = {}},
                          counters);
  steering::Selector<P> selector(1);
  for ([[maybe_unused]] auto unused : state)
    benchmark::DoNotOptimize(
        selector.Select(view.m_services[0], {.m_now = now}));
}

// The same for requests with objects, with reports and estimates as in
// operation. The pair for AffinityPolicy and CostPolicy shows what the choice
// by cost adds.
template <class P>
void SelectForObject(benchmark::State& state) {
  steering::CounterTable counters;
  Deployment deployment{.m_services = {{.m_name = {"s"}}}};
  deployment.m_availability_zones = {{{"z"}, {"r"}}};
  membership::RegistrySnapshot registry;
  const MonoTime now = MonoTime(std::chrono::hours(1));
  for (int i = 0; i < state.range(0); ++i) {
    registry.m_members.push_back(
        {.m_announcement = {.m_service = {"s"},
                            .m_instance = {std::to_string(i)},
                            .m_incarnation = 1,
                            .m_state = UpstreamState::kServing,
                            .m_availability_zone = {"z"},
                            .m_slots = 9},
         .m_expires = now + std::chrono::seconds(2)});
  }
  const steering::UpstreamView view = steering::BuildView(
      {.m_registry = registry,
       .m_deployment = deployment,
       .m_drains = {},
       .m_zone = {"z"},
       .m_queue_factor = 2,
       .m_entry_hosts_by_zone = std::map<AvailabilityZoneId, std::uint32_t>(),
       .m_grants = {}},
      counters);
  const steering::ServiceUpstreams& service = view.m_services[0];
  for (const steering::Upstream& upstream : service.m_upstreams) {
    // A queue of a third of the slots, so that strangers are compared too.
    upstream.m_counters->RecordReport(
        {.m_in_progress = 12, .m_waiting = 3, .m_slots = 9}, now);
    service.m_work->RecordLoad(upstream.m_counters->Load(), 0, 9);
  }
  steering::Selector<P> selector(1);
  std::uint64_t object = 1;
  for ([[maybe_unused]] auto unused : state) {
    benchmark::DoNotOptimize(
        selector.Select(service, {.m_now = now,
                                  .m_object = object++,
                                  .m_remaining = std::chrono::seconds(6)}));
  }
}

BENCHMARK(SelectForObject<steering::AffinityPolicy>)->Arg(228);
BENCHMARK(SelectForObject<steering::CostPolicy>)->Arg(228);
BENCHMARK(SelectAndReturn<steering::RandomPolicy>)->Arg(18);
BENCHMARK(SelectAndReturn<steering::HeadroomLatencyPolicy>)->Arg(18);

[[maybe_unused]] const bool are_registered = [] {
  Register<steering::RandomPolicy>("random");
  Register<steering::RoundRobinPolicy>("round_robin");
  Register<steering::LeastConnectionsPolicy>("least_connections");
  Register<steering::TwoChoicesPolicy>("two_choices");
  Register<steering::HeadroomLatencyPolicy>("headroom_latency");
  RegisterCost<steering::LeastConnectionsPolicy>("least_connections", false);
  RegisterCost<steering::TwoChoicesPolicy>("two_choices", false);
  RegisterCost<steering::AffinityPolicy>("affinity", false);
  RegisterCost<steering::AffinityPolicy>("affinity_planned", true);
  RegisterCost<steering::CostPolicy>("cost", true);
  return true;
}();

}  // namespace
}  // namespace jujube::bench
