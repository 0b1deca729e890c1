// PeerExchange: exchanges announcements and planned stops between hosts.
//
// In each interval, this host sends to every peer the announcements that the
// peer may be missing, whether this host is leaving, and the hosts that it
// omits from look-ups. A leaving host can thereby detect that all hosts omit
// it. A peer may send the same messages over the connection that this host
// opened. They are acknowledged immediately if they carry another registry
// version than the previous one, otherwise with the next message.
//
// Entry hosts that are listed in the deployment document exchange with each
// other. Entry hosts that discover the control hosts exchange with the control
// hosts, and control hosts with each other.
//
// Not thread-safe: belongs to the control thread.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "gen/deployment.h"
#include "gen/membership.h"
#include "membership/registry.h"
#include "net/frame_client.h"
#include "net/frame_options.h"

namespace jujube::net {

struct PeerExchangeOptions {
  std::chrono::milliseconds m_interval{250};
  // Timeout after which a connection is reopened if the peer sent nothing on
  // it. Zero: never, since the peer is not expected to send on it.
  std::chrono::milliseconds m_silence{0};
  // False: send all announcements only once to each peer, and again after the
  // peer restarts or a silent connection is replaced (m_silence). A reconnect
  // to the same incarnation of the peer resends nothing. The peer receives
  // changes by other means.
  bool m_sends_changes = true;
  // Called when another host has started or stopped leaving, and on every
  // SetLeaving; may be empty.
  std::function<void()> m_on_leaving;
  // Called after a delta was merged; may be empty. Not called for a delta from
  // an earlier incarnation of its sender, although its entries are merged.
  std::function<void(const RegistryDelta&)> m_on_delta;
  // Adds handlers of other messages that the peer at the endpoint sends on the
  // connection to it; may be empty.
  std::function<void(const Endpoint&, FrameDispatch*)> m_add_handlers;
};

// Selects the peers of an entry host among the entry hosts of the deployment,
// by rendezvous hashing.
std::vector<Endpoint> EntryPeersOf(const Deployment& deployment,
                                   const HostId& host);

class PeerExchange {
 public:
  PeerExchange(boost::asio::io_context& io,
               FrameOptions frames,
               HostId host,
               membership::Registry& registry,
               PeerExchangeOptions options);

  void Start();
  // Disconnects from all peers. The send loop ends only when its timer next
  // expires, up to m_interval later, and reads this object then. Destroy the
  // object after that, or once its io_context no longer runs.
  void Stop();

  void SetPeers(const std::vector<Endpoint>& endpoints);
  // Closes the connection to a peer and opens a new one. No effect for an
  // endpoint that is no peer.
  void Reopen(const Endpoint& endpoint);
  // Sets the presence that is sent with each further message.
  void SetPresence(const EntryPresence& presence);
  // Sends to all peers without waiting for the interval, for example after
  // SetPresence.
  void SendNow();
  // Sends one announcement to all peers, even if it only renews a lease.
  void Relay(const RegistryEntry& entry);

  // Whether there is a connection to a peer, and the incarnation of its process
  // (0: none).
  std::uint64_t PeerIncarnation(const Endpoint& endpoint) const;
  // Sends another message to a peer. Returns false if it cannot be queued.
  template <class Message>
  bool Send(const Endpoint& endpoint, const Message& message) {
    const auto peer = m_peers.find(endpoint);
    return peer != m_peers.end() && peer->second.m_client->Send(message);
  }

  // Merges a delta that arrived over a connection that the peer opened.
  void OnDelta(const RegistryDelta& delta, MonoTime now);

  void SetLeaving();
  // True if all hosts that sent a message recently omit this host from
  // look-ups.
  bool IsOmittedEverywhere(MonoTime now) const;
  // Hosts that announced that they are leaving, including this one.
  std::vector<HostId> LeavingHosts() const;
  std::size_t ConnectedPeerCount() const;

 private:
  struct Peer {
    std::unique_ptr<FrameClient> m_client;
    std::uint64_t m_sent_version = 0;      // registry version sent so far
    std::uint64_t m_peer_incarnation = 0;  // that m_sent_version refers to
    std::uint64_t m_merged_version = 0;    // the peer's version merged here
    bool m_full_sync_done = false;         // all announcements were sent once
    MonoTime m_last_message_at;            // or when the connection was opened
  };
  struct HostState {
    std::uint64_t m_incarnation = 0;
    bool m_is_leaving = false;
    std::set<HostId> m_omitted;
    MonoTime m_received_at;
  };

  boost::asio::awaitable<void> SendLoop();
  std::unique_ptr<FrameClient> Connect(const Endpoint& endpoint);
  void ReopenIfSilent(const Endpoint& endpoint, Peer& peer, MonoTime now);
  // Handles a delta that arrived over a connection that this host opened.
  void OnDeltaFromPeer(const Endpoint& endpoint, const RegistryDelta& delta);
  void SendTo(Peer& peer, MonoTime now);
  RegistryDelta WithSenderFields(RegistryDelta delta, const Peer& peer) const;

  boost::asio::io_context& m_io;
  const FrameOptions m_frames;
  const HostId m_host;
  membership::Registry& m_registry;
  const PeerExchangeOptions m_options;
  std::map<Endpoint, Peer> m_peers;
  std::map<HostId, HostState> m_host_states;
  std::optional<EntryPresence> m_presence;
  bool m_is_leaving = false;
  bool m_is_stopped = false;
};

}  // namespace jujube::net
