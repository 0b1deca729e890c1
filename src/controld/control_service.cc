#include "controld/control_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control/command.h"
#include "controld/control_operations.h"
#include "core/clock.h"
#include "feed/change.h"
#include "observe/log.h"
#include "observe/metrics.h"

namespace jujube::controld {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Renewals that arrive within this window are proposed as one command.
constexpr milliseconds kRenewalBatchWindow{20};
// Interval of lost host checks, shift steps and metrics while no renewals
// arrive.
constexpr milliseconds kIdleRenewalInterval{1000};
constexpr milliseconds kShiftInterval{1000};
// A joining host becomes a voter after two changes, so within a second.
constexpr milliseconds kPeerInterval{200};
constexpr milliseconds kFeedHeartbeat{1000};
// Discovered entry hosts leave a control host that is silent for 1.7 s, and
// distrust a configuration that was not confirmed for as long.
constexpr milliseconds kPresenceInterval{500};

// Only the replica that proposed the claim logs, so each is logged once.
void LogClaim(const ClaimRequest& request, const ClaimReply& reply) {
  if (reply.m_outcome == ClaimOutcome::kStoreFull) {
    observe::Log(LogEvent::kClaimStoreFull,
                 {{"service", request.m_service.m_value}});
  } else if (reply.m_outcome == ClaimOutcome::kConflict) {
    observe::Log(LogEvent::kClaimConflict,
                 {{"service", request.m_service.m_value},
                  {"host", request.m_host.m_value},
                  {"key", request.m_key}});
  }
}

// The lost hosts that the registry still records as alive.
std::vector<LostHost> UnrecordedLostHosts(
    std::vector<LostHost> lost_hosts,
    const control::HostRegistry& registry) {
  const std::vector<EntryHostStatus> hosts = registry.All();
  std::erase_if(lost_hosts, [&](const LostHost& lost) {
    return std::none_of(hosts.begin(), hosts.end(),
                        [&](const EntryHostStatus& host) {
                          return host.m_host == lost.m_host && host.m_alive &&
                                 host.m_incarnation == lost.m_incarnation;
                        });
  });
  return lost_hosts;
}

UnixMillis WallNow() {
  return SystemClock().WallNow();
}

}  // namespace

ControlService::ControlService(boost::asio::io_context& io,
                               const ControlSettings& settings,
                               const net::FrameOptions& frames,
                               Store store)
    : m_io(io),
      m_settings(settings),
      m_frames(frames),
      m_runner(io,
               settings,
               frames,
               std::move(store),
               {.m_on_command_applied =
                    [this](std::uint64_t index,
                           const control::CommandResult& result) {
                      OnCommandApplied(index, result);
                    },
                .m_on_snapshot_installed = [this] { PublishFeed(nullptr); },
                .m_on_role_change =
                    [this](const consensus::RoleChange& change) {
                      OnRoleChange(change);
                    },
                .m_on_peer_reopened =
                    [this](const Endpoint& peer) {
                      if (m_discovery)
                        m_discovery->ReopenControlPeer(peer);
                    }}),
      m_feed_server(
          io,
          net::FeedServerOptions{
              .m_heartbeat = settings.m_discovers_peers ? kPresenceInterval
                                                        : kFeedHeartbeat,
              .m_origin_age = [this] { return m_runner.StateAge(); }},
          m_feed_statuses),
      m_renewal_timer(io) {}

ControlService::~ControlService() = default;

