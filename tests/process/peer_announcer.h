// PeerAnnouncer: announces an instance to all entry hosts as another entry host
// would, every 100 ms, with increasing sequence numbers. For entry hosts that
// discover the control hosts, which take no announcements from upstreams.

#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "gen/frames.h"
#include "net/frame_client.h"
#include "process/request_fixture.h"

namespace jujube::testing {

class PeerAnnouncer {
 public:
  PeerAnnouncer(const RequestSystem& system, Announcement first)
      : m_thread([this, &system, first = std::move(first)] {
          Announce(system, first);
        }) {}
  ~PeerAnnouncer() {
    m_is_stopped = true;
    m_thread.join();
  }
  PeerAnnouncer(const PeerAnnouncer&) = delete;
  PeerAnnouncer& operator=(const PeerAnnouncer&) = delete;

 private:
  void Announce(const RequestSystem& system, Announcement announcement) {
    boost::asio::io_context io;
    std::vector<std::unique_ptr<net::FrameClient>> clients;
    for (std::size_t i = 0; i < system.EntryCount(); ++i) {
      clients.push_back(std::make_unique<net::FrameClient>(
          io, net::FrameOptions{.m_key = kPeerKey, .m_incarnation = 1},
          system.SettingsOfEntry(i).m_peer, net::FrameDispatch()));
      clients.back()->Start();
    }
    while (!m_is_stopped) {
      const RegistryDelta delta{
          .m_host = {"announcer"},
          .m_incarnation = 1,
          .m_entries = {{.m_announcement = announcement}}};
      for (const auto& client : clients) {
        if (client->IsConnected())
          client->Send(delta);
      }
      ++announcement.m_sequence;
      io.run_for(std::chrono::milliseconds(100));
      io.restart();
    }
    for (const auto& client : clients)
      client->Stop();
  }

  std::atomic<bool> m_is_stopped = false;
  std::thread m_thread;
};

}  // namespace jujube::testing
