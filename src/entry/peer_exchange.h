// PeerExchange: announcements and planned stops, passed between entry hosts.
//
// Each kInterval every peer gets the announcements that it may lack, and with
// them whether this host is leaving and which hosts it leaves out of look-ups.
// A host that stops learns from this that it is left out everywhere.
//
// Belongs to the control thread.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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

namespace jujube::entry {

class PeerExchange {
 public:
  static constexpr std::chrono::milliseconds kInterval{250};
  // Announcements reach all hosts over several peers; more connections for
  // each host would cost more than they help.
  static constexpr std::size_t kMaxPeers = 16;

  // on_change: the set of leaving hosts changed.
  PeerExchange(boost::asio::io_context& io,
               net::FrameOptions options,
               HostId host,
               membership::Registry& registry,
               std::function<void()> on_change);

  void Start();
  void Stop();

  // Sets the peers from the document in force.
  void SetPeers(const Deployment& deployment);

  // True if the registry or the leaving hosts may have changed.
  void OnDelta(const RegistryDelta& delta, MonoTime now);

  void SetLeaving();
  // All peers that were heard of lately leave this host out of look-ups.
  bool IsOmittedEverywhere(MonoTime now) const;
  // Hosts that said that they leave, this one included.
  std::vector<HostId> LeavingHosts() const;

 private:
  struct Peer {
    std::unique_ptr<net::FrameClient> m_client;
    std::uint64_t m_cursor = 0;      // registry version that it has
    std::uint64_t m_connection = 0;  // incarnation that the cursor is for
  };
  struct Heard {
    std::uint64_t m_incarnation = 0;
    bool m_is_leaving = false;
    std::set<HostId> m_omitted;
    MonoTime m_at;
  };

  boost::asio::awaitable<void> SendLoop();
  void SendTo(Peer& peer, MonoTime now);

  boost::asio::io_context& m_io;
  const net::FrameOptions m_options;
  const HostId m_host;
  membership::Registry& m_registry;
  const std::function<void()> m_on_change;
  std::map<Endpoint, Peer> m_peers;
  std::map<HostId, Heard> m_heard;
  bool m_is_leaving = false;
  bool m_is_stopped = false;
};

}  // namespace jujube::entry
