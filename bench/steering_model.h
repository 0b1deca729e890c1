// Queueing model of entry hosts and instances, for the comparison of policies.
//
// Sections: parameters, results, model. A run is a pure function of its
// parameters and the seed; time is simulated. Arrivals are Poisson, service
// times exponential with a minimum. Requests beyond the slots of an instance
// wait in its queue; an instance with a full queue refuses a request before
// execution, and the entry host counts the request as refused. Allotments are
// disabled: without them, hosts compete for the same instance, which policies
// have to avoid.

#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "steering/selector.h"
#include "steering/upstream_view.h"

namespace jujube::bench {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// ---- parameters ----

enum class FaultKind { kNone, kFalseReport, kFrozenReports, kZoneLost };

struct ModelService {
  const char* m_name = "";
  int m_instances = 0;
  int m_slots = 0;
};

struct ModelDeployment {
  const char* m_name = "";
  std::vector<std::vector<const char*>> m_regions;  // zones by region
  milliseconds m_region_delay{0};
  ModelService m_service;
  Weights m_weights;
};

// Small instances, weights favor headroom (section 3 of the design page).
inline ModelDeployment CooperativeDeployment() {
  return {.m_name = "cooperative",
          .m_regions = {{"luz-caloocan", "luz-batangas"},
                        {"vis-mandaue", "vis-iloilo"},
                        {"min-davao", "min-cdo"}},
          .m_region_delay = milliseconds(12),
          .m_service = {"tankview", 16, 3},
          .m_weights = {.m_headroom = 3, .m_latency = 1}};
}

// Larger instances, weights favor latency.
inline ModelDeployment LabDeployment() {
  return {.m_name = "lab",
          .m_regions = {{"cerro-a", "buceo-b"},
                        {"paysandu-a", "salto-b"},
                        {"rivera-a", "tacuarembo-b"}},
          .m_region_delay = milliseconds(35),
          .m_service = {"portal-cli", 18, 9},
          .m_weights = {.m_headroom = 1, .m_latency = 3}};
}

struct ModelParameters {
  ModelDeployment m_deployment;
  FaultKind m_fault = FaultKind::kNone;
  double m_offered_load = 0.7;  // requests over slots, before any fault
  std::uint64_t m_seed = 1;
};

inline constexpr int kEntryHosts = 7;
inline constexpr milliseconds kServiceTime{20};
inline constexpr milliseconds kMeasurementStart{10000};
inline constexpr milliseconds kEndTime{70000};
inline constexpr milliseconds kReportInterval{500};
inline constexpr milliseconds kReportDelay{50};  // relay between entry hosts

// ---- results ----

struct ModelResult {
  double m_p50_ms = 0;           // ms of waiting: queue and travel, not service
  double m_p99_ms = 0;           // ms
  double m_p999_ms = 0;          // ms
  double m_max_utilization = 0;  // requests at an instance over its slots,
                                 // largest one-second average
  double m_refused = 0;          // share of the requests
  std::uint64_t m_requests = 0;
};

// ---- model ----

template <steering::SelectionPolicy P>
class SteeringModel {
 public:
  explicit SteeringModel(const ModelParameters& parameters)
      : m_parameters(parameters), m_random(parameters.m_seed) {
    BuildDeployment();
    const auto& zones = m_deployment.m_availability_zones;
    for (int i = 0; i < parameters.m_deployment.m_service.m_instances; ++i)
      m_instances.push_back(
          {.m_zone = static_cast<std::size_t>(i) % zones.size()});
    m_counters.resize(kEntryHosts);
    m_views.resize(kEntryHosts);
    for (std::size_t host = 0; host < kEntryHosts; ++host)
      m_selectors.emplace_back(parameters.m_seed * 100 + host);
  }

  ModelResult Run() {
    Schedule({.m_at = nanoseconds(0), .m_kind = Kind::kReport});
    for (std::size_t host = 0; host < kEntryHosts; ++host)
      Schedule({.m_at = InterarrivalTime(),
                .m_kind = Kind::kArrival,
                .m_host = host});
    while (!m_events.empty() && m_events.top().m_at < kEndTime) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      Handle(event);
    }
    return Summarize();
  }

 private:
  enum class Kind { kReport, kUpdateViews, kArrival, kReachInstance, kFinish };

  struct Event {
    nanoseconds m_at{0};
    Kind m_kind = Kind::kReport;
    std::size_t m_host = 0;
    std::size_t m_request = 0;
    std::uint64_t m_sequence = 0;  // order of simultaneous events
  };
  struct IsLater {
    bool operator()(const Event& a, const Event& b) const {
      return std::tie(a.m_at, a.m_sequence) > std::tie(b.m_at, b.m_sequence);
    }
  };
  struct Request {
    std::size_t m_host = 0;
    std::size_t m_instance = 0;
    nanoseconds m_arrived{0};
    nanoseconds m_wait_time{0};
    steering::Selection m_selection;
  };
  struct Instance {
    std::size_t m_zone = 0;
    int m_running = 0;
    std::deque<std::size_t> m_queue;
    int m_reported_in_progress = 0;
    nanoseconds m_accounted_until{0};
    double m_request_seconds = 0;  // in the current second
    std::int64_t m_second = 0;
    double m_max_utilization = 0;
  };