Status ControlService::Start() {
  net::FrameDispatch handlers;
  m_runner.RegisterHandlers(&handlers);
  m_feed_server.Register(&handlers);
  handlers.On<ClaimRequest>(
      [this](const net::FrameSource& source, const ClaimRequest& request) {
        OnClaim(source, request);
      });
  handlers.On<ClaimFinish>(
      [this](const net::FrameSource& source, const ClaimFinish& finish) {
        OnClaimFinish(source, finish);
      });
  handlers.On<AllotmentRequest>(
      [this](const net::FrameSource& source, const AllotmentRequest& request) {
        OnAllotment(source, request);
      });
  for (const ControlPeer& peer : m_settings.m_peers) {
    if (peer.m_host == m_settings.m_host)
      m_self = peer;
  }
  if (m_settings.m_discovers_peers)
    StartDiscovery(&handlers);
  m_frame_server =
      std::make_unique<net::FrameServer>(m_io, m_frames, std::move(handlers));
  JUJUBE_TRY(m_frame_server->Start(m_self.m_peer));
  m_feed_server.Start();
  JUJUBE_TRY(m_runner.Start());
  asio::co_spawn(m_io, PeerLoop(), asio::detached);
  PublishFeed(nullptr);
  ScheduleRenewal(kIdleRenewalInterval);
  return Success();
}

void ControlService::Stop() {
  m_is_stopped = true;
  m_renewal_timer.cancel();
  m_runner.Stop();
  if (m_discovery)
    m_discovery->Stop();
  if (m_frame_server)
    m_frame_server->Stop();
  m_feed_server.Stop();
}

// ---- Discovered hosts ------------------------------------------------------

void ControlService::StartDiscovery(net::FrameDispatch* handlers) {
  m_discovery = std::make_unique<DiscoveryService>(
      m_io, m_frames,
      DiscoveryOptions{
          .m_host = m_settings.m_host,
          .m_announcement_interval = m_settings.m_announcement_interval,
          .m_state_age = [this] { return m_runner.StateAge(); },
          .m_read_barrier = [this] { return ConfirmState(); },
          .m_has_tenants =
              [this] {
                return !m_runner.State().Config().Document().m_tenants.empty();
              }});
  m_discovery->RegisterHandlers(handlers);
  m_quotas = std::make_unique<QuotaService>(QuotaServiceOptions{
      .m_settings = m_settings.m_quotas,
      .m_leading_since = [this] { return m_discovery->LeadingSince(); },
      .m_confirmed_at = [this] { return m_discovery->ConfirmedAt(); },
      .m_zone_of =
          [this](const HostId& host) { return m_discovery->ZoneOf(host); }});
  m_quotas->RegisterHandlers(handlers);
  m_discovery->Start();
}

asio::awaitable<bool> ControlService::ConfirmState() {
  ControlOperations operations(*this);
  co_return co_await operations.ReadBarrier();
}

