#include "entry/entry_control.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/endpoint_text.h"
#include "entry/feed_lag.h"
#include "feed/change.h"
#include "limits/topology.h"
#include "observe/log.h"
#include "observe/metrics.h"
#include "quotas/quota_timing.h"
#include "steering/affinity_policy.h"
#include "steering/candidate_collector.h"
#include "steering/outlier_ejector.h"
#include "steering/rate_shares.h"
#include "steering/shift_state.h"

// Sections: construction and peers, configuration, ticks, planned stop, status.
// entry_control_limits.cc has the rest.

namespace jujube::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
// Registry changes within one tick are published as one view. This delays an
// announcement by half a tick on average.
constexpr milliseconds kTickInterval{50};
// Heartbeats to and from discovered control hosts. A control host times out
// after three lost heartbeats.
constexpr milliseconds kPresenceInterval{500};
constexpr milliseconds kControlTimeout{1700};
// A control host that is silent for longer than a restart or a transient
// network partition is taken to be gone, as long as others are heard.
constexpr milliseconds kControlHostLostTimeout{20000};

membership::RegistryLimits MakeRegistryLimits(const EntrySettings& settings) {
  membership::RegistryLimits limits;
  // The control hosts report expired instances, so the lease here is
  // practically unlimited.
  if (settings.m_discovers_control) {
    limits.m_lease_duration = std::chrono::hours(24 * 365);
    limits.m_relays_refreshes = false;
  }
  return limits;
}

net::FrameOptions MakeFrameOptions(const EntryShared& shared,
                                   const std::string& key,
                                   net::FrameCounters* counters) {
  net::FrameOptions options;
  options.m_key = key;
  options.m_counters = counters;
  options.m_incarnation = shared.m_incarnation;
  options.m_on_event = [](LogEvent event, std::string_view detail) {
    observe::Log(event, {{"detail", detail}});
  };
  return options;
}

}  // namespace

// ---- Construction and peers ------------------------------------------------

EntryControl::EntryControl(asio::io_context& io,
                           EntryShared& shared,
                           const std::string& peer_key)
    : m_io(io),
      m_shared(shared),
      m_frame_options(MakeFrameOptions(shared, peer_key, &m_frame_counters)),
      m_leader(io, m_frame_options, shared.m_settings.m_control),
      m_claims(io, m_leader),
      m_feed_state(std::make_shared<const FeedState>()),
      m_lookup(std::make_shared<const lookup::Table>()),
      m_routes(std::make_shared<const steering::RouteTable>()),
      m_tenants(std::make_shared<const tenants::TenantTable>()),
      m_quotas(shared.m_settings.m_host, shared.m_incarnation),
      m_key_lease(shared.m_settings.m_discovers_control
                      ? shared.m_settings.m_key_lease
                      : std::nullopt),
      m_is_config_confirmed(!shared.m_settings.m_discovers_control),
      m_registry(MakeRegistryLimits(shared.m_settings)),
      m_allotments(shared.m_settings.m_host, shared.m_incarnation),
      // Not null: the first tick may precede the first feed state.
      m_upstreams(std::make_shared<const steering::UpstreamView>()),
      m_peers(io,
              m_frame_options,
              shared.m_settings.m_host,
              m_registry,
              MakePeerOptions()) {}

EntryControl::~EntryControl() = default;

bool EntryControl::HasControlHosts() const {
  return !m_shared.m_settings.m_control.empty();
}

bool EntryControl::UsesAllotments() const {
  return HasControlHosts() && !m_shared.m_settings.m_discovers_control;
}

net::PeerExchangeOptions EntryControl::MakePeerOptions() {
  net::PeerExchangeOptions options;
  options.m_on_leaving = [this] {
    RebuildLookup();
    PublishView();
  };
  if (m_shared.m_settings.m_discovers_control) {
    options.m_interval = kPresenceInterval;
    options.m_silence = kControlTimeout;
    options.m_sends_changes = false;
    options.m_on_delta = [this](const RegistryDelta& delta) {
      OnPeerDelta(delta);
    };
    options.m_add_handlers = [this](const Endpoint& endpoint,
                                    net::FrameDispatch* handlers) {
      handlers->On<QuotaGrant>([this, endpoint](const net::FrameSource& source,
                                                const QuotaGrant& grant) {
        m_quotas.OnGrant({.m_host = {EndpointText(endpoint)},
                          .m_incarnation = source.m_incarnation},
                         grant);
      });
    };
  }
  return options;
}

