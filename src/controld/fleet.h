// Fleet: upstreams and entry hosts that announce themselves to control hosts.
//
//   upstream --announcement--> any control host --delta--> all entry hosts
//                                    |                 \-> other control hosts
//   entry host --delta with presence--> all control hosts
//
// Every control host keeps the registry of upstreams and pushes each change to
// the entry hosts that are connected to it. An announcement that only renews a
// lease goes to the other control hosts and no further; the leader says when an
// upstream has been silent for too long. A leaving upstream is acknowledged
// once every live entry host has confirmed that it knows.
//
// The state is in memory: a restarted control host receives it from the entry
// hosts and the other control hosts. Belongs to the thread of its io_context.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "gen/membership.h"
#include "membership/registry.h"
#include "net/frame_dispatch.h"
#include "net/frame_options.h"
#include "net/peer_exchange.h"

namespace jujube::controld {

// An entry host that callers may be sent to.
struct ReadyEntryHost {
  HostId m_host;
  AvailabilityZoneId m_zone;
  Endpoint m_caller;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default
  friend auto operator<=>(const ReadyEntryHost&,
                          const ReadyEntryHost&) = default;
};

struct FleetOptions {
  HostId m_host;                                      // this control host
  std::chrono::milliseconds m_announcement_interval;  // of the upstreams
};

class Fleet {
 public:
  Fleet(boost::asio::io_context& io,
        const net::FrameOptions& frames,
        FleetOptions options);

  // Adds the handler of deltas from entry hosts and other control hosts.
  void Register(net::FrameDispatch* handlers);
  void Start();
  void Stop();

  // Peer listeners of all control hosts; told to the entry hosts.
  void SetControlHosts(const std::vector<Endpoint>& endpoints,
                       const Endpoint& own);
  void SetLeading(bool is_leading);
  // Newest index of the configuration; pushed to the entry hosts at once.
  void SetFeedIndex(std::uint64_t index);

  // An upstream announced itself to this host. Returns the registry version
  // that entry hosts have to merge before a leave is acknowledged.
  std::uint64_t Announce(const Announcement& announcement);

  // The newest announcement of the instance, whatever its service.
  std::optional<Announcement> Find(const InstanceId& instance) const;

  // True once every live entry host has merged the version; false at the
  // deadline.
  boost::asio::awaitable<bool> WaitUntilMerged(std::uint64_t version,
                                               MonoTime deadline);

  std::vector<ReadyEntryHost> ReadyEntryHosts(MonoTime now) const;

 private:
  struct Subscriber {
    std::uint64_t m_incarnation = 0;
    std::weak_ptr<net::FrameConnection> m_connection;
    std::uint64_t m_cursor = 0;  // version that was sent
    std::uint64_t m_merged = 0;  // version that it confirmed
    std::uint64_t m_seen = 0;    // its version that is merged here
    std::uint64_t m_lists = 0;   // version of the host lists that it was sent
    EntryPresence m_presence;
    bool m_is_leaving = false;
    MonoTime m_heard;
  };

  void OnDelta(const net::FrameSource& source, const RegistryDelta& delta);
  void OnEntryHost(const net::FrameSource& source, const RegistryDelta& delta);
  void PushTo(Subscriber& subscriber, MonoTime now);
  void PushToAll();
  void MarkSilentInstances(MonoTime now);
  bool IsLive(const Subscriber& subscriber, MonoTime now) const;
  bool HaveAllMerged(std::uint64_t version, MonoTime now) const;
  std::vector<HostId> LeavingEntryHosts() const;
  boost::asio::awaitable<void> TickLoop();

  boost::asio::io_context& m_io;
  const net::FrameOptions m_frames;
  const FleetOptions m_options;
  membership::Registry m_registry;
  net::PeerExchange m_control_peers;
  std::vector<Endpoint> m_control_hosts;
  std::map<HostId, Subscriber> m_subscribers;
  std::uint64_t m_lists_version = 1;  // of control hosts and entry hosts
  std::uint64_t m_feed_index = 0;
  std::optional<MonoTime> m_leading_since;
  boost::asio::steady_timer m_merged_signal;  // cancelled by each confirmation
  std::uint64_t m_pushed_version = 0;
  bool m_is_stopped = false;
};

}  // namespace jujube::controld