asio::awaitable<void> ControlService::PeerLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    m_runner.UpdatePeerConnections();
    m_runner.UpdateMembership();
    if (m_discovery) {
      m_discovery->SetControlHosts(m_runner.MemberEndpoints(), m_self.m_peer);
      m_discovery->SetLeading(m_runner.IsLeader());
    }
    timer.expires_after(kPeerInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// ---- Applied commands ------------------------------------------------------

void ControlService::OnCommandApplied(std::uint64_t index,
                                      const control::CommandResult& result) {
  if (result.m_feed_changed)
    LogPendingCaps();
  if (std::holds_alternative<control::RenewAnswers>(result.m_answer))
    m_lease_clock.OnCommitted(index, MonoClock::now());
  if (result.m_feed_changed)
    PublishFeed(&result);
}

// Only the leader logs, so each change of the feed is logged once.
void ControlService::LogPendingCaps() const {
  if (!m_runner.IsLeader())
    return;
  for (const limits::Cap& cap : m_runner.State().Ledger().PendingCaps()) {
    observe::Log(LogEvent::kCapPending, {{"kind", ToString(cap.m_limit.m_kind)},
                                         {"limit", cap.m_limit.m_name},
                                         {"cap", cap.m_size}});
  }
}

void ControlService::PublishFeed(const control::CommandResult* result) {
  const control::StateMachine& state = m_runner.State();
  if (state.Config().FeedIndex() == 0)
    return;
  const auto feed =
      std::make_shared<const FeedState>(feed::Canonical(state.Feed()));
  const bool has_change = result != nullptr && result->m_change.has_value();
  const Status published = has_change
                               ? m_feed_server.Publish(feed, *result->m_change)
                               : m_feed_server.Publish(feed);
  if (m_discovery)
    m_discovery->SetFeedIndex(state.Config().FeedIndex());
  if (m_quotas)
    m_quotas->SetTenants(state.Config().Document().m_tenants);
  // A change that does not apply to the published state is sent as a snapshot.
  if (!published && has_change)
    (void)m_feed_server.Publish(feed);
}

void ControlService::OnRoleChange(const consensus::RoleChange& change) {
  m_pending_renewals.clear();
  m_planner.Clear();
  m_shift_driver.Clear();
  // Not left to the next poll, which may miss another leader in between.
  if (m_discovery)
    m_discovery->SetLeading(change.m_role == consensus::Role::kLeader);
  if (change.m_role != consensus::Role::kLeader)
    return;
  const MonoTime now = MonoClock::now();
  m_lease_clock.OnElected(m_runner.ConsensusStatus().m_last_index, now);
  m_host_monitor.OnElected(m_runner.State().Hosts().All(), now);
}

std::optional<Endpoint> ControlService::LeaderHint() const {
  const std::optional<ControlPeer> leader = m_runner.Leader();
  if (!leader || leader->m_host == m_settings.m_host)
    return std::nullopt;
  return leader->m_peer;
}

// ---- Metrics ---------------------------------------------------------------

// Called with each batch of renewals, and once per second without any.
void ControlService::UpdateMetrics() {
  if (m_frames.m_counters != nullptr)
    m_frame_metrics.Update(*m_frames.m_counters);
  observe::GaugeOf(Metric::kConfigIndex)
      .Set(static_cast<std::int64_t>(m_runner.State().Config().FeedIndex()));
  observe::GaugeOf(Metric::kFeedAge).Set(m_runner.StateAge().count());
  observe::GaugeOf(Metric::kFeedSubscribers)
      .Set(static_cast<std::int64_t>(m_feed_server.Subscribers()));
  const std::uint64_t snapshots = m_feed_server.Source().SnapshotsStarted();
  observe::CounterOf(Metric::kFeedSnapshots)
      .Add(snapshots - std::exchange(m_counted_snapshots, snapshots));
}

// ---- Claims ----------------------------------------------------------------

void ControlService::OnClaim(const net::FrameSource& source,
                             const ClaimRequest& request) {
  m_runner.Propose(
      control::MakeCommand(request, WallNow()),
      [this, source, request](const ProposalOutcome& outcome) {
        if (outcome.m_status == ProposalStatus::kApplied) {
          const auto& reply = std::get<ClaimReply>(outcome.m_result->m_answer);
          LogClaim(request, reply);
          source.Reply(reply);
        } else if (outcome.m_status == ProposalStatus::kNotLeader) {
          source.Reply(ClaimReply{.m_outcome = ClaimOutcome::kNotLeader,
                                  .m_leader = LeaderHint()});
        }
        // Otherwise there is no reply; the entry host retries on a timeout.
      });
}

void ControlService::OnClaimFinish(const net::FrameSource& source,
                                   const ClaimFinish& finish) {
  m_runner.Propose(
      control::MakeCommand(finish, WallNow()),
      [this, source](const ProposalOutcome& outcome) {
        if (outcome.m_status == ProposalStatus::kApplied) {
          ClaimFinishReply reply =
              std::get<ClaimFinishReply>(outcome.m_result->m_answer);
          reply.m_leading = true;
          source.Reply(reply);
        } else if (outcome.m_status == ProposalStatus::kNotLeader) {
          source.Reply(ClaimFinishReply{.m_leader = LeaderHint()});
        }
      });
}

// ---- Allotments ------------------------------------------------------------

void ControlService::OnAllotment(const net::FrameSource& source,
                                 const AllotmentRequest& request) {
  m_runner.CheckLeadership();
  if (!m_runner.IsLeader()) {
    source.Reply(AllotmentReply{.m_leader = LeaderHint()});
    return;
  }
  const MonoTime now = MonoClock::now();
  // The registration is requested, not yet committed.
  if (request.m_sequence == 1) {
    observe::Log(LogEvent::kEntryHostRegistered,
                 {{"host", request.m_host.m_value},
                  {"incarnation", request.m_incarnation}});
  }
  m_host_monitor.OnRenewal(request.m_host, request.m_incarnation, now);
  if (!m_planner.OnRequest(request, now))
    return;
  m_shift_driver.OnRequest(request, now);
  m_pending_renewals[request.m_host] = {.m_source = source,
                                        .m_incarnation = request.m_incarnation};
  if (!m_is_renewal_scheduled) {
    m_is_renewal_scheduled = true;
    ScheduleRenewal(kRenewalBatchWindow);
  }
}

void ControlService::ScheduleRenewal(milliseconds delay) {
  m_renewal_timer.expires_after(delay);
  m_renewal_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_is_stopped)
      ProposeRenewal();
  });
}

