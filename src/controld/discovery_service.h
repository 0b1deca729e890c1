// DiscoveryService: discovers upstreams and entry hosts by the announcements
// that they send to control hosts.
//
//   upstream --announcement--> any control host --delta--> all entry hosts
//                                    |                 \-> other control hosts
//   entry host --delta with presence--> all control hosts
//                    all control hosts --states of entry hosts--> entry hosts
//
// Every control host keeps a registry of upstreams and pushes each change to
// the entry hosts that are connected to it. An announcement that only renews a
// lease is relayed to the other control hosts unless this host leads, and never
// to entry hosts. The leader detects upstreams that no longer announce
// themselves. The leave of an upstream is acknowledged once every entry host
// from which this control host received a delta within kEntryHostTimeout has
// confirmed the change, and only by a control host that hears all entry hosts
// (QuorumContact).
//
// Entry hosts learn from the states which entry hosts they may name to callers;
// each state is sent to each of them once.
//
// The state is in memory: a restarted control host receives it from the entry
// hosts and the other control hosts. Not thread-safe: use it on the thread of
// its io_context.

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "controld/quorum_contact.h"
#include "core/clock.h"
#include "gen/membership.h"
#include "membership/entry_host_log.h"
#include "membership/registry.h"
#include "net/frame_dispatch.h"
#include "net/frame_options.h"
#include "net/peer_exchange.h"

namespace jujube::controld {

// An entry host that is ready for callers.
struct ReadyEntryHost {
  HostId m_host;
  AvailabilityZoneId m_zone;
  Endpoint m_caller;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a default
  friend auto operator<=>(const ReadyEntryHost&,
                          const ReadyEntryHost&) = default;
};

// Entry hosts from which this control host has received a delta.
struct EntryHostCount {
  std::size_t m_known = 0;  // lately or not
  std::size_t m_live = 0;   // within kEntryHostTimeout

  friend auto operator<=>(const EntryHostCount&,
                          const EntryHostCount&) = default;
};

// Confirmed point in time of the lease statements (ConfigLease).
struct LeaseConfirmation {
  MonoTime m_confirmed_at{};
  std::uint64_t m_feed_index = 0;

  friend auto operator<=>(const LeaseConfirmation&,
                          const LeaseConfirmation&) = default;
};

struct DiscoveryOptions {
  HostId m_host;                                      // this control host
  std::chrono::milliseconds m_announcement_interval;  // of the upstreams
  // Time since the state of this host was confirmed to be the newest.
  std::function<std::chrono::milliseconds()> m_state_age;
  // Runs a read barrier: true once the state of this host includes all that
  // was committed before the call, false if this host does not lead.
  std::function<boost::asio::awaitable<bool>()> m_read_barrier;
  // True if the document in force has tenants.
  std::function<bool()> m_has_tenants;
};

class DiscoveryService {
 public:
  DiscoveryService(boost::asio::io_context& io,
                   const net::FrameOptions& frames,
                   DiscoveryOptions options);

  // Registers the handler of deltas from entry hosts and other control hosts.
  void RegisterHandlers(net::FrameDispatch* handlers);
  void Start();
  void Stop();

  // Peer endpoints of all control hosts, which are sent to the entry hosts.
  void SetControlHosts(const std::vector<Endpoint>& endpoints,
                       const Endpoint& self);
  // Opens the connection to a control host again.
  void ReopenControlPeer(const Endpoint& endpoint);
  void SetLeading(bool is_leading);
  // Time since which this host leads; empty if it does not.
  std::optional<MonoTime> LeadingSince() const { return m_leading_since; }
  // Start of the last read barrier that succeeded. Barriers run while this host
  // leads and the document has tenants.
  std::optional<MonoTime> ConfirmedAt() const;
  // Zone of an entry host; empty if it is not known.
  AvailabilityZoneId ZoneOf(const HostId& host) const;
  // Newest index of the configuration. Pushed to the entry hosts at once.
  void SetFeedIndex(std::uint64_t index);

  // Merges an announcement that an upstream sent to this host. Returns the
  // registry version that entry hosts have to merge before a leave is
  // acknowledged.
  std::uint64_t MergeAnnouncement(const Announcement& announcement);

  // An announcement of the instance: the first one found if it serves several
  // services.
  std::optional<Announcement> FindAnnouncement(
      const InstanceId& instance) const;

  // True once every entry host from which this control host received a delta
  // within kEntryHostTimeout has merged the version. False at the deadline, and
  // at once if this control host cannot hear all entry hosts before it.
  boost::asio::awaitable<bool> WaitUntilMerged(std::uint64_t version,
                                               MonoTime deadline);

  std::vector<ReadyEntryHost> ReadyEntryHosts(MonoTime now) const;
  EntryHostCount CountEntryHosts(MonoTime now) const;

 private:
  struct Subscriber {
    std::uint64_t m_incarnation = 0;
    std::weak_ptr<net::FrameConnection> m_connection;
    std::uint64_t m_sent_version = 0;      // of this registry
    std::uint64_t m_merged_version = 0;    // of this registry, as confirmed
    std::uint64_t m_received_version = 0;  // of the subscriber's registry
    std::uint64_t m_sent_host_lists_version = 0;
    std::uint64_t m_sent_states_version = 0;  // of m_entry_host_log
    std::uint64_t m_clock = 0;  // RegistryDelta::m_clock of the last message
    EntryPresence m_presence;
    bool m_is_leaving = false;
    MonoTime m_last_received;
  };

  void OnDelta(const net::FrameSource& source, const RegistryDelta& delta);
  void OnEntryHost(const net::FrameSource& source, const RegistryDelta& delta);
  void PushTo(Subscriber& subscriber, MonoTime now);
  void PushToAll();
  void MarkSilentInstances(MonoTime now);
  bool IsLive(const Subscriber& subscriber, MonoTime now) const;
  bool HaveAllMerged(std::uint64_t version, MonoTime now) const;
  void UpdateQuorumContact(MonoTime now);
  void RecordEntryHostStates(MonoTime now);
  std::vector<HostId> LeavingEntryHosts() const;
  boost::asio::awaitable<void> TickLoop();
  // Confirms the configuration for the leases of entry hosts while this host
  // leads.
  boost::asio::awaitable<void> LeaseLoop();
  std::optional<ConfigLease> MakeLease(const Subscriber& subscriber,
                                       MonoTime now) const;

  boost::asio::io_context& m_io;
  const net::FrameOptions m_frames;
  const DiscoveryOptions m_options;
  membership::Registry m_registry;
  net::PeerExchange m_control_peers;
  std::vector<Endpoint> m_control_hosts;
  std::map<HostId, Subscriber> m_subscribers;
  membership::EntryHostLog m_entry_host_log;  // states of m_subscribers
  std::uint64_t m_host_lists_version =
      1;  // of the lists of control and entry hosts
  std::uint64_t m_feed_index = 0;
  std::optional<MonoTime> m_leading_since;
  std::optional<LeaseConfirmation> m_lease_confirmation;
  QuorumContact m_quorum_contact;
  boost::asio::steady_timer m_confirmation_timer;  // cancelled to wake waiters
  std::uint64_t m_pushed_version = 0;
  std::uint64_t m_pushed_states_version = 0;  // of m_entry_host_log
  bool m_is_stopped = false;
};

}  // namespace jujube::controld
