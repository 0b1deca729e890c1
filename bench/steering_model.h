// Queueing model of entry hosts and instances, for the comparison of policies.
//
// Parameters and results are in steering_scenario.h. A run is a pure function
// of its parameters and the seed; time is simulated. Arrivals are Poisson,
// service times exponential with a minimum. Requests beyond the slots of an
// instance wait in its queue; an instance with a full queue refuses a request
// before execution, and the entry host counts the request as refused.
// Allotments are disabled, so that hosts compete for the same instances: the
// policies are compared by how well they avoid this.
//
// With ModelWork, requests concern objects that instances remember, work has a
// heavy tail, machines are slow for moments, and instances state their load in
// responses instead of announcements.

#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "bench/steering_scenario.h"
#include "core/hash.h"
#include "steering/cost_policy.h"
#include "steering/selector.h"
#include "steering/upstream_view.h"

namespace jujube::bench {

// ---- model ----

template <steering::SelectionPolicy P>
class SteeringModel {
 public:
  explicit SteeringModel(const ModelParameters& parameters)
      : m_parameters(parameters), m_random(parameters.m_seed) {
    BuildDeployment();
    const auto& zones = m_deployment.m_availability_zones;
    const auto& by_zone = parameters.m_deployment.m_instances_by_zone;
    for (std::size_t zone = 0; zone < by_zone.size(); ++zone)
      m_instances.resize(
          m_instances.size() + static_cast<std::size_t>(by_zone[zone]),
          {.m_zone = zone});
    for (int i = 0;
         by_zone.empty() && i < parameters.m_deployment.m_service.m_instances;
         ++i)
      m_instances.push_back(
          {.m_zone = static_cast<std::size_t>(i) % zones.size()});
    m_counters.resize(HostCount());
    m_views.resize(HostCount());
    for (std::size_t host = 0; host < HostCount(); ++host)
      m_selectors.emplace_back(parameters.m_seed * 100 + host);
  }

