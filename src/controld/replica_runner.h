// ReplicaRunner: runs a consensus::Replica with its disk, its peers and the
// state machine.
//
//   runner.Propose(command, [](const ProposalOutcome& outcome) { ... });
//   runner.ReadBarrier([](bool is_current) { ... });
//
// Not thread-safe: use it on the thread of its io_context, where the callbacks
// run as well.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "consensus/member_presence.h"
#include "consensus/peer_contacts.h"
#include "consensus/replica.h"
#include "consensus/start_registry.h"
#include "control/state_machine.h"
#include "controld/disk_thread.h"
#include "controld/snapshot_schedule.h"
#include "gen/settings.h"
#include "net/frame_client.h"
#include "net/frame_dispatch.h"
#include "net/frame_options.h"
#include "storage/recovered_log.h"

namespace jujube::consensus {
struct MembershipChange;
struct MembershipFacts;
}  // namespace jujube::consensus

namespace jujube::controld {

enum class ProposalStatus : std::uint8_t {
  kApplied,    // committed; m_result is the result of a command
  kNotLeader,  // not committed, because this replica is not the leader
  kRefused,    // not proposed, or refused by the state machine; see m_error
  kUnknown,    // leadership was lost; it may still be committed
};

struct ProposalOutcome {
  ProposalStatus m_status = ProposalStatus::kUnknown;
  std::optional<control::CommandResult> m_result;
  std::string m_error;
};

struct RunnerCallbacks {
  // Called after each applied command, on every replica.
  std::function<void(std::uint64_t index, const control::CommandResult& result)>
      m_on_command_applied;
  // Called after a snapshot has replaced the state.
  std::function<void()> m_on_snapshot_installed;
  std::function<void(const consensus::RoleChange&)> m_on_role_change;
  // Called when the connection to a peer is opened again because it proved
  // unusable. Other connections to that peer may be unusable too.
  std::function<void(const Endpoint& peer)> m_on_peer_reopened;
};

class ReplicaRunner {
 public:
  using ProposalCallback = std::function<void(const ProposalOutcome&)>;
  using ReadCallback = std::function<void(bool is_current)>;

  ReplicaRunner(boost::asio::io_context& io,
                const ControlSettings& settings,
                const net::FrameOptions& frames,
                Store store,
                RunnerCallbacks callbacks);
  ~ReplicaRunner();
  ReplicaRunner(const ReplicaRunner&) = delete;
  ReplicaRunner& operator=(const ReplicaRunner&) = delete;

  // Registers the handlers of messages between replicas.
  void RegisterHandlers(net::FrameDispatch* handlers);
  Status Start();
  void Stop();

  void Propose(std::string command, ProposalCallback callback);
  void ChangeMembership(consensus::MembershipStep step,
                        const VoterId& replica,
                        ProposalCallback callback);
  // Repeats the introduction to all peers, opens connections again that lead to
  // an earlier process of a peer or to a silent peer, and closes those to hosts
  // that are gone. Call it periodically.
  void UpdatePeerConnections();
  // With peer discovery: connects to the members and, on the leader, proposes
  // the next change from PlanMembership. Call it periodically.
  void UpdateMembership();
  // With peer discovery: replaces the hosts from which others are discovered.
  void SetSeeds(const std::vector<ControlPeer>& seeds);
  // Tells all peers that this process is about to stop, so that its vote can
  // pass to a replacement without waiting for its silence.
  void AnnounceStop();
  // True while this host is a voter that another host can replace.
  bool AwaitsReplacement() const;
  // Peer endpoints of all members whose host id is an endpoint, including this
  // host.
  std::vector<Endpoint> MemberEndpoints() const;
  // Calls back with true once the state is current, with false if this replica
  // is not the leader.
  void ReadBarrier(ReadCallback callback);
  void TransferLeadership();

  // Steps down if the leadership has expired, for example while the process was
  // suspended. Call it before reporting the role without a read barrier.
  void CheckLeadership();
  bool IsLeader() const;
  bool IsStarted() const { return m_replica.has_value(); }
  std::optional<ControlPeer> Leader() const;  // nullopt if unknown
  consensus::ReplicaStatus ConsensusStatus() const;
  const VoterId& Self() const { return m_self; }
  const control::StateMachine& State() const { return m_state; }
  // Time since the state was last known to include all committed changes; since
  // boot if it never was. Exported as the age of the feed.
  std::chrono::milliseconds StateAge() const;

