// ControlService: serves claims, allotments and the configuration feed to entry
// hosts.
//
// The leader proposes claims and renewals; other replicas reply with the
// endpoint of the leader. Every replica publishes the configuration to its
// subscribers. Not thread-safe: use it on the thread of its io_context.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "control/host_lease_monitor.h"
#include "control/shift_driver.h"
#include "controld/discovery_service.h"
#include "controld/quota_service.h"
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
  // Null unless the settings enable the discovery of hosts.
  DiscoveryService* Discovery() { return m_discovery.get(); }
  const ControlPeer& Self() const { return m_self; }
  // The feed statuses of the hosts; ControlDaemonStatus::m_in_force lists them.
  const feed::StatusTable& HostVersions() const { return m_feed_statuses; }

 private:
  struct PendingRenewal {
    net::FrameSource m_source;
    std::uint64_t m_incarnation = 0;
  };

  void StartDiscovery(net::FrameDispatch* handlers);
  boost::asio::awaitable<void> PeerLoop();
  // Runs a read barrier.
  boost::asio::awaitable<bool> ConfirmState();
  void OnCommandApplied(std::uint64_t index,
                        const control::CommandResult& result);
  void OnRoleChange(const consensus::RoleChange& change);
  void PublishFeed(const control::CommandResult* result);
  void LogPendingCaps() const;
  void UpdateMetrics();
  void OnClaim(const net::FrameSource& source, const ClaimRequest& request);
  void OnClaimFinish(const net::FrameSource& source, const ClaimFinish& finish);
  void OnAllotment(const net::FrameSource& source,
                   const AllotmentRequest& request);
  std::optional<Endpoint> LeaderHint() const;
  void ScheduleRenewal(std::chrono::milliseconds delay);
  void ProposeRenewal();
  void ProposeShift(MonoTime now);
  void ReplyToRenewals(const control::RenewAnswers& answers);

  boost::asio::io_context& m_io;
  const ControlSettings m_settings;
  const net::FrameOptions m_frames;
  ReplicaRunner m_runner;
  feed::StatusTable m_feed_statuses;
  net::FeedServer m_feed_server;
  std::unique_ptr<net::FrameServer> m_frame_server;
  std::unique_ptr<DiscoveryService> m_discovery;
  std::unique_ptr<QuotaService> m_quotas;  // with m_discovery
  ControlPeer m_self;
  control::HostLeaseMonitor m_host_monitor;
  limits::LeaseClock m_lease_clock;
  limits::Planner m_planner;
  control::ShiftDriver m_shift_driver;
  MonoTime m_next_shift_time;
  std::map<HostId, PendingRenewal> m_pending_renewals;
  boost::asio::steady_timer m_renewal_timer;
  // True while a batch of renewals waits for the timer, which is always armed.
  bool m_is_renewal_scheduled = false;
  net::FrameMetrics m_frame_metrics;
  // Feed snapshots already added to kFeedSnapshots.
  std::uint64_t m_counted_snapshots = 0;
  bool m_is_stopped = false;
};

}  // namespace jujube::controld
