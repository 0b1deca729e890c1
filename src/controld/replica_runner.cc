#include "controld/replica_runner.h"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "consensus/founding.h"
#include "consensus/membership_plan.h"
#include "core/endpoint_text.h"
#include "observe/log.h"

// Sections: start, peers, founding, membership, steps, proposals, snapshots,
// status.

namespace jujube::controld {

using std::chrono::milliseconds;

namespace {

// Longer than a restart or a transient network partition, so that a learner
// that returns in time need not join again.
constexpr milliseconds kLearnerLostTimeout{8000};
// A host that is neither a member nor a seed is forgotten after this silence.
constexpr milliseconds kHostLostTimeout{20000};
// Limit of PeerReport in the schema.
constexpr std::size_t kMaxReportedHosts = 64;

std::uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace

// ---- Start -----------------------------------------------------------------

ReplicaRunner::ReplicaRunner(boost::asio::io_context& io,
                             const ControlSettings& settings,
                             const net::FrameOptions& frames,
                             Store store,
                             RunnerCallbacks callbacks)
    : m_io(io),
      m_settings(settings),
      m_frames(frames),
      m_callbacks(std::move(callbacks)),
      m_recovered_log(store.TakeRecoveredLog()),
      m_self{.m_host = settings.m_host,
             .m_folder = m_recovered_log.m_identity.m_folder},
      m_start_count(m_recovered_log.m_identity.m_starts),
      m_is_founded(m_recovered_log.m_snapshot.has_value() ||
                   !m_recovered_log.m_entries.empty()),
      m_start_registry(m_recovered_log.m_peers),
      m_disk(std::make_unique<DiskThread>(
          io,
          std::move(store),
          [this](consensus::Event event) {
            if (const auto* written =
                    std::get_if<consensus::SnapshotWritten>(&event))
              m_is_receiving_snapshot &= !written->m_installed;
            if (std::holds_alternative<consensus::SnapshotTaken>(event))
              m_snapshot_schedule.OnWritten();
            Step(std::move(event));
          })),
      m_tick_timer(io),
      m_snapshot_schedule(m_settings.m_snapshot_every,
                          m_settings.m_log_bytes / 2) {}

ReplicaRunner::~ReplicaRunner() = default;

Status ReplicaRunner::Start() {
  if (m_recovered_log.m_snapshot &&
      m_recovered_log.m_snapshot->m_last_index == 0)
    m_founders = m_recovered_log.m_snapshot->m_voters;
  for (const ControlPeer& peer : m_settings.m_peers) {
    m_peers[peer.m_host] = peer;
    m_seeds.insert(peer.m_host);
  }
  m_introductions[m_self.m_host] = MakeIntroduction();
  if (m_recovered_log.m_torn_bytes > 0) {
    observe::Log(LogEvent::kTornTailTruncated,
                 {{"bytes", m_recovered_log.m_torn_bytes}});
  }
  observe::Log(LogEvent::kStorageOpened,
               {{"starts", m_start_count},
                {"entries", m_recovered_log.m_entries.size()},
                {"snapshot_bytes", m_recovered_log.m_snapshot_bytes}});
  if (m_is_founded && m_recovered_log.m_snapshot_bytes > 0) {
    const auto data =
        m_disk->ReadSnapshot(m_recovered_log.m_snapshot->m_last_index);
    if (!data)
      return MakeError(ErrorCode::kIo, data.error().m_message);
    JUJUBE_TRY(m_state, DecodeSnapshot(data.value()));
  }
  if (m_recovered_log.m_snapshot)
    m_snapshot_schedule.OnStored(m_recovered_log.m_snapshot->m_last_index);
  ConnectToPeers();
  if (m_is_founded || m_settings.m_join)
    StartReplica();
  else
    TryFounding();
  return Success();
}

void ReplicaRunner::Stop() {
  m_is_stopped = true;
  m_tick_timer.cancel();
  for (auto& [host, peer] : m_connections)
    peer.m_client->Stop();
  m_disk->Stop();
}

// ---- Peers -----------------------------------------------------------------

Introduction ReplicaRunner::MakeIntroduction() const {
  // A learner that received the log from its first entry has no snapshot yet.
  const bool has_log = m_replica && m_replica->Status().m_last_index > 0;
  return {.m_replica = m_self,
          .m_starts = m_start_count,
          .m_operator = m_peers.at(m_self.m_host).m_operator,
          .m_run = m_frames.m_incarnation,
          .m_founded = m_is_founded || has_log,
          .m_founders = m_founders};
}

PeerReport ReplicaRunner::MakePeerReport() const {
  const MonoTime now = MonoClock::now();
  const Voters members = ConsensusStatus().m_voters;
  std::set<HostId> hosts;
  for (const auto* list : {&members.m_voters, &members.m_learners}) {
    for (const VoterId& member : *list)
      hosts.insert(member.m_host);
  }
  for (const auto& [host, introduction] : m_introductions) {
    if (m_presence.Of(introduction.m_replica, now) ==
        consensus::Presence::kHeard)
      hosts.insert(host);
  }
  hosts.erase(m_self.m_host);
  PeerReport report{.m_stopping = m_is_stop_announced};
  for (const HostId& host : hosts) {
    if (report.m_hosts.size() < kMaxReportedHosts)
      report.m_hosts.push_back(host);
  }
  return report;
}

void ReplicaRunner::IntroduceTo(net::FrameClient& client) const {
  client.Send(MakeIntroduction());
  if (m_settings.m_discovers_peers)
    client.Send(MakePeerReport());
}

// The seeds of the settings may all be gone when this process starts again, so
// it also looks for the hosts that it has met before.
void ReplicaRunner::ConnectToPeers() {
  for (const ControlPeer& peer : m_settings.m_peers)
    ConnectTo(peer);
  if (!m_settings.m_discovers_peers)
    return;
  for (const Introduction& peer : m_recovered_log.m_peers.m_peers)
    ConnectToDiscovered(peer.m_replica.m_host);
}

void ReplicaRunner::SetSeeds(const std::vector<ControlPeer>& seeds) {
  if (!m_settings.m_discovers_peers)
    return;
  m_seeds = {m_self.m_host};
  for (const ControlPeer& seed : seeds) {
    m_seeds.insert(seed.m_host);
    ConnectTo(seed);
  }
}

void ReplicaRunner::AnnounceStop() {
  m_is_stop_announced = true;
  if (!m_settings.m_discovers_peers)
    return;
  for (const auto& [host, peer] : m_connections)
    peer.m_client->Send(MakePeerReport());
}

void ReplicaRunner::ConnectTo(const ControlPeer& peer) {
  if (peer.m_host == m_settings.m_host || m_connections.contains(peer.m_host))
    return;
  m_peers.emplace(peer.m_host, peer);
  OpenConnection(peer.m_host);
  m_connections.at(peer.m_host).m_wanted_since = MonoClock::now();
}

void ReplicaRunner::ConnectToDiscovered(const HostId& host) {
  const std::optional<Endpoint> endpoint = ParseEndpoint(host.m_value);
  if (endpoint)
    ConnectTo({.m_host = host, .m_peer = *endpoint});
}

void ReplicaRunner::OpenConnection(const HostId& host) {
  auto client = std::make_unique<net::FrameClient>(
      m_io, m_frames, m_peers.at(host).m_peer, net::FrameDispatch());
  Peer& peer = m_connections[host];
  client->OnConnection(
      [this, &peer, raw_client = client.get()](bool connected) {
        if (!connected)
          return;
        peer.m_connected_at = MonoClock::now();
        IntroduceTo(*raw_client);
      });
  client->Start();
  peer.m_client = std::move(client);
}

void ReplicaRunner::ReopenConnection(const HostId& host) {
  OpenConnection(host);
  if (m_callbacks.m_on_peer_reopened)
    m_callbacks.m_on_peer_reopened(m_peers.at(host).m_peer);
}

void ReplicaRunner::ReopenIfUnusable(const HostId& host) {
  const Peer& peer = m_connections.at(host);
  if (!peer.m_client->IsConnected())
    return;
  const consensus::PeerConnection connection{
      .m_run = peer.m_client->PeerIncarnation(),
      .m_opened_at = peer.m_connected_at};
  if (!m_contacts.MustReopen(host, connection, MonoClock::now()))
    return;
  observe::Log(LogEvent::kPeerReopened, {{"host", host.m_value}});
  ReopenConnection(host);
}

void ReplicaRunner::UpdatePeerConnections() {
  const MonoTime now = MonoClock::now();
  const bool is_introduction_due = now >= m_next_introduction;
  if (is_introduction_due)
    m_next_introduction = now + consensus::kIntroductionInterval;
  for (const auto& [host, peer] : m_connections) {
    ReopenIfUnusable(host);
    if (is_introduction_due)
      IntroduceTo(*peer.m_client);
  }
  if (m_settings.m_discovers_peers)
    DisconnectFromLostHosts(now);
}

bool ReplicaRunner::IsMember(const HostId& host) const {
  const Voters members = ConsensusStatus().m_voters;
  const auto is_host = [&](const VoterId& member) {
    return member.m_host == host;
  };
  return std::any_of(members.m_voters.begin(), members.m_voters.end(),
                     is_host) ||
         std::any_of(members.m_learners.begin(), members.m_learners.end(),
                     is_host);
}

void ReplicaRunner::DisconnectFromLostHosts(MonoTime now) {
  std::erase_if(m_connections, [&](const auto& element) {
    const auto& [host, peer] = element;
    if (m_seeds.contains(host) || IsMember(host) ||
        now - peer.m_wanted_since < kHostLostTimeout)
      return false;
    const auto introduction = m_introductions.find(host);
    if (introduction != m_introductions.end() &&
        m_presence.SilenceOf(introduction->second.m_replica, now) <
            kHostLostTimeout)
      return false;
    m_peers.erase(host);
    m_introductions.erase(host);
    m_presence.Forget(host);
    return true;
  });
}

// The id of a discovered host is the endpoint of its peer listener, so the ids
// of the members suffice to connect to them.
void ReplicaRunner::AddDiscoveredPeer(const Introduction& introduction) {
  const HostId& host = introduction.m_replica.m_host;
  const auto known_peer = m_peers.find(host);
  if (known_peer != m_peers.end()) {
    known_peer->second.m_operator = introduction.m_operator;
    return;
  }
  const std::optional<Endpoint> endpoint = ParseEndpoint(host.m_value);
  if (endpoint) {
    ConnectTo({.m_host = host,
               .m_peer = *endpoint,
               .m_operator = introduction.m_operator});
  }
}

void ReplicaRunner::ConnectToMembers() {
  const Voters members = m_replica->Status().m_voters;
  for (const auto* list : {&members.m_voters, &members.m_learners}) {
    for (const VoterId& member : *list) {
      ConnectToDiscovered(member.m_host);
    }
  }
}

template <class Message>
void ReplicaRunner::RegisterMessageHandler(net::FrameDispatch* handlers) {
  handlers->On<Message>(
      [this](const net::FrameSource& source, const Message& message) {
        OnMessage(source, message);
      });
}

void ReplicaRunner::RegisterHandlers(net::FrameDispatch* handlers) {
  RegisterMessageHandler<VoteRequest>(handlers);
  RegisterMessageHandler<VoteReply>(handlers);
  RegisterMessageHandler<AppendRequest>(handlers);
  RegisterMessageHandler<AppendReply>(handlers);
  RegisterMessageHandler<SnapshotChunk>(handlers);
  RegisterMessageHandler<SnapshotReply>(handlers);
  RegisterMessageHandler<TimeoutNow>(handlers);
  handlers->On<Introduction>(
      [this](const net::FrameSource& source, const Introduction& introduction) {
        OnIntroduction(source, introduction);
      });
  handlers->On<PeerReport>(
      [this](const net::FrameSource& source, const PeerReport& report) {
        OnPeerReport(source, report);
      });
}

void ReplicaRunner::OnIntroduction(const net::FrameSource& source,
                                   const Introduction& introduction) {
  Introduction stored_introduction = introduction;
  stored_introduction.m_founders = {};
  if (!m_start_registry.Observe(stored_introduction)) {
    observe::Log(LogEvent::kOldFolderRefused,
                 {{"host", introduction.m_replica.m_host.m_value},
                  {"starts", introduction.m_starts}});
    if (const auto connection = source.m_connection.lock())
      connection->Close();
    return;
  }
  // The start count must be durable before a message of the peer is processed.
  m_has_unsaved_peer_starts |= m_start_registry.TakeChangedFlag();
  if (m_has_unsaved_peer_starts &&
      !m_disk->WritePeerStarts(m_start_registry.Snapshot())) {
    // The disk is full; the peer reconnects and introduces itself again.
    if (const auto connection = source.m_connection.lock())
      connection->Close();
    return;
  }
  m_has_unsaved_peer_starts = false;
  m_introduced_peers[source.m_incarnation] = introduction.m_replica;
  m_introductions[introduction.m_replica.m_host] = introduction;
  if (m_settings.m_discovers_peers)
    AddDiscoveredPeer(introduction);
  RecordContact(source, introduction);
  if (!m_replica)
    TryFounding();
}

void ReplicaRunner::RecordContact(const net::FrameSource& source,
                                  const Introduction& introduction) {
  const HostId& host = introduction.m_replica.m_host;
  const MonoTime now = MonoClock::now();
  m_presence.OnRun(introduction.m_replica, introduction.m_run);
  m_presence.OnHeard(introduction.m_replica, now);
  m_contacts.OnIntroduction(host, introduction.m_run, now);
  const auto found = m_connections.find(host);
  if (found == m_connections.end())
    return;
  Peer& peer = found->second;
  const auto connection = source.m_connection.lock();
  const bool is_new_connection = peer.m_introduced_over.lock() != connection;
  peer.m_introduced_over = connection;
  if (is_new_connection) {
    observe::Log(LogEvent::kPeerIntroduced,
                 {{"host", host.m_value},
                  {"folder", introduction.m_replica.m_folder},
                  {"starts", introduction.m_starts}});
  }
  // A peer that has just connected can be reached, so the connection to it need
  // not wait for the end of its backoff or of an attempt that got no reply.
  if (is_new_connection && !peer.m_client->IsConnected())
    ReopenConnection(host);
  else
    ReopenIfUnusable(host);
}

// A host that knows only hosts which do not lead, and is known only to them,
// finds the others by these reports.
void ReplicaRunner::OnPeerReport(const net::FrameSource& source,
                                 const PeerReport& report) {
  const auto peer = m_introduced_peers.find(source.m_incarnation);
  if (!m_settings.m_discovers_peers || peer == m_introduced_peers.end())
    return;
  if (report.m_stopping)
    m_presence.OnStopping(peer->second, source.m_incarnation);
  for (const HostId& host : report.m_hosts)
    ConnectToDiscovered(host);
}

void ReplicaRunner::OnMessage(const net::FrameSource& source,
                              consensus::Message message) {
  const auto peer = m_introduced_peers.find(source.m_incarnation);
  const bool is_introduced = peer != m_introduced_peers.end() &&
                             peer->second == consensus::SenderOf(message);
  if (!is_introduced || !m_replica)
    return;
  m_presence.OnHeard(peer->second, MonoClock::now());
  Step(consensus::MessageReceived{std::move(message)});
}

// ---- Founding --------------------------------------------------------------

void ReplicaRunner::TryFounding() {
  std::vector<HostId> hosts;
  for (const ControlPeer& peer : m_settings.m_peers)
    hosts.push_back(peer.m_host);
  std::vector<Introduction> introductions;
  for (const auto& [host, introduction] : m_introductions)
    introductions.push_back(introduction);
  consensus::FoundingDecision decision =
      consensus::DecideFounding(hosts, introductions);
  // A peer has founded the cluster with this folder as a voter before this host
  // received all introductions. The log does not contain that membership, so it
  // has to be stored here too.
  for (const Introduction& peer : introductions) {
    if (consensus::IsVoter(peer.m_founders, m_self)) {
      decision = {.m_step = consensus::FoundingStep::kCreateMembership,
                  .m_voters = peer.m_founders};
    }
  }
  if (decision.m_step == consensus::FoundingStep::kWait)
    return;
  if (decision.m_step == consensus::FoundingStep::kCreateMembership) {
    const storage::StorageStatus stored =
        m_disk->StoreInitialMembership(decision.m_voters);
    if (!stored) {
      observe::Log(LogEvent::kStorageFailed,
                   {{"error", stored.error().m_message}});
      return;
    }
    m_recovered_log.m_snapshot = SnapshotInfo{.m_voters = decision.m_voters};
    m_founders = decision.m_voters;
    m_is_founded = true;
    m_introductions[m_self.m_host] = MakeIntroduction();
  }
  StartReplica();
}

void ReplicaRunner::StartReplica() {
  consensus::ReplicaOptions options;
  options.m_heartbeat = m_settings.m_heartbeat;
  options.m_election_timeout = m_settings.m_election_timeout;
  options.m_random_seed = RandomSeed();
  options.m_retained_entries = std::min<std::uint64_t>(
      options.m_retained_entries, m_settings.m_snapshot_every);
  // The entries since the last snapshot take one half of log_bytes, those that
  // are retained before it the other. Twice as much is held while a snapshot
  // cannot be stored.
  options.m_retained_bytes = m_settings.m_log_bytes / 2;
  options.m_max_uncommitted_bytes = std::min<std::size_t>(
      options.m_max_uncommitted_bytes, m_settings.m_log_bytes / 2);
  options.m_max_log_bytes = 2 * m_settings.m_log_bytes;
  options.m_max_bytes_in_flight = std::min<std::size_t>(
      options.m_max_bytes_in_flight, m_settings.m_log_bytes / 16);
  const MonoTime now = MonoClock::now();
  m_replica.emplace(m_self, options,
                    consensus::RestoredState{
                        .m_state = m_recovered_log.m_state,
                        .m_snapshot = m_recovered_log.m_snapshot,
                        .m_entries = std::move(m_recovered_log.m_entries)},
                    now);
  m_recovered_log = {};
  Step(consensus::Tick{});
}

// ---- Membership with discovered hosts --------------------------------------

bool ReplicaRunner::IsConnectedTo(const HostId& host) const {
  const auto peer = m_connections.find(host);
  return peer != m_connections.end() && peer->second.m_client->IsConnected();
}

consensus::MembershipFacts ReplicaRunner::CollectMembershipFacts(
    MonoTime now) const {
  consensus::MembershipFacts facts{.m_members = m_replica->Status().m_voters,
                                   .m_heard = {m_self},
                                   .m_caught_up = m_replica->CaughtUpLearners(),
                                   .m_full_voters = m_settings.m_full_voters};
  for (const auto& [host, introduction] : m_introductions) {
    const VoterId& replica = introduction.m_replica;
    if (IsConnectedTo(host) &&
        m_presence.Of(replica, now) == consensus::Presence::kHeard)
      facts.m_heard.push_back(replica);
  }
  for (const VoterId& voter : facts.m_members.m_voters) {
    if (voter != m_self &&
        m_presence.Of(voter, now) == consensus::Presence::kSilent)
      facts.m_silent.push_back(voter);
  }
  for (const VoterId& learner : facts.m_members.m_learners) {
    if (m_presence.SilenceOf(learner, now) > kLearnerLostTimeout)
      facts.m_lost_learners.push_back(learner);
    if (m_presence.IsSettled(learner, now))
      facts.m_settled.push_back(learner);
  }
  return facts;
}

void ReplicaRunner::UpdateMembership() {
  const MonoTime now = MonoClock::now();
  m_presence.OnUpdate(now);
  if (!m_settings.m_discovers_peers || !m_replica)
    return;
  ConnectToMembers();
  if (!IsLeader() || m_is_changing_members)
    return;
  const consensus::MembershipFacts facts = CollectMembershipFacts(now);
  const std::optional<consensus::MembershipChange> change =
      consensus::PlanMembership(facts);
  if (!change)
    return;
  m_is_changing_members = true;
  ChangeMembership(change->m_step, change->m_replica,
                   [this, change](const ProposalOutcome& outcome) {
                     m_is_changing_members = false;
                     LogMembershipChange(*change, outcome);
                   });
}

// A refused change is planned again every few hundred milliseconds, so a
// refusal is logged only if it differs from the last one.
void ReplicaRunner::LogMembershipChange(
    const consensus::MembershipChange& change,
    const ProposalOutcome& outcome) {
  const std::string& host = change.m_replica.m_host.m_value;
  const int step = static_cast<int>(change.m_step);
  if (outcome.m_status == ProposalStatus::kApplied) {
    m_last_membership_refusal.clear();
    observe::Log(LogEvent::kMembershipChanged,
                 {{"host", host},
                  {"folder", change.m_replica.m_folder},
                  {"step", step}});
    return;
  }
  const std::string refusal =
      host + " " + std::to_string(step) + " " + outcome.m_error;
  if (std::exchange(m_last_membership_refusal, refusal) == refusal)
    return;
  observe::Log(LogEvent::kMembershipChangeRefused,
               {{"host", host},
                {"folder", change.m_replica.m_folder},
                {"step", step},
                {"error", outcome.m_error}});
}

bool ReplicaRunner::AwaitsReplacement() const {
  const Voters members = ConsensusStatus().m_voters;
  const bool has_replacement =
      !members.m_learners.empty() ||
      members.m_voters.size() > m_settings.m_full_voters;
  return m_settings.m_discovers_peers && has_replacement &&
         consensus::IsVoter(members, m_self);
}

std::vector<Endpoint> ReplicaRunner::MemberEndpoints() const {
  std::vector<Endpoint> endpoints;
  const Voters members = ConsensusStatus().m_voters;
  for (const auto* list : {&members.m_voters, &members.m_learners}) {
    for (const VoterId& member : *list) {
      const std::optional<Endpoint> endpoint =
          ParseEndpoint(member.m_host.m_value);
      if (endpoint)
        endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

// ---- Steps -----------------------------------------------------------------

void ReplicaRunner::Step(consensus::Event event) {
  m_event_queue.push_back(std::move(event));
  if (m_is_stepping)
    return;
  m_is_stepping = true;
  while (!m_event_queue.empty() && m_replica && !m_is_stopped) {
    const consensus::Event next = std::move(m_event_queue.front());
    m_event_queue.pop_front();
    ExecuteActions(m_replica->Step(MonoClock::now(), next));
  }
  m_event_queue.clear();
  m_is_stepping = false;
  if (m_replica)
    ScheduleTick();
}

void ReplicaRunner::ScheduleTick() {
  if (m_is_stopped)
    return;
  const auto delay = std::max<MonoClock::duration>(
      m_replica->NextDeadline() - MonoClock::now(), milliseconds(1));
  m_tick_timer.expires_after(delay);
  m_tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      Step(consensus::Tick{});
  });
}

void ReplicaRunner::ExecuteActions(consensus::Actions actions) {
  if (actions.m_role)
    OnRoleChange(*actions.m_role);
  if (actions.m_persist)
    m_disk->Persist(*std::move(actions.m_persist));
  for (const consensus::Message& message : actions.m_send)
    SendMessage(message);
  if (actions.m_snapshot_write) {
    m_is_receiving_snapshot = actions.m_snapshot_write->m_is_last_chunk;
    m_disk->WriteSnapshotChunk(*std::move(actions.m_snapshot_write));
  }
  for (const consensus::SnapshotRead& read : actions.m_snapshot_reads)
    m_disk->ReadSnapshotChunk(read);
  if (actions.m_install_snapshot)
    InstallSnapshot(*actions.m_install_snapshot);
  for (const consensus::AcceptedProposal& accepted : actions.m_accepted) {
    auto node = m_submitted_proposals.extract(accepted.m_token);
    if (!node.empty()) {
      m_appended_proposals[accepted.m_index] = {
          .m_term = accepted.m_term, .m_callback = std::move(node.mapped())};
    }
  }
  for (const LogEntry& entry : actions.m_apply)
    ApplyEntry(entry);
  for (const consensus::RefusedRequest& refused : actions.m_refused) {
    auto node = m_submitted_proposals.extract(refused.m_token);
    if (!node.empty()) {
      node.mapped()({.m_status = IsLeader() ? ProposalStatus::kRefused
                                            : ProposalStatus::kNotLeader,
                     .m_error = refused.m_error.m_message});
    }
    auto read = m_pending_reads.extract(refused.m_token);
    if (!read.empty())
      read.mapped()(false);
  }
  for (const std::uint64_t token : actions.m_completed_reads) {
    auto read = m_pending_reads.extract(token);
    if (!read.empty())
      read.mapped()(true);
  }
  if (actions.m_wrong_folder_sender) {
    observe::Log(LogEvent::kForeignFolder,
                 {{"sender", actions.m_wrong_folder_sender->m_host.m_value}});
  }
  MaybeTakeSnapshot();
}

void ReplicaRunner::SendMessage(const consensus::Message& message) {
  const auto peer = m_connections.find(consensus::ReceiverOf(message).m_host);
  if (peer == m_connections.end())
    return;
  std::visit(
      [&](const auto& typed_message) {
        peer->second.m_client->Send(typed_message);
      },
      message);
}

void ReplicaRunner::OnRoleChange(const consensus::RoleChange& change) {
  m_leader = change.m_leader;
  if (change.m_role == consensus::Role::kLeader) {
    observe::Log(LogEvent::kBecameLeader, {{"term", change.m_term}});
  } else {
    if (change.m_lost_quorum)
      observe::Log(LogEvent::kQuorumLost, {{"term", change.m_term}});
    if (change.m_role == consensus::Role::kFollower)
      observe::Log(LogEvent::kBecameFollower, {{"term", change.m_term}});
    FailPendingProposals();
  }
  m_callbacks.m_on_role_change(change);
}

// ---- Proposals -------------------------------------------------------------

void ReplicaRunner::Propose(std::string command, ProposalCallback callback) {
  if (!m_replica) {
    callback({.m_status = ProposalStatus::kNotLeader});
    return;
  }
  const std::uint64_t token = m_next_token++;
  m_submitted_proposals.emplace(token, std::move(callback));
  Step(consensus::Propose{.m_token = token, .m_data = std::move(command)});
}

void ReplicaRunner::ChangeMembership(consensus::MembershipStep step,
                                     const VoterId& replica,
                                     ProposalCallback callback) {
  if (!m_replica) {
    callback({.m_status = ProposalStatus::kNotLeader});
    return;
  }
  const std::uint64_t token = m_next_token++;
  m_submitted_proposals.emplace(token, std::move(callback));
  Step(consensus::ChangeMembership{
      .m_token = token, .m_step = step, .m_replica = replica});
}

void ReplicaRunner::ReadBarrier(ReadCallback callback) {
  if (!m_replica) {
    callback(false);
    return;
  }
  const std::uint64_t token = m_next_token++;
  m_pending_reads.emplace(token, std::move(callback));
  Step(consensus::ReadBarrier{.m_token = token});
}

void ReplicaRunner::TransferLeadership() {
  observe::Log(LogEvent::kLeadershipTransferred, {});
  Step(consensus::TransferLeadership{.m_token = m_next_token++});
}

void ReplicaRunner::ApplyEntry(const LogEntry& entry) {
  m_snapshot_schedule.OnApplied(entry.m_data.size());
  ProposalOutcome outcome{.m_status = ProposalStatus::kApplied};
  if (entry.m_kind == EntryKind::kCommand) {
    Result<control::CommandResult> result =
        m_state.Apply(entry.m_index, entry.m_data);
    if (result) {
      outcome.m_result = std::move(result).value();
      m_callbacks.m_on_command_applied(entry.m_index, *outcome.m_result);
    } else {
      observe::Log(
          LogEvent::kCommandRefused,
          {{"index", entry.m_index}, {"error", result.error().m_message}});
      outcome.m_status = ProposalStatus::kRefused;
      outcome.m_error = result.error().m_message;
    }
  }
  auto node = m_appended_proposals.extract(entry.m_index);
  if (node.empty())
    return;
  if (node.mapped().m_term != entry.m_term)
    outcome = {.m_status = ProposalStatus::kNotLeader};
  node.mapped().m_callback(outcome);
}

void ReplicaRunner::FailPendingProposals() {
  const auto proposals = std::exchange(m_appended_proposals, {});
  for (const auto& [index, proposal] : proposals)
    proposal.m_callback({.m_status = ProposalStatus::kUnknown});
}

// ---- Snapshots -------------------------------------------------------------

void ReplicaRunner::MaybeTakeSnapshot() {
  const SnapshotInfo info = m_replica->AppliedInfo();
  if (m_is_receiving_snapshot ||
      !m_snapshot_schedule.TryStart(info.m_last_index, MonoClock::now()))
    return;
  m_disk->WriteLocalSnapshot(
      std::make_shared<control::SnapshotWriter>(m_state), info,
      [this] { m_snapshot_schedule.OnDiskFull(MonoClock::now()); });
}

void ReplicaRunner::InstallSnapshot(const SnapshotInfo& info) {
  const auto data = m_disk->ReadSnapshot(info.m_last_index);
  Result<control::StateMachine> state =
      data ? DecodeSnapshot(data.value())
           : MakeError(ErrorCode::kIo, data.error().m_message);
  if (!state) {
    // Later entries must not be applied without this state.
    observe::Log(LogEvent::kSnapshotRefused,
                 {{"error", state.error().m_message}});
    std::_Exit(EXIT_FAILURE);
  }
  m_state = std::move(state).value();
  m_snapshot_schedule.OnStored(info.m_last_index);
  m_is_founded = true;
  observe::Log(LogEvent::kSnapshotInstalled, {{"index", info.m_last_index}});
  m_callbacks.m_on_snapshot_installed();
}

// ---- Status ----------------------------------------------------------------

void ReplicaRunner::CheckLeadership() {
  if (IsLeader())
    Step(consensus::Tick{});
}

bool ReplicaRunner::IsLeader() const {
  return m_replica && m_replica->Status().m_role == consensus::Role::kLeader;
}

std::optional<ControlPeer> ReplicaRunner::Leader() const {
  if (!m_leader)
    return std::nullopt;
  const auto leader = m_peers.find(m_leader->m_host);
  if (leader == m_peers.end())
    return std::nullopt;
  return leader->second;
}

consensus::ReplicaStatus ReplicaRunner::ConsensusStatus() const {
  return m_replica ? m_replica->Status() : consensus::ReplicaStatus{};
}

milliseconds ReplicaRunner::StateAge() const {
  return std::chrono::duration_cast<milliseconds>(
      MonoClock::now() - ConsensusStatus().m_current_at);
}

}  // namespace jujube::controld
