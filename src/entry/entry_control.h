// EntryControl: the control thread of an entry daemon.
//
// Owns all mutable state (configuration, registry, allotments, planned stop)
// and publishes a ServingView for each change. Every member is called on the
// thread of its io_context.

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
#include "membership/registry.h"
#include "net/feed_client.h"
#include "net/feed_server.h"
#include "net/frame_server.h"
#include "net/peer_exchange.h"
#include "request/host_drain.h"
#include "steering/counter_table.h"
#include "steering/route_table.h"

namespace jujube::entry {

class EntryControl {
 public:
  EntryControl(boost::asio::io_context& io,
               EntryShared& shared,
               const std::string& peer_key);
  ~EntryControl();

  // Puts the document of the settings in force, if there is one, and starts the
  // listener for peers, the feed and the renewal of allotments.
  Status Start(std::optional<Deployment> first);
  void Stop();

  // An upstream announced itself.
  void OnAnnouncement(const Announcement& announcement);

  // Starts the planned stop; `done` is called once it is complete.
  void StartDrain(std::function<void()> done);
  // Stopping after the limit for work in progress cut it short.
  bool WasCutShort() const;

  // Has a configuration and takes requests. May be asked on any thread.
  bool IsReady() const { return m_is_ready.load(std::memory_order_relaxed); }

  EntryStatus CurrentStatus() const;
  ClaimClient& Claims() { return m_claims; }

 private:
  void UseState(std::shared_ptr<const FeedState> state);
  void RebuildLookup();
  void TrackLimits();
  std::uint32_t RetryBurst() const;
  void Publish();
  void MarkDirty() { m_is_dirty = true; }
  bool HasControl() const;
  // Shares of limits come from the control hosts.
  bool HasAllotments() const;
  net::PeerExchangeOptions ExchangeOptions();
  void OnPeerDelta(const RegistryDelta& delta);
  void FollowNewerFeed(MonoTime now);
  void UpdatePresence();
  net::FeedClientOptions FeedOptions() const;
  boost::asio::awaitable<void> TickLoop();
  void Tick(MonoTime now);
  void AdvanceDrain(MonoTime now);
  void UpdateMetrics(MonoTime now);
  boost::asio::awaitable<void> RenewLoop();
  boost::asio::awaitable<void> RenewOnce();
  std::vector<Drain> DrainsInForce() const;
  request::DrainLimits LimitsOfDrain() const;

  boost::asio::io_context& m_io;
  EntryShared& m_shared;
  net::FrameCounters m_frame_counters;  // outlives the connections
  const net::FrameOptions m_frames;
  LeaderClient m_leader;
  ClaimClient m_claims;

  std::shared_ptr<const FeedState> m_state;  // document in force
  std::shared_ptr<const lookup::Table> m_lookup;
  std::shared_ptr<const steering::RouteTable> m_routes;
  membership::Registry m_registry;
  std::uint64_t m_published_registry = 0;
  steering::CounterTable m_counters;
  limits::AllotmentHolder m_holder;
  SlotGrants m_grants;
  std::shared_ptr<const steering::UpstreamView> m_upstreams;

  feed::StatusTable m_statuses;  // of relayed subscribers
  std::unique_ptr<net::FeedServer> m_feed_server;
  std::unique_ptr<net::FrameServer> m_frame_server;
  std::unique_ptr<net::FeedClient> m_feed_client;
  net::PeerExchange m_peers;

  std::optional<request::HostDrain> m_drain;
  std::function<void()> m_on_drained;
  ControlMetrics m_metrics;
  std::map<HostId, std::vector<Endpoint>> m_control_lists;  // by control host
  std::uint64_t m_newest_index = 0;        // of the feed, at any control host
  Endpoint m_newest_host;                  // control host that stated it last
  MonoTime m_feed_switched;                // last change of the feed's parent
  std::optional<MonoTime> m_behind_since;  // a control host has a newer state
  std::vector<HostId> m_entry_hosts;       // that may be sending requests
  std::atomic<bool> m_is_ready = false;
  bool m_is_dirty = true;
  bool m_is_stopped = false;
};

}  // namespace jujube::entry