  void BuildDeployment() {
    const ModelDeployment& source = m_parameters.m_deployment;
    m_deployment.m_weights = source.m_weights;
    m_deployment.m_services = {{.m_name = {source.m_service.m_name}}};
    for (std::size_t i = 0; i < source.m_regions.size(); ++i) {
      const RegionId region{"region-" + std::to_string(i)};
      m_deployment.m_regions.push_back({.m_name = region});
      for (const char* zone : source.m_regions[i])
        m_deployment.m_availability_zones.push_back(
            {.m_name = {zone}, .m_region = region});
      for (std::size_t k = 0; k < i; ++k)
        m_deployment.m_links.push_back({.m_a = {"region-" + std::to_string(k)},
                                        .m_b = region,
                                        .m_delay = source.m_region_delay});
    }
  }

  MonoTime MonoNow() const { return MonoTime(std::chrono::hours(1) + m_now); }

  double Uniform() {
    return (static_cast<double>(m_random() >> 11) + 0.5) / 9007199254740992.0;
  }
  nanoseconds Exponential(double mean_ns) {
    return nanoseconds(
        static_cast<std::int64_t>(-std::log(Uniform()) * mean_ns));
  }
  nanoseconds InterarrivalTime() {
    const ModelService& service = m_parameters.m_deployment.m_service;
    const double in_progress =
        m_parameters.m_offered_load * service.m_instances * service.m_slots;
    return Exponential(static_cast<double>(nanoseconds(kServiceTime).count()) /
                       in_progress * kEntryHosts);
  }
  // Half of the service time is constant, the other half exponential.
  nanoseconds ServiceTime() {
    const nanoseconds half = nanoseconds(kServiceTime) / 2;
    return half + Exponential(static_cast<double>(half.count()));
  }

  bool IsLost(const Instance& instance) const {
    return m_parameters.m_fault == FaultKind::kZoneLost &&
           instance.m_zone == 0 && m_now >= kMeasurementStart / 2;
  }

  void Schedule(Event event) {
    event.m_sequence = ++m_sequence;
    m_events.push(event);
  }

  void Handle(const Event& event) {
    switch (event.m_kind) {
      case Kind::kReport:
        return OnReport();
      case Kind::kUpdateViews:
        return OnUpdateViews();
      case Kind::kArrival:
        return OnArrival(event.m_host);
      case Kind::kReachInstance:
        return OnReachInstance(event.m_request);
      case Kind::kFinish:
        return OnFinish(event.m_request);
    }
  }

  void OnReport() {
    const bool is_frozen = m_parameters.m_fault == FaultKind::kFrozenReports &&
                           m_now >= kMeasurementStart / 2;
    for (std::size_t i = 0; i < m_instances.size() && !is_frozen; ++i) {
      Instance& instance = m_instances[i];
      const bool is_false_report =
          m_parameters.m_fault == FaultKind::kFalseReport && i == 0;
      instance.m_reported_in_progress =
          is_false_report
              ? 0
              : instance.m_running + static_cast<int>(instance.m_queue.size());
      m_reported_at = MonoNow();
    }
    Schedule({.m_at = m_now + kReportDelay, .m_kind = Kind::kUpdateViews});
    Schedule({.m_at = m_now + kReportInterval, .m_kind = Kind::kReport});
  }

