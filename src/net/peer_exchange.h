// PeerExchange: announcements and planned stops, passed between hosts.
//
// Each interval every peer gets the announcements that it may lack, and with
// them whether this host is leaving and which hosts it leaves out of look-ups.
// A host that stops learns from this that it is left out everywhere. A peer may
// send the same over the connection that this host opened; what arrives there
// is confirmed at once.
//
// Entry hosts of a document exchange with each other. Entry hosts that discover
// the control hosts exchange with those, and control hosts with each other.
//
// Belongs to the control thread.

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
  // A connection on which the peer said nothing for so long is opened anew.
  // Zero: the peer is not expected to send on it.
  std::chrono::milliseconds m_silence{0};
  // False: a peer gets the announcements of this host once a connection, since
  // it learns of changes by itself.
  bool m_sends_changes = true;
  // The set of leaving hosts changed; may be empty.
  std::function<void()> m_on_leaving;
  // A delta was merged; may be empty.
  std::function<void(const RegistryDelta&)> m_on_delta;
};

// Peers of an entry host by the document: a few others, by rendezvous hashing.
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
  void Stop();

  void SetPeers(const std::vector<Endpoint>& endpoints);
  // Sent with each message from now on.
  void SetPresence(const EntryPresence& presence);
  // Sends to all peers now, for example after a change of the presence.
  void SendNow();
  // Sends one announcement to all peers, also if it only renews a lease.
  void Relay(const RegistryEntry& entry);

  // A delta that arrived over a connection of the peer.
  void OnDelta(const RegistryDelta& delta, MonoTime now);

  void SetLeaving();
  // All peers that were heard of lately leave this host out of look-ups.
  bool IsOmittedEverywhere(MonoTime now) const;
  // Hosts that said that they leave, this one included.
  std::vector<HostId> LeavingHosts() const;
  std::size_t Connected() const;  // peers with a connection

 private:
  struct Peer {
    std::unique_ptr<FrameClient> m_client;
    std::uint64_t m_cursor = 0;      // registry version that it has
    std::uint64_t m_connection = 0;  // incarnation that the cursor is for
    std::uint64_t m_merged = 0;      // version of the peer that is merged here
    bool m_has_all = false;          // was told all announcements once
    MonoTime m_heard;                // last message, or start of the connection
  };
  struct Heard {
    std::uint64_t m_incarnation = 0;
    bool m_is_leaving = false;
    std::set<HostId> m_omitted;
    MonoTime m_at;
  };

  boost::asio::awaitable<void> SendLoop();
  std::unique_ptr<FrameClient> Connect(const Endpoint& endpoint);
  void ReopenIfSilent(const Endpoint& endpoint, Peer& peer, MonoTime now);
  void OnPushed(const Endpoint& endpoint, const RegistryDelta& delta);
  void SendTo(Peer& peer, MonoTime now);
  RegistryDelta Frame(RegistryDelta delta, const Peer& peer) const;

  boost::asio::io_context& m_io;
  const FrameOptions m_frames;
  const HostId m_host;
  membership::Registry& m_registry;
  const PeerExchangeOptions m_options;
  std::map<Endpoint, Peer> m_peers;
  std::map<HostId, Heard> m_heard;
  std::optional<EntryPresence> m_presence;
  bool m_is_leaving = false;
  bool m_is_stopped = false;
};

}  // namespace jujube::net
