// EntryControl: the control thread of an entry daemon.
//
// Owns all mutable state (configuration, registry, allotments, planned stop)
// and publishes a new ServingView when it has changed. All members except
// IsReady and Claims are called on the thread of the io_context.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "entry/claim_client.h"
#include "entry/control_metrics.h"
#include "entry/entry_shared.h"
#include "entry/leader_client.h"
#include "entry/slot_grants.h"
#include "feed/status_table.h"
#include "gen/feed.h"
#include "gen/membership.h"
#include "gen/status.h"
#include "limits/allotment_holder.h"
#include "lookup/entry_host_lists.h"
#include "membership/entry_host_directory.h"
#include "membership/registry.h"
#include "net/feed_client.h"
#include "net/feed_server.h"
#include "net/frame_server.h"
#include "net/peer_exchange.h"
#include "quotas/quota_holder.h"
#include "request/host_drain.h"
#include "steering/counter_table.h"
#include "steering/route_table.h"
#include "tenants/key_lease.h"
#include "tenants/tenant_table.h"

namespace jujube::entry {

class EntryControl {
 public:
  EntryControl(boost::asio::io_context& io,
               EntryShared& shared,
               const std::string& peer_key);
  ~EntryControl();

  // Applies the deployment document named in the settings, if there is one, and
  // starts the peer listener, the feed and the renewal of allotments.
  Status Start(std::optional<Deployment> initial_deployment);
  void Stop();

  // Merges an announcement of an upstream into the registry.
  void OnAnnouncement(const Announcement& announcement);

  // Replaces the seeds, from which the control hosts are discovered.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  // Starts the planned stop and calls `on_drained` once it is complete.
  void StartDrain(std::function<void()> on_drained);
  // True if the drain limit passed while requests were still in progress.
  bool WasDrainCutShort() const;

  // True if a configuration is in force, was confirmed to be the newest once,
  // and no planned stop has begun. May be called on any thread.
  bool IsReady() const { return m_is_ready.load(std::memory_order_relaxed); }

  EntryStatus CurrentStatus() const;
  ClaimClient& Claims() { return m_claims; }

 private:
  void ApplyFeedState(std::shared_ptr<const FeedState> state);
  void RebuildLookup();
  void TrackLimits();
  std::uint32_t LocalRetryBurst() const;
  const std::map<AvailabilityZoneId, std::uint32_t>& CountEntryHostsByZone(
      MonoTime now);
  void PublishView();
  void UpdateHostCap(MonoTime now);
  void UpdateEntryHostLists(MonoTime now);
  void MarkViewOutdated() { m_is_view_outdated = true; }
  bool HasControlHosts() const;
  // True if the control hosts allot this host its shares of the limits.
  bool UsesAllotments() const;
  net::PeerExchangeOptions MakePeerOptions();
  void OnPeerDelta(const RegistryDelta& delta);
  void UpdateControlHosts(MonoTime now);
  void SwitchToNewerFeed(MonoTime now);
  void UpdatePresence();
  net::FeedClientOptions MakeFeedOptions() const;
  boost::asio::awaitable<void> TickLoop();
  void Tick(MonoTime now);
  void AdvanceDrain(MonoTime now);
  void UpdateConfigConfirmation(MonoTime now);
  // Publishes the end of the lease for requests with keys.
  void UpdateKeyLease(MonoTime now);
  void UpdateMetrics(MonoTime now);
  // Reports the use of quotas to the leader of the control hosts.
  void ReportQuotas(MonoTime now);
  // Reports sooner than with the next tick if requests wait for tokens.
  boost::asio::awaitable<void> QuotaLoop();
  void LogLimitChanges(MonoTime now);
  boost::asio::awaitable<void> RenewLoop();
  boost::asio::awaitable<void> RenewOnce();
  std::vector<Drain> ActiveDrains() const;
  request::DrainLimits MakeDrainLimits() const;

  boost::asio::io_context& m_io;
  EntryShared& m_shared;
  net::FrameCounters m_frame_counters;  // must outlive the connections
  const net::FrameOptions m_frame_options;
  LeaderClient m_leader;
  ClaimClient m_claims;

  std::shared_ptr<const FeedState> m_feed_state;  // configuration in force
  std::shared_ptr<const lookup::Table> m_lookup;
  std::shared_ptr<const steering::RouteTable> m_routes;
  std::shared_ptr<const tenants::TenantTable> m_tenants;
  quotas::QuotaHolder m_quotas;  // with discovered control hosts
  tenants::KeyLease m_key_lease;
  bool m_is_key_lease_expired = false;  // as logged last
  // False with discovered control hosts until one of them has confirmed the
  // configuration once. Until then no route is served, since callers may have
  // seen a newer configuration before this process started.
  bool m_is_config_confirmed;
  membership::Registry m_registry;
  std::uint64_t m_published_registry_version = 0;
  steering::CounterTable m_counters;
  limits::AllotmentHolder m_allotments;
  SlotGrants m_slot_grants;
  std::shared_ptr<const steering::UpstreamView> m_upstreams;

  feed::StatusTable m_subscriber_statuses;  // subscribers of this relay
  std::unique_ptr<net::FeedServer> m_feed_server;
  std::unique_ptr<net::FrameServer> m_frame_server;
  std::unique_ptr<net::FeedClient> m_feed_client;
  net::PeerExchange m_peers;

  std::optional<request::HostDrain> m_drain;
  std::function<void()> m_on_drained;
  ControlMetrics m_metrics;
  struct ControlHostReport {
    std::vector<Endpoint> m_hosts;  // as the sender listed them last
    MonoTime m_heard_at{};
  };
  std::vector<Endpoint> m_seeds;  // control hosts named by the settings
  std::map<HostId, ControlHostReport> m_control_host_reports;  // by sender
  std::vector<Endpoint> m_control_hosts;  // the seeds and all reported hosts
  MonoTime m_control_hosts_due;           // next time to bring them up to date
  std::map<Endpoint, std::uint64_t> m_feed_index_by_host;  // last reported ones
  std::uint64_t m_newest_feed_index = 0;  // highest that control hosts reported
  Endpoint m_newest_feed_host;            // control host that last reported it
  MonoTime m_feed_advanced_at;            // last change of m_feed_state
  MonoTime m_parent_switched_at;          // last switch of the feed parent
  // Time since which m_newest_feed_index is higher than the index of
  // m_feed_state; empty if it is not.
  std::optional<MonoTime> m_behind_since;
  std::vector<HostId> m_entry_hosts;  // hosts that may forward requests
  membership::EntryHostDirectory m_entry_host_directory;
  // Highest number of entry hosts seen in each availability zone, with
  // selects_by_cost. Not reduced when hosts fail, because the share of the
  // objects that a region keeps must not change with every host.
  std::map<AvailabilityZoneId, std::uint32_t> m_entry_hosts_by_zone;
  lookup::EntryHostLists m_entry_host_lists;  // as published
  lookup::SpillPlan m_spill_plan;
  std::uint16_t m_load_permille = 0;  // of this host, as announced
  MonoTime m_entry_host_lists_due;    // next time to bring them up to date
  std::atomic<bool> m_is_ready = false;
  bool m_is_view_outdated = true;
  bool m_is_stopped = false;
};

}  // namespace jujube::entry