  void OnUpdateViews() {
    membership::RegistrySnapshot registry;
    const ModelService& service = m_parameters.m_deployment.m_service;
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
      if (IsLost(m_instances[i]))
        continue;
      registry.m_members.push_back(
          {.m_announcement =
               {.m_service = {service.m_name},
                .m_instance = {std::to_string(i)},
                .m_incarnation = 1,
                .m_state = UpstreamState::kServing,
                .m_availability_zone =
                    m_deployment.m_availability_zones[m_instances[i].m_zone]
                        .m_name,
                .m_slots = static_cast<std::uint16_t>(service.m_slots)},
           .m_sent_at = MonoNow(),
           .m_expires = MonoNow() + std::chrono::seconds(2),
           .m_serving_since = MonoTime{},
           .m_reported_in_progress = static_cast<std::uint16_t>(
               m_instances[i].m_reported_in_progress),
           .m_reported_at = m_reported_at});
    }
    for (std::size_t host = 0; host < kEntryHosts; ++host) {
      const auto& zones = m_deployment.m_availability_zones;
      m_views[host] = BuildView({.m_registry = registry,
                                 .m_deployment = m_deployment,
                                 .m_drains = {},
                                 .m_zone = zones[host % zones.size()].m_name,
                                 .m_grants = {}},
                                m_counters[host]);
    }
  }

  void OnArrival(std::size_t host) {
    Schedule({.m_at = m_now + InterarrivalTime(),
              .m_kind = Kind::kArrival,
              .m_host = host});
    if (m_views[host].m_services.empty())
      return;
    CountIfMeasured(m_result.m_requests);
    auto selection = m_selectors[host].Select(
        m_views[host].m_services[0],
        {.m_now = MonoNow(), .m_weights = m_deployment.m_weights});
    if (!selection) {
      CountIfMeasured(m_refused);
      return;
    }
    const std::size_t instance = std::stoul(selection->m_instance.m_value);
    const nanoseconds delay = selection->m_delay;
    m_requests.push_back({.m_host = host,
                          .m_instance = instance,
                          .m_arrived = m_now,
                          .m_wait_time = 2 * delay,
                          .m_selection = std::move(*selection)});
    Schedule({.m_at = m_now + delay,
              .m_kind = Kind::kReachInstance,
              .m_request = m_requests.size() - 1});
  }

  void OnReachInstance(std::size_t index) {
    Request& request = m_requests[index];
    Instance& instance = m_instances[request.m_instance];
    const int slots = m_parameters.m_deployment.m_service.m_slots;
    if (IsLost(instance) ||
        static_cast<int>(instance.m_queue.size()) >= slots) {
      const bool is_lost = IsLost(instance);
      FinishRequest(request, is_lost ? steering::Outcome::kFailure
                                     : steering::Outcome::kShed);
      if (request.m_arrived >= kMeasurementStart)
        ++m_refused;
      return;
    }
    AccumulateLoad(instance);
    if (instance.m_running < slots)
      return Start(index);
    request.m_wait_time -= m_now;  // OnFinish adds the start time
    instance.m_queue.push_back(index);
  }

  void Start(std::size_t index) {
    ++m_instances[m_requests[index].m_instance].m_running;
    Schedule({.m_at = m_now + ServiceTime(),
              .m_kind = Kind::kFinish,
              .m_request = index});
  }

  void OnFinish(std::size_t index) {
    Request& request = m_requests[index];
    Instance& instance = m_instances[request.m_instance];
    AccumulateLoad(instance);
    --instance.m_running;
    if (!instance.m_queue.empty()) {
      const std::size_t next = instance.m_queue.front();
      instance.m_queue.pop_front();
      m_requests[next].m_wait_time += m_now;
      Start(next);
    }
    // The entry host releases the slot when the response arrives. The model
    // releases it now, because the travel time of the response is short against
    // the report interval.
    FinishRequest(request, steering::Outcome::kSuccess);
    if (request.m_arrived >= kMeasurementStart)
      m_wait_times.push_back(request.m_wait_time);
  }

  void FinishRequest(Request& request, steering::Outcome outcome) {
    request.m_selection.m_slot.Counters()->Record(
        outcome, m_now - request.m_arrived + request.m_selection.m_delay,
        MonoNow());
    request.m_selection.m_slot = {};
  }

  // Adds the load since the last update to the average of the current second.
  void AccumulateLoad(Instance& instance) {
    const double in_progress =
        instance.m_running + static_cast<double>(instance.m_queue.size());
    while (instance.m_accounted_until < m_now) {
      const nanoseconds second_end =
          std::chrono::seconds(instance.m_second + 1);
      const nanoseconds until = std::min(second_end, m_now);
      instance.m_request_seconds +=
          in_progress *
          static_cast<double>((until - instance.m_accounted_until).count()) /
          1e9;
      instance.m_accounted_until = until;
      if (until != second_end)
        continue;
      if (second_end > kMeasurementStart)
        instance.m_max_utilization =
            std::max(instance.m_max_utilization, instance.m_request_seconds);
      instance.m_request_seconds = 0;
      ++instance.m_second;
    }
  }

  void CountIfMeasured(std::uint64_t& counter) {
    counter += m_now >= kMeasurementStart ? 1 : 0;
  }

  double QuantileMs(double quantile) const {
    if (m_wait_times.empty())
      return 0;
    const auto position = static_cast<std::size_t>(
        quantile * static_cast<double>(m_wait_times.size() - 1));
    return static_cast<double>(m_wait_times[position].count()) / 1e6;
  }

  ModelResult Summarize() {
    std::sort(m_wait_times.begin(), m_wait_times.end());
    m_result.m_p50_ms = QuantileMs(0.5);
    m_result.m_p99_ms = QuantileMs(0.99);
    m_result.m_p999_ms = QuantileMs(0.999);
    for (const Instance& instance : m_instances)
      m_result.m_max_utilization =
          std::max(m_result.m_max_utilization,
                   instance.m_max_utilization /
                       m_parameters.m_deployment.m_service.m_slots);
    m_result.m_refused = static_cast<double>(m_refused) /
                         static_cast<double>(m_result.m_requests);
    return m_result;
  }

  ModelParameters m_parameters;
  steering::FastRandom m_random;
  Deployment m_deployment;
  std::vector<Instance> m_instances;
  std::vector<steering::CounterTable> m_counters;  // one per entry host
  std::vector<steering::UpstreamView> m_views;     // one per entry host
  std::vector<steering::Selector<P>> m_selectors;  // one per entry host
  std::priority_queue<Event, std::vector<Event>, IsLater> m_events;
  std::deque<Request> m_requests;
  std::vector<nanoseconds> m_wait_times;
  nanoseconds m_now{0};
  MonoTime m_reported_at;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_refused = 0;
  ModelResult m_result;
};

}  // namespace jujube::bench