 private:
  struct Peer {
    std::unique_ptr<net::FrameClient> m_client;
    MonoTime m_connected_at{};  // of the current or last connection
    MonoTime m_wanted_since{};  // since then, the host is known
    // The connection over which the peer last introduced itself.
    std::weak_ptr<net::FrameConnection> m_introduced_over;
  };
  struct PendingProposal {
    std::uint64_t m_term = 0;
    ProposalCallback m_callback;
  };

  template <class Message>
  void RegisterMessageHandler(net::FrameDispatch* handlers);
  void OnIntroduction(const net::FrameSource& source,
                      const Introduction& introduction);
  void RecordContact(const net::FrameSource& source,
                     const Introduction& introduction);
  void OnMessage(const net::FrameSource& source, consensus::Message message);
  void OnPeerReport(const net::FrameSource& source, const PeerReport& report);
  Introduction MakeIntroduction() const;
  PeerReport MakePeerReport() const;
  void IntroduceTo(net::FrameClient& client) const;
  void ConnectToPeers();
  // Connects to a host whose name is the endpoint of its peer listener.
  void ConnectToDiscovered(const HostId& host);
  void DisconnectFromLostHosts(MonoTime now);
  void ConnectTo(const ControlPeer& peer);
  void OpenConnection(const HostId& host);
  // Closes and opens the connection of this host to a peer.
  void ReopenConnection(const HostId& host);
  void ReopenIfUnusable(const HostId& host);
  void ConnectToMembers();
  void AddDiscoveredPeer(const Introduction& introduction);
  bool IsConnectedTo(const HostId& host) const;
  bool IsMember(const HostId& host) const;
  consensus::MembershipFacts CollectMembershipFacts(MonoTime now) const;
  void LogMembershipChange(const consensus::MembershipChange& change,
                           const ProposalOutcome& outcome);
  void TryFounding();
  void StartReplica();
  // Events that arrive while another one is processed are queued, so that
  // entries are applied in order.
  void Step(consensus::Event event);
  void ExecuteActions(consensus::Actions actions);
  void SendMessage(const consensus::Message& message);
  void InstallSnapshot(const SnapshotInfo& info);
  void ApplyEntry(const LogEntry& entry);
  void MaybeTakeSnapshot();
  void ScheduleTick();
  void OnRoleChange(const consensus::RoleChange& change);
  void FailPendingProposals();

  boost::asio::io_context& m_io;
  const ControlSettings m_settings;
  const net::FrameOptions m_frames;
  const RunnerCallbacks m_callbacks;
  storage::RecoveredLog m_recovered_log;
  const VoterId m_self;
  const std::uint64_t m_start_count;
  bool m_is_founded = false;
  Voters m_founders;
  control::StateMachine m_state;
  consensus::StartRegistry m_start_registry;
  std::map<HostId, Introduction> m_introductions;
  std::map<std::uint64_t, VoterId> m_introduced_peers;  // by incarnation
  std::map<HostId, ControlPeer> m_peers;  // configured and discovered hosts
  std::map<HostId, Peer> m_connections;
  consensus::PeerContacts m_contacts;
  MonoTime m_next_introduction{};
  consensus::MemberPresence m_presence{MonoClock::now()};
  std::set<HostId> m_seeds;
  bool m_is_stop_announced = false;
  bool m_is_changing_members = false;
  std::string m_last_membership_refusal;  // empty after a change
  std::optional<consensus::Replica> m_replica;
  std::deque<consensus::Event> m_event_queue;
  bool m_is_stepping = false;
  std::unique_ptr<DiskThread> m_disk;
  boost::asio::steady_timer m_tick_timer;
  std::uint64_t m_next_token = 1;
  std::map<std::uint64_t, ProposalCallback> m_submitted_proposals;  // by token
  std::map<std::uint64_t, PendingProposal>
      m_appended_proposals;                               // by log index
  std::map<std::uint64_t, ReadCallback> m_pending_reads;  // by token
  SnapshotSchedule m_snapshot_schedule;
  // True only from the last chunk of a received snapshot until its
  // installation.
  bool m_is_receiving_snapshot = false;
  bool m_has_unsaved_peer_starts = false;
  bool m_is_stopped = false;
  std::optional<VoterId> m_leader;
};

}  // namespace jujube::controld
