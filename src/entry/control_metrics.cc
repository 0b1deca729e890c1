#include "entry/control_metrics.h"

#include "observe/log.h"
#include "observe/metrics.h"
#include "steering/candidate_collector.h"

namespace jujube::entry {

using membership::MergeOutcome;
using observe::GaugeOf;

void ControlMetrics::OnAnnouncement(const Announcement& announcement,
                                    MergeOutcome outcome) {
  observe::CounterOf(Metric::kAnnouncements, membership::ToString(outcome))
      .Add();
  const auto log = [&](LogEvent event) {
    observe::Log(event, {{"service", announcement.m_service.m_value},
                         {"instance", announcement.m_instance.m_value},
                         {"incarnation", announcement.m_incarnation},
                         {"outcome", membership::ToString(outcome)}});
  };
  switch (outcome) {
    case MergeOutcome::kAppeared:
      log(LogEvent::kInstanceAppeared);
      break;
    case MergeOutcome::kLeft:
      log(LogEvent::kInstanceLeaving);
      break;
    case MergeOutcome::kFinal:
    case MergeOutcome::kFull:
      log(LogEvent::kAnnouncementRefused);
      break;
    default:
      break;
  }
}

void ControlMetrics::OnEjections(
    const ServiceId& service,
    const std::vector<steering::EjectionChange>& changes) {
  std::set<InstanceId> suppressed;
  std::set<InstanceId>& previous = m_suppressed_ejections[service];
  for (const steering::EjectionChange& change : changes) {
    const bool is_ejected =
        change.m_kind == steering::EjectionChange::Kind::kEjected;
    if (is_ejected)
      observe::CounterOf(Metric::kEjections, service.m_value).Add();
    else
      suppressed.insert(change.m_instance);
    if (is_ejected || !previous.contains(change.m_instance)) {
      observe::Log(
          is_ejected ? LogEvent::kInstanceEjected : LogEvent::kEjectionBounded,
          {{"service", service.m_value},
           {"instance", change.m_instance.m_value},
           {"consecutive_failures", change.m_consecutive_failures},
           {"connect_timeouts", change.m_connect_timeouts},
           {"failure_permille", change.m_failure_permille}});
    }
  }
  previous = std::move(suppressed);
}

void ControlMetrics::OnRenewal(const AllotmentRequest& request,
                               const limits::LimitTable& table,
                               MonoTime now) {
  for (const AllotmentDemand& demand : request.m_demands) {
    const LimitId& limit = demand.m_limit;
    const bool is_link = limit.m_kind == LimitKind::kLink;
    if (!is_link && limit.m_kind != LimitKind::kRegion)
      continue;
    GaugeOf(is_link ? Metric::kLinkUse : Metric::kRegionInProgress,
            limit.m_name)
        .Set(static_cast<std::int64_t>(demand.m_in_use));
    GaugeOf(is_link ? Metric::kLinkUsable : Metric::kRegionUsable, limit.m_name)
        .Set(static_cast<std::int64_t>(table.Usable(limit, now)));
  }
}

void ControlMetrics::Update(const ControlMetricsSample& sample,
                            const steering::UpstreamView& view,
                            const net::FrameCounters& frames) {
  m_next_update = sample.m_now + kInterval;
  GaugeOf(Metric::kFeedAge).Set(sample.m_feed_age.count());
  GaugeOf(Metric::kLeaseLeft).Set(sample.m_lease_left.count());
  GaugeOf(Metric::kFeedSubscribers)
      .Set(static_cast<std::int64_t>(sample.m_subscribers));
  observe::CounterOf(Metric::kFeedSnapshots)
      .Add(sample.m_snapshots_started - m_counted_snapshots);
  m_counted_snapshots = sample.m_snapshots_started;
  m_frames.Update(frames);
  UpdateServices(view, sample.m_now);
}

void ControlMetrics::UpdateServices(const steering::UpstreamView& view,
                                    MonoTime now) {
  const auto set = [](Metric metric, const ServiceId& service,
                      std::size_t value) {
    GaugeOf(metric, service.m_value).Set(static_cast<std::int64_t>(value));
  };
  std::set<ServiceId> present;
  for (const steering::ServiceUpstreams& service : view.m_services) {
    const ServiceId& name = service.m_service.m_name;
    std::size_t ejected = 0;
    for (const steering::Upstream& upstream : service.m_upstreams)
      ejected += upstream.m_counters->Observe().m_ejected_until > now ? 1U : 0U;
    const steering::SlotTotals slots = steering::CountSlots(service, now);
    set(Metric::kUpstreams, name, service.m_upstreams.size() - ejected);
    set(Metric::kUpstreamsEjected, name, ejected);
    set(Metric::kSlotsUsable, name, slots.m_usable);
    set(Metric::kSlotsInUse, name, slots.m_in_use);
    present.insert(name);
  }
  // Reset the gauges of services that were removed from the deployment.
  for (const ServiceId& name : m_reported_services) {
    if (present.contains(name))
      continue;
    for (const Metric metric : {Metric::kUpstreams, Metric::kUpstreamsEjected,
                                Metric::kSlotsUsable, Metric::kSlotsInUse})
      set(metric, name, 0);
    m_suppressed_ejections.erase(name);
  }
  m_reported_services = std::move(present);
}

}  // namespace jujube::entry
