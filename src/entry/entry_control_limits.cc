// Limits, views, quotas and allotments of EntryControl.

#include "entry/entry_control.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/endpoint_text.h"
#include "limits/topology.h"
#include "observe/log.h"
#include "observe/metrics.h"
#include "quotas/quota_timing.h"
#include "steering/affinity_policy.h"
#include "steering/candidate_collector.h"

namespace jujube::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds kRenewInterval{1000};
constexpr milliseconds kRenewTimeout{900};
// After a renewal that took longer than the interval.
constexpr milliseconds kMinRenewPause{50};

// Time without reports from control hosts also changes the entry hosts that
// callers are told, so the lists are computed again at this interval.
constexpr milliseconds kEntryHostListsInterval{250};

// Left between the last deadline during a planned stop and the end of the stop,
// for the response.
constexpr milliseconds kLastResponseTime{100};

RegionId RegionOf(const Deployment& deployment,
                  const AvailabilityZoneId& zone) {
  for (const AvailabilityZone& candidate : deployment.m_availability_zones) {
    if (candidate.m_name == zone)
      return candidate.m_region;
  }
  return {};
}

}  // namespace

// ---- Limits and views ------------------------------------------------------

void EntryControl::TrackLimits() {
  if (!UsesAllotments())
    return;
  const limits::Topology topology =
      limits::MakeTopology(m_feed_state->m_deployment);
  const AvailabilityZoneId& local_zone =
      m_shared.m_settings.m_availability_zone;
  const LimitId local_region =
      limits::RegionLimit(RegionOf(m_feed_state->m_deployment, local_zone));
  for (const limits::Cap& cap : topology.m_caps) {
    if (cap.m_limit.m_kind == LimitKind::kShift)
      continue;
    const bool is_local_region = cap.m_limit == local_region;
    m_allotments.Track({.m_limit = cap.m_limit,
                        .m_min_demand = is_local_region ? cap.m_size : 0});
  }
  for (const membership::Member& member : m_registry.Snapshot().m_members) {
    const Announcement& announcement = member.m_announcement;
    const bool is_local = announcement.m_availability_zone == local_zone;
    m_allotments.Track({.m_limit = limits::SlotLimit(announcement.m_service,
                                                     announcement.m_instance),
                        .m_cap = announcement.m_slots,
                        .m_zone = announcement.m_availability_zone,
                        .m_min_demand = is_local ? announcement.m_slots : 0U});
  }
}

// Share of this host in the retry burst that all entry hosts may use together.
std::uint32_t EntryControl::LocalRetryBurst() const {
  const auto total_burst = m_shared.m_settings.m_retry_burst_of_all_hosts;
  if (!total_burst)
    return steering::RetryBudget::kDefaultBurst;
  const std::size_t hosts = std::max<std::size_t>(m_entry_hosts.size(), 1);
  return std::min(steering::RetryBudget::kDefaultBurst,
                  static_cast<std::uint32_t>(*total_burst / hosts));
}

const std::map<AvailabilityZoneId, std::uint32_t>&
EntryControl::CountEntryHostsByZone(MonoTime now) {
  std::map<AvailabilityZoneId, std::uint32_t> counts;
  for (const EntryHostState& host : m_entry_host_directory.UsableHosts(now))
    ++counts[host.m_presence.m_availability_zone];
  for (const auto& [zone, count] : counts) {
    std::uint32_t& highest = m_entry_hosts_by_zone[zone];
    highest = std::max(highest, count);
  }
  return m_entry_hosts_by_zone;
}

void EntryControl::PublishView() {
  m_is_view_outdated = false;
  m_shared.m_entry_hosts.store(static_cast<std::uint32_t>(m_entry_hosts.size()),
                               std::memory_order_relaxed);
  m_published_registry_version = m_registry.Version();
  const std::vector<Drain> drains = ActiveDrains();
  const membership::RegistrySnapshot snapshot = m_registry.Snapshot();
  const steering::ViewInputs inputs{
      .m_registry = snapshot,
      .m_deployment = m_feed_state->m_deployment,
      .m_drains = drains,
      .m_zone = m_shared.m_settings.m_availability_zone,
      .m_now = MonoClock::now(),
      .m_host = m_shared.m_settings.m_host,
      .m_entry_hosts = m_entry_hosts,
      .m_queue_factor = m_shared.m_settings.m_discovers_control
                            ? steering::AffinityPolicy::kQueueFactor
                            : 1,
      .m_entry_hosts_by_zone =
          m_shared.m_settings.m_selects_by_cost &&
                  m_feed_state->m_deployment.m_overload_control
              ? std::optional(CountEntryHostsByZone(MonoClock::now()))
              : std::nullopt,
      .m_retry_burst = LocalRetryBurst(),
      .m_grants =
          UsesAllotments() ? std::optional(m_slot_grants) : std::nullopt};
  m_upstreams = std::make_shared<const steering::UpstreamView>(
      steering::BuildView(inputs, m_counters));
  auto view = std::make_unique<ServingView>();
  view->m_index = m_feed_state->m_index;
  view->m_region = RegionOf(m_feed_state->m_deployment,
                            m_shared.m_settings.m_availability_zone);
  view->m_entry_hosts = std::max<std::size_t>(
      {m_entry_hosts.size(), m_feed_state->m_deployment.m_entry_hosts.size(),
       1});
  view->m_lookup = m_lookup;
  view->m_upstreams = m_upstreams;
  view->m_routes = m_is_config_confirmed
                       ? m_routes
                       : std::make_shared<const steering::RouteTable>();
  view->m_tenants = m_tenants;
  if (m_shared.m_settings.m_discovers_control)
    view->m_quotas = m_quotas.Table();
  view->m_limits = UsesAllotments() ? m_allotments.Table() : nullptr;
  view->m_is_refusing_requests =
      m_drain && m_drain->m_phase >= request::DrainPhase::kWaitingForRequests;
  if (m_drain) {
    const request::DrainLimits limits = MakeDrainLimits();
    view->m_stop = {
        .m_requests_end_by =
            request::EarliestCut(*m_drain, limits) - kLastResponseTime,
        .m_shortening_ends_at = request::LatestFullAdmission(*m_drain, limits)};
  }
  const MonoTime now = MonoClock::now();
  UpdateHostCap(now);
  m_shared.m_view.Publish(std::move(view));
  m_counters.Prune(now);
}

