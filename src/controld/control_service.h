// ControlService: what a control daemon does for entry hosts.
//
// Claims and renewals are proposed by the leader; the other replicas name it.
// Every replica publishes the configuration to its subscribers. Belongs to the
// thread of its io_context.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "control/host_watch.h"
#include "control/shift_driver.h"
#include "controld/fleet.h"
#include "controld/replica_runner.h"
#include "feed/status_table.h"
#include "gen/settings.h"
#include "limits/lease_clock.h"
#include "limits/planner.h"
#include "net/feed_server.h"
#include "net/frame_dispatch.h"
#include "net/frame_metrics.h"
#include "net/frame_server.h"

namespace jujube::controld {

class ControlService {
 public:
  ControlService(boost::asio::io_context& io,
                 const ControlSettings& settings,
                 const net::FrameOptions& frames,
                 Store store);
  ~ControlService();

  // Starts the listener for peers, then the replica.
  Status Start();
  void Stop();

  ReplicaRunner& Runner() { return m_runner; }
  // Null unless hosts are discovered.
  Fleet* Discovered() { return m_fleet.get(); }
  const ControlPeer& Self() const { return m_self; }
  const feed::StatusTable& HostVersions() const { return m_statuses; }

 private:
  struct WaitingRenewal {
    net::FrameSource m_source;
    std::uint64_t m_incarnation = 0;
  };

  void StartFleet(net::FrameDispatch* handlers);
  boost::asio::awaitable<void> KeepMembers();
  void OnApplied(std::uint64_t index, const control::CommandResult& result);
  void OnRole(const consensus::RoleChange& change);
  void PublishFeed(const control::CommandResult* result);
  void LogPendingCaps() const;
  void UpdateMetrics();
  void OnClaim(const net::FrameSource& source, const ClaimRequest& request);
  void OnFinish(const net::FrameSource& source, const ClaimFinish& finish);
  void OnAllotment(const net::FrameSource& source,
                   const AllotmentRequest& request);
  std::optional<Endpoint> LeaderHint() const;
  void ScheduleRenewal(std::chrono::milliseconds delay);
  void ProposeRenewal();
  void ProposeShift(MonoTime now);
  void AnswerRenewals(const control::RenewAnswers& answers);

  boost::asio::io_context& m_io;
  const ControlSettings m_settings;
  const net::FrameOptions m_frames;
  ReplicaRunner m_runner;
  feed::StatusTable m_statuses;
  net::FeedServer m_feed;
  std::unique_ptr<net::FrameServer> m_frame_server;
  std::unique_ptr<Fleet> m_fleet;
  ControlPeer m_self;
  control::HostWatch m_watch;
  limits::LeaseClock m_lease_clock;
  limits::Planner m_planner;
  control::ShiftDriver m_shifts;
  MonoTime m_next_shift;
  std::map<HostId, WaitingRenewal> m_waiting;
  boost::asio::steady_timer m_renewal_timer;
  bool m_is_renewal_due = false;
  net::FrameMetrics m_frame_metrics;
  std::uint64_t m_snapshots_started = 0;  // of the feed, already counted
  bool m_is_stopped = false;
};

}  // namespace jujube::controld