void EntryControl::OnPeerDelta(const RegistryDelta& delta) {
  // The reply promises the sender that a leaving upstream gets no further
  // requests, so the workers' view must be updated before it is sent.
  const bool has_leave = std::any_of(
      delta.m_entries.begin(), delta.m_entries.end(),
      [](const RegistryEntry& entry) {
        return entry.m_announcement.m_state == UpstreamState::kLeaving;
      });
  if (has_leave && m_registry.Version() != m_published_registry_version)
    PublishView();
  if (!delta.m_entry_hosts.empty() && delta.m_entry_hosts != m_entry_hosts) {
    m_entry_hosts = delta.m_entry_hosts;
    MarkViewOutdated();
  }
  if (!delta.m_entry_host_states.empty())
    m_entry_host_lists_due = MonoTime{};
  if (delta.m_lease) {
    const MonoTime now = MonoClock::now();
    const std::optional<MonoTime> confirmed_at =
        m_key_lease.OnStatement(*delta.m_lease, now);
    if (confirmed_at) {
      m_quotas.OnLeader(
          {.m_host = delta.m_host, .m_incarnation = delta.m_incarnation},
          *confirmed_at);
    }
    UpdateKeyLease(now);
  }
  m_entry_host_directory.OnReport(delta.m_host, delta.m_incarnation,
                                  delta.m_entry_host_states, MonoClock::now());
  const std::optional<Endpoint> sender = ParseEndpoint(delta.m_host.m_value);
  if (sender)
    m_feed_index_by_host[*sender] = delta.m_feed_index;
  if (sender && delta.m_feed_index >= m_newest_feed_index) {
    m_newest_feed_index = delta.m_feed_index;
    m_newest_feed_host = *sender;
  }
  // A control host sends its list of control hosts only when the list changes.
  ControlHostReport& report = m_control_host_reports[delta.m_host];
  report.m_heard_at = MonoClock::now();
  if (delta.m_control_hosts.empty())
    return;
  report.m_hosts = delta.m_control_hosts;
  UpdateControlHosts(MonoClock::now());
}

// The lists of all senders are merged, because a partitioned host may have an
// incomplete one. The list of a sender that is gone would name hosts that are
// gone too, so it is dropped while others are heard.
void EntryControl::UpdateControlHosts(MonoTime now) {
  m_control_hosts_due = now + kControlTimeout;
  const bool hears_any =
      std::any_of(m_control_host_reports.begin(), m_control_host_reports.end(),
                  [&](const auto& element) {
                    return now - element.second.m_heard_at < kControlTimeout;
                  });
  if (hears_any) {
    std::erase_if(m_control_host_reports, [&](const auto& element) {
      return now - element.second.m_heard_at > kControlHostLostTimeout;
    });
  }
  std::vector<Endpoint> hosts = m_seeds;
  for (const auto& [sender, report] : m_control_host_reports) {
    for (const Endpoint& host : report.m_hosts) {
      if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
        hosts.push_back(host);
    }
  }
  if (hosts == m_control_hosts)
    return;
  m_control_hosts = hosts;
  m_peers.SetPeers(hosts);
  if (m_feed_client && m_shared.m_settings.m_feed_parents.empty())
    m_feed_client->SetParents(hosts);
}

void EntryControl::SetSeeds(const std::vector<Endpoint>& seeds) {
  if (!m_shared.m_settings.m_discovers_control || seeds.empty())
    return;
  m_seeds = seeds;
  UpdateControlHosts(MonoClock::now());
}

// Switches the feed to the control host with the newest state if the current
// parent lacks it, for example because it is partitioned from the others.
void EntryControl::SwitchToNewerFeed(MonoTime now) {
  if (!m_feed_client || m_newest_feed_index <= m_feed_state->m_index) {
    m_behind_since.reset();
    return;
  }
  if (!m_behind_since)
    m_behind_since = now;
  const auto parent =
      m_feed_index_by_host.find(m_feed_client->ParentEndpoint());
  const FeedLag lag{
      .m_behind_since = *m_behind_since,
      .m_advanced_at = m_feed_advanced_at,
      .m_parent_switched_at = m_parent_switched_at,
      .m_parent_has_newest = parent != m_feed_index_by_host.end() &&
                             parent->second >= m_newest_feed_index};
  if (!MustLeaveParent(lag, now))
    return;
  m_parent_switched_at = now;
  m_feed_client->SwitchTo(m_newest_feed_host);
}