  ModelResult Run() {
    Schedule({.m_at = nanoseconds(0), .m_kind = Kind::kReport});
    for (std::size_t host = 0; host < HostCount(); ++host)
      Schedule({.m_at = InterarrivalTime(host),
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
    std::uint64_t m_object = 0;       // 0: none
    nanoseconds m_sent{0};            // last attempt
    std::vector<InstanceId> m_tried;  // refused by these
  };
  struct Instance {
    std::size_t m_zone = 0;
    int m_running = 0;
    std::deque<std::size_t> m_queue;
    int m_reported_in_progress = 0;
    nanoseconds m_accounted_until{0};
    double m_request_seconds = 0;  // in the current second
    std::int64_t m_current_second = 0;
    double m_max_utilization = 0;
    std::deque<std::uint64_t> m_known;  // objects, the last used one first
  };

  std::size_t HostCount() const {
    return static_cast<std::size_t>(m_parameters.m_entry_hosts);
  }
  std::size_t ZoneCount() const {
    return m_deployment.m_availability_zones.size();
  }
  bool HasObjects() const { return m_parameters.m_work.m_objects > 0; }

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
  nanoseconds InterarrivalTime(std::size_t host) {
    const ModelService& service = m_parameters.m_deployment.m_service;
    const double in_progress =
        m_parameters.m_offered_load * service.m_instances * service.m_slots;
    const nanoseconds work =
        HasObjects() ? nanoseconds(m_parameters.m_work.m_work) : kServiceTime;
    const ModelWork& model = m_parameters.m_work;
    const bool is_wave = HasObjects() && m_now >= model.m_wave_start &&
                         m_now < model.m_wave_end &&
                         host % ZoneCount() >= ZoneCount() - 2;
    return Exponential(static_cast<double>(work.count()) / in_progress *
                       m_parameters.m_entry_hosts /
                       (is_wave ? model.m_wave_factor : 1));
  }
  // Half of the service time is constant, the other half exponential.
  nanoseconds ServiceTime() {
    const nanoseconds half = nanoseconds(kServiceTime) / 2;
    return half + Exponential(static_cast<double>(half.count()));
  }

  // True for moments of kSlowMoment at a part of the machines.
  bool IsSlow(std::size_t instance) const {
    constexpr std::uint64_t kRange = 1000;
    const auto moment = static_cast<std::uint64_t>(m_now / kSlowMoment);
    return MixHash(MixHash(instance, moment), m_parameters.m_seed) % kRange <
           m_parameters.m_work.m_slow_share * kRange;
  }

  // Work of a request that starts now; the instance remembers its object.
  nanoseconds ObjectWork(const Request& request) {
    const ModelWork& work = m_parameters.m_work;
    std::deque<std::uint64_t>& known = m_instances[request.m_instance].m_known;
    const auto found = std::find(known.begin(), known.end(), request.m_object);
    double factor = 0.85 + 0.3 * Uniform();
    if (found != known.end()) {
      factor *= work.m_known_part;
      known.erase(found);
    }
    known.push_front(request.m_object);
    if (known.size() > work.m_kept)
      known.pop_back();
    if (Uniform() < work.m_tail_share)
      factor *= work.m_tail_factor;
    if (IsSlow(request.m_instance))
      factor *= work.m_slow_factor;
    return nanoseconds(static_cast<std::int64_t>(
        factor * static_cast<double>(nanoseconds(work.m_work).count())));
  }

  // An object of the region of the host.
  std::uint64_t DrawObject(std::size_t host) {
    if (!HasObjects())
      return 0;
    const auto& zones = m_deployment.m_availability_zones;
    const std::string& region = zones[host % zones.size()].m_region.m_value;
    const std::size_t of_region =
        static_cast<std::size_t>(m_parameters.m_work.m_objects) /
        m_deployment.m_regions.size();
    const auto number =
        static_cast<std::uint64_t>(Uniform() * static_cast<double>(of_region));
    return Hash64(region + std::to_string(number), m_parameters.m_seed) | 1U;
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
    const auto& zones = m_deployment.m_availability_zones;
    std::optional<std::map<AvailabilityZoneId, std::uint32_t>> hosts_by_zone;
    if (m_parameters.m_work.m_plans_regions) {
      hosts_by_zone.emplace();
      for (std::size_t host = 0; host < HostCount(); ++host)
        ++(*hosts_by_zone)[zones[host % zones.size()].m_name];
    }
    for (std::size_t host = 0; host < HostCount(); ++host) {
      m_views[host] = BuildView({.m_registry = registry,
                                 .m_deployment = m_deployment,
                                 .m_drains = {},
                                 .m_zone = zones[host % zones.size()].m_name,
                                 .m_queue_factor = HasObjects() ? 2U : 1U,
                                 .m_entry_hosts_by_zone = hosts_by_zone,
                                 .m_grants = {}},
                                m_counters[host]);
    }
  }

  void OnArrival(std::size_t host) {
    Schedule({.m_at = m_now + InterarrivalTime(host),
              .m_kind = Kind::kArrival,
              .m_host = host});
    if (m_views[host].m_services.empty())
      return;
    CountIfMeasured(m_result.m_requests);
    m_requests.push_back(
        {.m_host = host, .m_arrived = m_now, .m_object = DrawObject(host)});
    Send(m_requests.size() - 1);
  }

  // Selects an instance and sends the request there.
  void Send(std::size_t index) {
    Request& request = m_requests[index];
    const nanoseconds remaining =
        request.m_arrived + m_parameters.m_work.m_deadline - m_now;
    auto selection = m_selectors[request.m_host].Select(
        m_views[request.m_host].m_services[0],
        {.m_now = MonoNow(),
         .m_weights = m_deployment.m_weights,
         .m_tried = request.m_tried,
         .m_object = request.m_object,
         .m_remaining =
             HasObjects() ? std::optional(remaining) : std::nullopt});
    if (!selection) {
      m_refused += request.m_arrived >= kMeasurementStart ? 1 : 0;
      return;
    }
    request.m_instance = std::stoul(selection->m_instance.m_value);
    request.m_sent = m_now;
    request.m_wait_time += 2 * nanoseconds(selection->m_delay);
    const nanoseconds delay = selection->m_delay;
    request.m_selection = std::move(*selection);
    Schedule({.m_at = m_now + delay,
              .m_kind = Kind::kReachInstance,
              .m_request = index});
  }

  void OnReachInstance(std::size_t index) {
    Request& request = m_requests[index];
    Instance& instance = m_instances[request.m_instance];
    const int slots = m_parameters.m_deployment.m_service.m_slots;
    const int queue_length =
        HasObjects() ? slots * m_parameters.m_work.m_queue_factor : slots;
    if (IsLost(instance) ||
        static_cast<int>(instance.m_queue.size()) >= queue_length) {
      const bool is_lost = IsLost(instance);
      FinishRequest(request, is_lost ? steering::Outcome::kFailure
                                     : steering::Outcome::kShed);
      constexpr std::size_t kMaxTried = 1;
      if (HasObjects() && request.m_tried.size() < kMaxTried) {
        request.m_tried.push_back({std::to_string(request.m_instance)});
        return Send(index);
      }
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
    Request& request = m_requests[index];
    ++m_instances[request.m_instance].m_running;
    nanoseconds work = HasObjects() ? ObjectWork(request) : ServiceTime();
    // An instance stops work at the deadline.
    if (HasObjects()) {
      work = std::clamp<nanoseconds>(
          request.m_arrived + m_parameters.m_work.m_deadline - m_now,
          nanoseconds(0), work);
    }
    Schedule(
        {.m_at = m_now + work, .m_kind = Kind::kFinish, .m_request = index});
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
    const nanoseconds latency =
        m_now - request.m_arrived + nanoseconds(request.m_selection.m_delay);
    const ModelWork& work = m_parameters.m_work;
    const bool is_complete = !HasObjects() || latency < work.m_deadline;
    LearnFrom(request, is_complete);
    FinishRequest(request, steering::Outcome::kSuccess);
    if (request.m_arrived < kMeasurementStart)
      return;
    m_wait_times.push_back(HasObjects() ? latency : request.m_wait_time);
    if (latency <= work.m_target)
      ++m_in_time;
    if (is_complete)
      m_result.m_worth += latency <= work.m_target ? 1 : work.m_late_worth;
  }

  // What the entry host learns from a response.
  void LearnFrom(const Request& request, bool is_complete) {
    const auto& forecast = request.m_selection.m_forecast;
    steering::WorkEstimator* estimator =
        m_views[request.m_host].m_services[0].m_work.get();
    if (!HasObjects())
      return;
    steering::InstanceCounters& counters =
        *request.m_selection.m_slot.Counters();
    const Instance& instance = m_instances[request.m_instance];
    const auto waiting = static_cast<std::uint32_t>(instance.m_queue.size());
    const auto slots =
        static_cast<std::uint32_t>(m_parameters.m_deployment.m_service.m_slots);
    counters.RecordReport(
        {.m_in_progress =
             static_cast<std::uint32_t>(instance.m_running) + waiting,
         .m_waiting = waiting,
         .m_slots = slots,
         .m_work_time_permille = static_cast<std::uint32_t>(
             IsSlow(request.m_instance)
                 ? 1000 * m_parameters.m_work.m_slow_factor
                 : 1000)},
        MonoNow());
    if (!forecast || estimator == nullptr)
      return;
    const steering::ReportedLoad load = counters.Load();
    estimator->RecordLoad(load, counters.Observe().m_in_progress, slots);
    estimator->Record(
        {.m_acquaintance = forecast->m_acquaintance,
         .m_elapsed = std::chrono::duration_cast<std::chrono::microseconds>(
             m_now - request.m_sent - request.m_selection.m_delay),
         .m_expected_wait = forecast->m_cost.m_wait,
         .m_work_time_permille = load.m_work_time_permille,
         .m_is_lower_bound = !is_complete},
        MonoNow());
    if (is_complete)
      estimator->Placements().Remember(forecast->m_placement, MonoNow());
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
          std::chrono::seconds(instance.m_current_second + 1);
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
      ++instance.m_current_second;
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
    const auto requests = static_cast<double>(m_result.m_requests);
    m_result.m_in_time = static_cast<double>(m_in_time) / requests;
    m_result.m_worth /= requests;
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
  std::uint64_t m_in_time = 0;
  ModelResult m_result;
};

}  // namespace jujube::bench
