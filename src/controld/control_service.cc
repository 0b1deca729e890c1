#include "controld/control_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "control/command.h"
#include "core/clock.h"
#include "feed/change.h"
#include "observe/log.h"
#include "observe/metrics.h"

namespace jujube::controld {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Renewals that arrive within this time share one command.
constexpr milliseconds kRenewalBatch{20};
// Without renewals, expired leases and lost hosts are recorded this often.
constexpr milliseconds kIdleRenewal{1000};
constexpr milliseconds kShiftInterval{1000};
// A host that joins is a voter after two changes, well within a second.
constexpr milliseconds kMembershipInterval{200};

// Only the replica that proposed a claim logs it, so each one is logged once.
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

// Those whose loss is not recorded yet.
std::vector<LostHost> NewlyLost(std::vector<LostHost> lost,
                                const control::HostRegistry& registry) {
  const std::vector<EntryHostStatus> hosts = registry.All();
  std::erase_if(lost, [&](const LostHost& host) {
    return std::none_of(hosts.begin(), hosts.end(),
                        [&](const EntryHostStatus& known) {
                          return known.m_host == host.m_host && known.m_alive &&
                                 known.m_incarnation == host.m_incarnation;
                        });
  });
  return lost;
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
               {.m_on_applied =
                    [this](std::uint64_t index,
                           const control::CommandResult& result) {
                      OnApplied(index, result);
                    },
                .m_on_restored = [this] { PublishFeed(nullptr); },
                .m_on_role =
                    [this](const consensus::RoleChange& change) {
                      OnRole(change);
                    }}),
      m_feed(io,
             net::FeedServerOptions{
                 .m_origin_age = [this] { return m_runner.LeaderlessTime(); }},
             m_statuses),
      m_renewal_timer(io) {}

ControlService::~ControlService() = default;

Status ControlService::Start() {
  net::FrameDispatch handlers;
  m_runner.Register(&handlers);
  m_feed.Register(&handlers);
  handlers.On<ClaimRequest>(
      [this](const net::FrameSource& source, const ClaimRequest& request) {
        OnClaim(source, request);
      });
  handlers.On<ClaimFinish>(
      [this](const net::FrameSource& source, const ClaimFinish& finish) {
        OnFinish(source, finish);
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
    StartFleet(&handlers);
  m_frame_server =
      std::make_unique<net::FrameServer>(m_io, m_frames, std::move(handlers));
  JUJUBE_TRY(m_frame_server->Start(m_self.m_peer));
  m_feed.Start();
  JUJUBE_TRY(m_runner.Start());
  if (m_fleet)
    asio::co_spawn(m_io, KeepMembers(), asio::detached);
  PublishFeed(nullptr);
  ScheduleRenewal(kIdleRenewal);
  return Success();
}

void ControlService::Stop() {
  m_is_stopped = true;
  m_renewal_timer.cancel();
  m_runner.Stop();
  if (m_fleet)
    m_fleet->Stop();
  if (m_frame_server)
    m_frame_server->Stop();
  m_feed.Stop();
}

// ---- Discovered hosts ------------------------------------------------------

void ControlService::StartFleet(net::FrameDispatch* handlers) {
  m_fleet = std::make_unique<Fleet>(
      m_io, m_frames,
      FleetOptions{
          .m_host = m_settings.m_host,
          .m_announcement_interval = m_settings.m_announcement_interval});
  m_fleet->Register(handlers);
  m_fleet->Start();
}

asio::awaitable<void> ControlService::KeepMembers() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    m_runner.KeepMembership();
    m_fleet->SetControlHosts(m_runner.MemberEndpoints(), m_self.m_peer);
    m_fleet->SetLeading(m_runner.IsLeader());
    timer.expires_after(kMembershipInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// ---- Applied commands ------------------------------------------------------

void ControlService::OnApplied(std::uint64_t index,
                               const control::CommandResult& result) {
  if (result.m_feed_changed)
    LogPendingCaps();
  if (std::holds_alternative<control::RenewAnswers>(result.m_answer))
    m_lease_clock.OnCommitted(index, MonoClock::now());
  if (result.m_feed_changed)
    PublishFeed(&result);
}

// Logged by the leader alone, once for each document.
void ControlService::LogPendingCaps() const {
  if (!m_runner.IsLeader())
    return;
  for (const limits::Cap& cap : m_runner.State().Ledger().Pending()) {
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
  const Status published = has_change ? m_feed.Publish(feed, *result->m_change)
                                      : m_feed.Publish(feed);
  if (m_fleet)
    m_fleet->SetFeedIndex(state.Config().FeedIndex());
  // A change that does not follow the published state is sent as a snapshot.
  if (!published && has_change)
    (void)m_feed.Publish(feed);
}

void ControlService::OnRole(const consensus::RoleChange& change) {
  m_waiting.clear();
  m_planner.Clear();
  m_shifts.Clear();
  if (change.m_role != consensus::Role::kLeader)
    return;
  const MonoTime now = MonoClock::now();
  m_lease_clock.OnElected(m_runner.ReplicaState().m_last_index, now);
  m_watch.OnElected(m_runner.State().Hosts().All(), now);
}

std::optional<Endpoint> ControlService::LeaderHint() const {
  const std::optional<ControlPeer> leader = m_runner.Leader();
  if (!leader || leader->m_host == m_settings.m_host)
    return std::nullopt;
  return leader->m_peer;
}

// ---- Metrics ---------------------------------------------------------------

// With each renewal, at least once a second.
void ControlService::UpdateMetrics() {
  if (m_frames.m_counters != nullptr)
    m_frame_metrics.Update(*m_frames.m_counters);
  observe::GaugeOf(Metric::kConfigIndex)
      .Set(static_cast<std::int64_t>(m_runner.State().Config().FeedIndex()));
  observe::GaugeOf(Metric::kFeedAge).Set(m_runner.LeaderlessTime().count());
  observe::GaugeOf(Metric::kFeedSubscribers)
      .Set(static_cast<std::int64_t>(m_feed.Subscribers()));
  const std::uint64_t snapshots = m_feed.Source().SnapshotsStarted();
  observe::CounterOf(Metric::kFeedSnapshots)
      .Add(snapshots - std::exchange(m_snapshots_started, snapshots));
}

// ---- Claims ----------------------------------------------------------------

void ControlService::OnClaim(const net::FrameSource& source,
                             const ClaimRequest& request) {
  m_runner.Propose(
      control::MakeCommand(request, WallNow()),
      [this, source, request](const ProposalOutcome& outcome) {
        if (outcome.m_fate == ProposalFate::kApplied) {
          const auto& reply = std::get<ClaimReply>(outcome.m_result->m_answer);
          LogClaim(request, reply);
          source.Reply(reply);
        } else if (outcome.m_fate == ProposalFate::kNotLeader) {
          source.Reply(ClaimReply{.m_outcome = ClaimOutcome::kNotLeader,
                                  .m_leader = LeaderHint()});
        }
        // Otherwise the outcome is unknown; the entry host asks again.
      });
}

void ControlService::OnFinish(const net::FrameSource& source,
                              const ClaimFinish& finish) {
  m_runner.Propose(control::MakeCommand(finish, WallNow()),
                   [this, source](const ProposalOutcome& outcome) {
                     if (outcome.m_fate == ProposalFate::kApplied) {
                       ClaimFinishReply reply = std::get<ClaimFinishReply>(
                           outcome.m_result->m_answer);
                       reply.m_leading = true;
                       source.Reply(reply);
                     } else if (outcome.m_fate == ProposalFate::kNotLeader) {
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
  if (request.m_sequence == 1) {
    observe::Log(LogEvent::kEntryHostRegistered,
                 {{"host", request.m_host.m_value},
                  {"incarnation", request.m_incarnation}});
  }
  m_watch.OnRenewal(request.m_host, request.m_incarnation, now);
  if (!m_planner.OnRequest(request, now))
    return;
  m_shifts.OnRequest(request, now);
  m_waiting[request.m_host] = {.m_source = source,
                               .m_incarnation = request.m_incarnation};
  if (!m_is_renewal_due) {
    m_is_renewal_due = true;
    ScheduleRenewal(kRenewalBatch);
  }
}

void ControlService::ScheduleRenewal(milliseconds delay) {
  m_renewal_timer.expires_after(delay);
  m_renewal_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error && !m_is_stopped)
      ProposeRenewal();
  });
}

void ControlService::ProposeRenewal() {
  m_is_renewal_due = false;
  ScheduleRenewal(kIdleRenewal);
  UpdateMetrics();
  if (!m_runner.IsLeader())
    return;
  const MonoTime now = MonoClock::now();
  ProposeShift(now);
  const control::StateMachine& state = m_runner.State();
  std::vector<HostId> hosts;
  for (const auto& [host, waiting] : m_waiting)
    hosts.push_back(host);
  RenewCommand command{.m_expired_index = m_lease_clock.ExpiredThrough(now),
                       .m_lost = NewlyLost(m_watch.Lost(now), state.Hosts()),
                       .m_renewals = m_planner.Plan(hosts, state.Topology(),
                                                    state.Ledger(), now)};
  if (command.m_renewals.empty() && command.m_lost.empty())
    return;
  for (const LostHost& lost : command.m_lost) {
    observe::Log(
        LogEvent::kEntryHostLost,
        {{"host", lost.m_host.m_value}, {"incarnation", lost.m_incarnation}});
  }
  m_runner.Propose(control::MakeCommand(command, WallNow()),
                   [this](const ProposalOutcome& outcome) {
                     if (outcome.m_fate == ProposalFate::kApplied) {
                       AnswerRenewals(std::get<control::RenewAnswers>(
                           outcome.m_result->m_answer));
                     }
                   });
}

void ControlService::ProposeShift(MonoTime now) {
  if (now < m_next_shift)
    return;
  m_next_shift = now + kShiftInterval;
  const std::optional<ShiftCommand> step =
      m_shifts.NextStep(m_runner.State(), now, WallNow());
  if (!step)
    return;
  observe::Log(LogEvent::kShiftStep, {{"feed_index", step->m_feed_index}});
  m_runner.Propose(control::MakeCommand(*step, WallNow()),
                   [](const ProposalOutcome&) {
                     // A lost step is planned again from the state in force.
                   });
}

void ControlService::AnswerRenewals(const control::RenewAnswers& answers) {
  for (const control::RenewAnswer& answer : answers) {
    const auto waiting = m_waiting.find(answer.m_host);
    if (waiting == m_waiting.end() ||
        waiting->second.m_incarnation != answer.m_incarnation)
      continue;
    waiting->second.m_source.Reply(answer.m_reply);
    m_waiting.erase(waiting);
  }
}

}  // namespace jujube::controld