// Runs on every replica and updates the metrics. The leader also proposes a
// shift if one is due, and the pending renewals with the lost hosts.
void ControlService::ProposeRenewal() {
  m_is_renewal_scheduled = false;
  ScheduleRenewal(kIdleRenewalInterval);
  UpdateMetrics();
  if (!m_runner.IsLeader())
    return;
  const MonoTime now = MonoClock::now();
  ProposeShift(now);
  const control::StateMachine& state = m_runner.State();
  std::vector<HostId> hosts;
  for (const auto& [host, renewal] : m_pending_renewals)
    hosts.push_back(host);
  RenewCommand command{.m_expired_index = m_lease_clock.ExpiredThrough(now),
                       .m_lost = UnrecordedLostHosts(
                           m_host_monitor.LostHosts(now), state.Hosts()),
                       .m_renewals = m_planner.Plan(hosts, state.Topology(),
                                                    state.Ledger(), now)};
  if (command.m_renewals.empty() && command.m_lost.empty())
    return;
  // The loss is about to be proposed, not yet committed.
  for (const LostHost& lost : command.m_lost) {
    observe::Log(
        LogEvent::kEntryHostLost,
        {{"host", lost.m_host.m_value}, {"incarnation", lost.m_incarnation}});
  }
  m_runner.Propose(control::MakeCommand(command, WallNow()),
                   [this](const ProposalOutcome& outcome) {
                     if (outcome.m_status == ProposalStatus::kApplied) {
                       ReplyToRenewals(std::get<control::RenewAnswers>(
                           outcome.m_result->m_answer));
                     }
                   });
}

void ControlService::ProposeShift(MonoTime now) {
  if (now < m_next_shift_time)
    return;
  m_next_shift_time = now + kShiftInterval;
  const std::optional<ShiftCommand> step =
      m_shift_driver.NextStep(m_runner.State(), now, WallNow());
  if (!step)
    return;
  observe::Log(LogEvent::kShiftStep, {{"feed_index", step->m_feed_index}});
  m_runner.Propose(control::MakeCommand(*step, WallNow()),
                   [](const ProposalOutcome&) {
                     // A lost step is planned again from the current state.
                   });
}

void ControlService::ReplyToRenewals(const control::RenewAnswers& answers) {
  for (const control::RenewAnswer& answer : answers) {
    const auto pending = m_pending_renewals.find(answer.m_host);
    if (pending == m_pending_renewals.end() ||
        pending->second.m_incarnation != answer.m_incarnation)
      continue;
    pending->second.m_source.Reply(answer.m_reply);
    m_pending_renewals.erase(pending);
  }
}

}  // namespace jujube::controld
