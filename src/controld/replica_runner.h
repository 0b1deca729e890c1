// ReplicaRunner: connects a consensus::Replica to its disk and its peers.
//
//   runner.Propose(command, [](const ProposalOutcome& outcome) { ... });
//   runner.ReadBarrier([](bool is_current) { ... });
//
// Belongs to the thread of its io_context; callbacks run there.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "consensus/replica.h"
#include "consensus/start_registry.h"
#include "control/state_machine.h"
#include "controld/disk_thread.h"
#include "gen/settings.h"
#include "net/frame_client.h"
#include "net/frame_dispatch.h"
#include "net/frame_options.h"
#include "storage/recovered_log.h"

namespace jujube::controld {

enum class ProposalFate : std::uint8_t {
  kApplied,    // committed; m_result is its answer
  kNotLeader,  // not proposed
  kRefused,    // not proposed, for the reason in m_error
  kUnknown,    // leadership was lost; it may still be committed
};

struct ProposalOutcome {
  ProposalFate m_fate = ProposalFate::kUnknown;
  std::optional<control::CommandResult> m_result;
  std::string m_error;
};

struct RunnerCallbacks {
  // After each applied command, on every replica.
  std::function<void(std::uint64_t index, const control::CommandResult& result)>
      m_on_applied;
  std::function<void()> m_on_restored;  // a snapshot replaced the state
  std::function<void(const consensus::RoleChange&)> m_on_role;
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

  // Adds the handlers of messages between replicas.
  void Register(net::FrameDispatch* handlers);
  Status Start();
  void Stop();

  void Propose(std::string command, ProposalCallback callback);
  void ChangeMembership(consensus::MembershipStep step,
                        const VoterId& replica,
                        ProposalCallback callback);
  // With discovery: proposes the next change that PlanMembership names. Called
  // now and then; does nothing unless this replica leads.
  void KeepMembership();
  // Peer listeners of the members of the log, this host included.
  std::vector<Endpoint> MemberEndpoints() const;
  // Calls back with true once the state is current.
  void ReadBarrier(ReadCallback callback);
  void Transfer();

  // Gives up a leadership that has lapsed, for example while the process was
  // frozen. For answers that name the role without a read barrier.
  void CheckLeadership();
  bool IsLeader() const;
  bool IsStarted() const { return m_replica.has_value(); }
  std::optional<ControlPeer> Leader() const;  // of the hosts known here
  consensus::ReplicaStatus ReplicaState() const;
  const VoterId& Self() const { return m_self; }
  const control::StateMachine& State() const { return m_state; }
  // Time since a leader was known, for the age of the feed.
  std::chrono::milliseconds LeaderlessTime() const;

 private:
  struct Waiting {
    std::uint64_t m_term = 0;
    ProposalCallback m_callback;
  };

  template <class Message>
  void RegisterMessage(net::FrameDispatch* handlers);
  void OnIntroduction(const net::FrameSource& source,
                      const Introduction& introduction);
  void OnMessage(const net::FrameSource& source, consensus::Message message);
  Introduction OwnIntroduction() const;
  void ConnectToPeers();
  void ConnectTo(const ControlPeer& peer);
  void ConnectToMembers();
  void LearnPeer(const Introduction& introduction);
  bool HasIntroduced(const HostId& host) const;
  void TryFounding();
  void StartReplica();
  // An event that arrives while another one is being carried out waits, so that
  // entries are applied in order.
  void Step(consensus::Event event);
  void Execute(consensus::Actions actions);
  void Send(const consensus::Message& message);
  void Install(const SnapshotInfo& info);
  void ApplyEntry(const LogEntry& entry);
  void MaybeTakeSnapshot();
  void ScheduleTick();
  void OnRole(const consensus::RoleChange& change);
  void FailWaiting();

  boost::asio::io_context& m_io;
  const ControlSettings m_settings;
  const net::FrameOptions m_frames;
  const RunnerCallbacks m_callbacks;
  storage::RecoveredLog m_recovered;
  const VoterId m_self;
  const std::uint64_t m_starts;
  bool m_is_founded = false;
  Voters m_founders;
  control::StateMachine m_state;
  consensus::StartRegistry m_start_registry;
  std::map<HostId, Introduction> m_introductions;
  std::map<std::uint64_t, VoterId> m_accepted_peers;  // by frame incarnation
  std::map<HostId, ControlPeer> m_peers;              // hosts known here
  std::map<HostId, std::unique_ptr<net::FrameClient>> m_clients;
  std::map<HostId, MonoTime> m_last_connected;
  bool m_is_changing_members = false;
  std::optional<consensus::Replica> m_replica;
  std::deque<consensus::Event> m_events;  // waiting
  bool m_is_stepping = false;
  std::unique_ptr<DiskThread> m_disk;
  boost::asio::steady_timer m_timer;
  std::uint64_t m_next_token = 1;
  std::map<std::uint64_t, ProposalCallback> m_proposed;  // by token
  std::map<std::uint64_t, Waiting> m_accepted;           // by log index
  std::map<std::uint64_t, ReadCallback> m_reads;         // by token
  std::uint64_t m_snapshot_index = 0;
  bool m_is_taking_snapshot = false;
  bool m_is_receiving_snapshot = false;
  bool m_has_peer_starts_to_write = false;
  bool m_is_stopped = false;
  std::optional<VoterId> m_leader;
  MonoTime m_leader_seen;
};

}  // namespace jujube::controld