// Updates the readiness of this host and reports it to the control hosts, which
// direct callers here only while it is ready.
void EntryControl::UpdatePresence() {
  const MonoTime now = MonoClock::now();
  m_load_permille = lookup::QuantizedLoad(
      m_load_permille,
      std::max(
          m_shared.m_link.UtilizationPermille(limits::LinkSide::kIn, now),
          m_shared.m_link.UtilizationPermille(limits::LinkSide::kOut, now)));
  const bool is_ready = m_feed_state->m_deployment.m_number > 0 &&
                        m_is_config_confirmed && !m_drain &&
                        !m_is_key_lease_expired;
  const bool is_changed = m_is_ready.exchange(is_ready) != is_ready;
  if (is_changed)
    m_entry_host_lists_due = MonoTime{};
  if (!m_shared.m_settings.m_discovers_control)
    return;
  m_peers.SetPresence(
      {.m_availability_zone = m_shared.m_settings.m_availability_zone,
       .m_caller = m_shared.m_settings.m_caller,
       .m_ready = is_ready,
       .m_load_permille = m_load_permille});
  if (is_changed)
    m_peers.SendNow();
}

net::FeedClientOptions EntryControl::MakeFeedOptions() const {
  const EntrySettings& settings = m_shared.m_settings;
  net::FeedClientOptions options{.m_frames = m_frame_options,
                                 .m_host = settings.m_host,
                                 .m_parents = settings.m_feed_parents.empty()
                                                  ? settings.m_control
                                                  : settings.m_feed_parents};
  if (settings.m_discovers_control) {
    // The feed comes directly from the control hosts without relays, so a short
    // timeout is enough to leave one that is silent or partitioned.
    options.m_heartbeat = kPresenceInterval;
    options.m_silence = kControlTimeout;
    options.m_max_origin_age = kControlTimeout;
  }
  return options;
}

Status EntryControl::Start(std::optional<Deployment> initial_deployment) {
  m_feed_server = std::make_unique<net::FeedServer>(
      m_io,
      net::FeedServerOptions{.m_origin_age =
                                 [this] {
                                   return m_feed_client
                                              ? m_feed_client->OriginAge()
                                              : milliseconds(0);
                                 }},
      m_subscriber_statuses);
  net::FrameDispatch handlers;
  m_feed_server->Register(&handlers);
  handlers.On<RegistryDelta>(
      [this](const net::FrameSource&, const RegistryDelta& delta) {
        m_peers.OnDelta(delta, MonoClock::now());
        MarkViewOutdated();
      });
  m_frame_server = std::make_unique<net::FrameServer>(m_io, m_frame_options,
                                                      std::move(handlers));
  JUJUBE_TRY(m_frame_server->Start(m_shared.m_settings.m_peer));
  m_feed_server->Start();
  if (initial_deployment) {
    ApplyFeedState(std::make_shared<const FeedState>(
        feed::Canonical({.m_deployment = *std::move(initial_deployment)})));
  }
  UpdatePresence();
  SetSeeds(m_shared.m_settings.m_control);
  m_peers.Start();
  if (HasControlHosts()) {
    m_feed_client = std::make_unique<net::FeedClient>(m_io, MakeFeedOptions(),
                                                      m_subscriber_statuses);
    m_feed_client->OnState(
        [this](const feed::Subscriber::State& state, const FeedChange* change) {
          // A relay forwards the change before it rebuilds its own tables.
          const Status published = change != nullptr
                                       ? m_feed_server->Publish(state, *change)
                                       : m_feed_server->Publish(state);
          if (published)
            ApplyFeedState(state);
        });
    m_feed_client->Start();
  }
  if (UsesAllotments()) {
    m_leader.Start();
    asio::co_spawn(m_io, RenewLoop(), asio::detached);
  }
  asio::co_spawn(m_io, TickLoop(), asio::detached);
  if (m_shared.m_settings.m_discovers_control)
    asio::co_spawn(m_io, QuotaLoop(), asio::detached);
  return Success();
}

void EntryControl::Stop() {
  m_is_stopped = true;
  m_peers.Stop();
  m_leader.Stop();
  if (m_feed_client)
    m_feed_client->Stop();
  if (m_frame_server)
    m_frame_server->Stop();
  if (m_feed_server)
    m_feed_server->Stop();
}

// ---- Configuration ---------------------------------------------------------