void EntryControl::UpdateHostCap(MonoTime now) {
  std::uint32_t usable_slots = 0;
  for (const steering::ServiceUpstreams& service : m_upstreams->m_services)
    usable_slots += steering::CountSlots(service, now).m_usable;
  m_shared.m_host_cap.store(usable_slots, std::memory_order_relaxed);
}

// Callers are told the hosts that the control hosts report, and this host while
// it is ready: it knows its own state better and may be cut off from them.
void EntryControl::UpdateEntryHostLists(MonoTime now) {
  if (!m_shared.m_settings.m_discovers_control || now < m_entry_host_lists_due)
    return;
  m_entry_host_lists_due = now + kEntryHostListsInterval;
  std::vector<lookup::EntryHostCandidate> candidates;
  for (const EntryHostState& host : m_entry_host_directory.UsableHosts(now)) {
    if (host.m_host != m_shared.m_settings.m_host) {
      candidates.push_back(
          {.m_zone = host.m_presence.m_availability_zone,
           .m_caller_listener = host.m_presence.m_caller,
           .m_load_permille = host.m_presence.m_load_permille});
    }
  }
  if (IsReady()) {
    candidates.push_back({.m_zone = m_shared.m_settings.m_availability_zone,
                          .m_caller_listener = m_shared.m_settings.m_caller,
                          .m_load_permille = m_load_permille});
  }
  lookup::RegionByZone region_by_zone;
  for (const AvailabilityZone& zone :
       m_feed_state->m_deployment.m_availability_zones)
    region_by_zone[zone.m_name] = zone.m_region;
  m_spill_plan =
      lookup::NextSpillPlan(m_spill_plan, lookup::LoadsByZone(candidates), now);
  lookup::EntryHostLists lists(candidates, region_by_zone, m_spill_plan);
  if (lists == m_entry_host_lists)
    return;
  m_entry_host_lists = lists;
  m_shared.m_entry_host_lists.Publish(
      std::make_unique<lookup::EntryHostLists>(std::move(lists)));
}

// ---- Quotas ----------------------------------------------------------------

void EntryControl::ReportQuotas(MonoTime now) {
  const std::optional<Endpoint> leader =
      m_quotas.Leader() ? ParseEndpoint(m_quotas.Leader()->m_host.m_value)
                        : std::nullopt;
  const bool is_connected = leader && m_peers.PeerIncarnation(*leader) ==
                                          m_quotas.Leader()->m_incarnation;
  if (!is_connected) {
    m_quotas.ExpireLease(now);
    return;
  }
  const std::optional<QuotaReport> report = m_quotas.NextReport(now);
  if (report)
    m_peers.Send(*leader, *report);
}

asio::awaitable<void> EntryControl::QuotaLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    timer.expires_after(quotas::kUrgentReportInterval);
    co_await timer.async_wait(kAwaitTuple);
    if (!m_is_stopped && m_quotas.IsReportWanted())
      ReportQuotas(MonoClock::now());
  }
}

void EntryControl::LogLimitChanges(MonoTime now) {
  for (const quotas::LimitChange& change : m_quotas.TakeLimitChanges(now)) {
    observe::Log(
        change.m_is_at_limit ? LogEvent::kTenantAtLimit
                             : LogEvent::kTenantBelowLimit,
        {{"tenant", change.m_tenant.m_value}, {"refused", change.m_refused}});
  }
  observe::GaugeOf(Metric::kTenantsAtLimit)
      .Set(static_cast<std::int64_t>(m_quotas.TenantsAtLimit()));
}

// ---- Allotments ------------------------------------------------------------

asio::awaitable<void> EntryControl::RenewLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    const MonoTime started = MonoClock::now();
    co_await RenewOnce();
    timer.expires_after(std::max<MonoClock::duration>(
        kRenewInterval - (MonoClock::now() - started), kMinRenewPause));
    co_await timer.async_wait(kAwaitTuple);
  }
}

asio::awaitable<void> EntryControl::RenewOnce() {
  const MonoTime now = MonoClock::now();
  AllotmentRequest request =
      m_allotments.NextRequest(m_feed_state->m_index, now);
  m_metrics.OnRenewal(request, *m_allotments.Table(), now);
  const std::optional<AllotmentReply> reply =
      co_await m_leader.Call<AllotmentReply>(std::move(request),
                                             now + kRenewTimeout);
  if (!reply || !m_allotments.OnReply(*reply))
    co_return;
  m_slot_grants = ReadSlotGrants(*reply, m_allotments.LeaseEnd());
  MarkViewOutdated();
}

}  // namespace jujube::entry