void EntryControl::ApplyFeedState(std::shared_ptr<const FeedState> state) {
  m_feed_state = std::move(state);
  m_feed_advanced_at = MonoClock::now();
  if (!m_shared.m_settings.m_discovers_control) {
    m_peers.SetPeers(net::EntryPeersOf(m_feed_state->m_deployment,
                                       m_shared.m_settings.m_host));
  }
  m_routes = std::make_shared<const steering::RouteTable>(
      m_feed_state->m_deployment.m_routes);
  if (m_tenants->All() != m_feed_state->m_deployment.m_tenants) {
    m_tenants = std::make_shared<const tenants::TenantTable>(
        m_feed_state->m_deployment.m_tenants);
    if (m_shared.m_settings.m_discovers_control)
      m_quotas.SetTenants(m_tenants->All());
  }
  const bool controls_overload = m_feed_state->m_deployment.m_overload_control;
  m_shared.m_controls_overload.store(controls_overload,
                                     std::memory_order_relaxed);
  m_shared.m_link.SetActive(controls_overload);
  RebuildLookup();
  TrackLimits();
  PublishView();
  // Only now, since a lease must not cover requests that still use the keys of
  // the previous view.
  UpdateKeyLease(m_feed_advanced_at);
  observe::GaugeOf(Metric::kConfigIndex)
      .Set(static_cast<std::int64_t>(m_feed_state->m_index));
}

std::vector<Drain> EntryControl::ActiveDrains() const {
  std::vector<Drain> drains =
      steering::DrainsInForce(m_feed_state->m_drains, m_feed_state->m_shift);
  for (const HostId& host : m_peers.LeavingHosts())
    drains.push_back({.m_kind = DrainKind::kEntryHost, .m_name = host.m_value});
  return drains;
}

void EntryControl::RebuildLookup() {
  Result<lookup::Table> table = lookup::Table::Build(
      m_feed_state->m_deployment, ActiveDrains(), m_feed_state->m_shift);
  if (!table) {
    observe::Log(
        LogEvent::kDocumentUnusable,
        {{"index", m_feed_state->m_index}, {"error", table.error().m_message}});
    return;
  }
  m_lookup = std::make_shared<const lookup::Table>(std::move(table).value());
}

// ---- Ticks -----------------------------------------------------------------

void EntryControl::OnAnnouncement(const Announcement& announcement) {
  m_metrics.OnAnnouncement(
      announcement,
      m_registry.Merge({.m_announcement = announcement}, MonoClock::now()));
}

asio::awaitable<void> EntryControl::TickLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    Tick(MonoClock::now());
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kAwaitTuple);
  }
}

void EntryControl::Tick(MonoTime now) {
  for (const membership::InstanceKey& key : m_registry.Expire(now)) {
    observe::Log(LogEvent::kInstanceExpired,
                 {{"service", key.m_service.m_value},
                  {"instance", key.m_instance.m_value}});
    m_allotments.Untrack(limits::SlotLimit(key.m_service, key.m_instance));
    MarkViewOutdated();
  }
  if (m_registry.Version() != m_published_registry_version) {
    TrackLimits();
    MarkViewOutdated();
  }
  for (const steering::ServiceUpstreams& service : m_upstreams->m_services) {
    m_metrics.OnEjections(service.m_service.m_name,
                          steering::EvaluateOutliers(service, {}, now));
  }
  steering::SetEqualRateShares(
      *m_upstreams, std::max(m_entry_hosts.size(),
                             m_feed_state->m_deployment.m_entry_hosts.size()));
  UpdateHostCap(now);
  AdvanceDrain(now);
  SwitchToNewerFeed(now);
  UpdateConfigConfirmation(now);
  UpdateKeyLease(now);
  ReportQuotas(now);
  UpdatePresence();
  UpdateEntryHostLists(now);
  if (m_shared.m_settings.m_discovers_control && now >= m_control_hosts_due)
    UpdateControlHosts(now);
  if (m_is_view_outdated)
    PublishView();
  if (m_metrics.IsDue(now)) {
    LogLimitChanges(now);
    UpdateMetrics(now);
  }
}

void EntryControl::UpdateConfigConfirmation(MonoTime now) {
  if (!m_feed_client || m_behind_since)
    return;
  const MonoTime confirmed_at = now - m_feed_client->OriginAge();
  m_shared.m_config_confirmed_at.store(confirmed_at);
  if (m_is_config_confirmed || now - confirmed_at > kMaxConfigAge)
    return;
  m_is_config_confirmed = true;
  MarkViewOutdated();
}

void EntryControl::UpdateKeyLease(MonoTime now) {
  const MonoTime end = m_key_lease.EndAt(m_feed_state->m_index);
  m_shared.m_key_lease_end.store(end, std::memory_order_release);
  const bool is_expired = !m_tenants->empty() && now >= end;
  if (std::exchange(m_is_key_lease_expired, is_expired) == is_expired)
    return;
  observe::Log(
      is_expired ? LogEvent::kKeyLeaseExpired : LogEvent::kKeyLeaseRenewed,
      {{"index", m_feed_state->m_index},
       {"number", m_feed_state->m_deployment.m_number}});
}

void EntryControl::UpdateMetrics(MonoTime now) {
  const auto lease_left =
      std::chrono::duration_cast<milliseconds>(m_allotments.LeaseEnd() - now);
  m_metrics.Update(
      {.m_now = now,
       .m_feed_age =
           m_feed_client ? m_feed_client->OriginAge() : milliseconds(0),
       .m_lease_left = std::max(milliseconds(0), lease_left),
       .m_subscribers = m_feed_server->Subscribers(),
       .m_snapshots_started = m_feed_server->Source().SnapshotsStarted()},
      *m_upstreams, m_frame_counters);
}

// ---- Planned stop ----------------------------------------------------------

void EntryControl::StartDrain(std::function<void()> on_drained) {
  if (m_drain)
    return;
  m_on_drained = std::move(on_drained);
  m_drain = request::StartDrain(MonoClock::now());
  m_peers.SetLeaving();
  observe::Log(LogEvent::kDrainStarted, {});
}

request::DrainLimits EntryControl::MakeDrainLimits() const {
  request::DrainLimits limits{
      .m_lookup_lifetime = milliseconds(0),
      .m_request_timeout = m_shared.m_settings.m_drain_limit,
      .m_stop_limit = m_shared.m_settings.m_stop_limit};
  for (const Service& service : m_feed_state->m_deployment.m_services) {
    limits.m_lookup_lifetime =
        std::max(limits.m_lookup_lifetime, service.m_lookup_lifetime);
  }
  // A control host confirms with its next message; one that does not is
  // unreachable.
  if (m_shared.m_settings.m_discovers_control)
    limits.m_propagation_timeout = kPresenceInterval;
  return limits;
}

void EntryControl::AdvanceDrain(MonoTime now) {
  if (!m_drain || m_drain->m_phase == request::DrainPhase::kDone)
    return;
  const request::DrainPhase previous_phase = m_drain->m_phase;
  m_drain = request::Advance(
      *m_drain,
      {.m_now = now,
       .m_is_omitted_everywhere = m_peers.IsOmittedEverywhere(now),
       .m_in_progress = m_shared.m_in_progress.load()},
      MakeDrainLimits());
  if (m_drain->m_phase == previous_phase)
    return;
  MarkViewOutdated();
  observe::Log(LogEvent::kHostDrainStep,
               {{"phase", request::ToString(m_drain->m_phase)}});
  if (m_drain->m_phase == request::DrainPhase::kDone)
    m_on_drained();
}

bool EntryControl::WasDrainCutShort() const {
  return m_drain && m_drain->m_is_cut_short;
}

// ---- Status ----------------------------------------------------------------

EntryStatus EntryControl::CurrentStatus() const {
  const MonoTime now = MonoClock::now();
  EntryStatus status{
      .m_host = m_shared.m_settings.m_host,
      .m_incarnation = m_shared.m_incarnation,
      .m_index = m_feed_state->m_index,
      .m_number = m_feed_state->m_deployment.m_number,
      .m_feed_connected = m_feed_client && m_feed_client->IsConnected(),
      .m_feed_age =
          m_feed_client ? m_feed_client->OriginAge() : milliseconds(0),
      .m_lease_left = std::max(
          milliseconds(0),
          // Rounded up, so that 0 means that the lease has expired.
          std::chrono::ceil<milliseconds>(m_allotments.LeaseEnd() - now)),
      .m_in_progress = m_shared.m_in_progress.load(),
      .m_phase = m_drain ? std::string(request::ToString(m_drain->m_phase))
                         : "serving",
      .m_omitted = m_peers.LeavingHosts()};
  for (const steering::ServiceUpstreams& service : m_upstreams->m_services) {
    const steering::SlotTotals slots = steering::CountSlots(service, now);
    status.m_services.push_back(
        {.m_service = service.m_service.m_name,
         .m_instances = static_cast<std::uint32_t>(service.m_upstreams.size()),
         .m_usable_slots = slots.m_usable,
         .m_slots_in_use = slots.m_in_use});
  }
  return status;
}

}  // namespace jujube::entry
