// Tests of ReplicaRunner with a peer that loses power: its connections stay
// open on the other side, because nothing closes them.

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "controld/replica_runner.h"
#include "gen/consensus_wire.h"
#include "storage/log_store.h"
#include "storage/posix_disk.h"
#include "unit/net_support.h"

namespace jujube::controld {
namespace {

using net::test::IoThread;
using net::test::RawPeer;
using net::test::TestOptions;

HostId HostAt(const Endpoint& endpoint) {
  return {endpoint.m_address + ":" + std::to_string(endpoint.m_port)};
}

// A control host in the test process that joins the log of its peer.
class JoiningHost {
 public:
  explicit JoiningHost(const Endpoint& peer) {
    std::string pattern = testing::TempDir() + "jujube-XXXXXX";
    m_folder = ::mkdtemp(pattern.data());
    m_thread.Run([&] {
      net::FrameOptions frames = TestOptions();
      // The port is known only after the start of the listener.
      m_server = std::make_unique<net::FrameServer>(m_thread.Context(), frames,
                                                    MakeHandlers());
      m_endpoint = m_server->Start({}).value();
      ControlSettings settings{.m_host = HostAt(m_endpoint),
                               .m_discovers_peers = true,
                               .m_join = true};
      settings.m_peers = {{.m_host = HostAt(peer), .m_peer = peer},
                          {.m_host = settings.m_host, .m_peer = m_endpoint}};
      auto disk = storage::PosixDisk::Open(m_folder);
      m_runner = std::make_unique<ReplicaRunner>(
          m_thread.Context(), settings, frames,
          Store::Open(std::move(disk).value(), {}, 5).value(),
          RunnerCallbacks{
              .m_on_command_applied = [](std::uint64_t,
                                         const control::CommandResult&) {},
              .m_on_snapshot_installed = [] {},
              .m_on_role_change = [](const consensus::RoleChange&) {}});
      m_runner->RegisterHandlers(&m_handlers);
      ASSERT_TRUE(m_runner->Start());
    });
  }
  ~JoiningHost() {
    m_thread.Run([&] {
      m_runner->Stop();
      m_server.reset();
      m_runner.reset();
    });
    std::filesystem::remove_all(m_folder);
  }
  JoiningHost(const JoiningHost&) = delete;
  JoiningHost& operator=(const JoiningHost&) = delete;

  const Endpoint& PeerEndpoint() const { return m_endpoint; }

 private:
  // Forwards to the handlers of the runner, which is created after the server.
  net::FrameDispatch MakeHandlers() {
    net::FrameDispatch handlers;
    handlers.On<Introduction>(
        [this](const net::FrameSource& source, const Introduction& message) {
          (void)m_handlers.Dispatch(
              source, static_cast<std::uint16_t>(FrameType::kIntroduction),
              Encode(message));
        });
    return handlers;
  }

  std::string m_folder;
  IoThread m_thread;
  net::FrameDispatch m_handlers;
  std::unique_ptr<net::FrameServer> m_server;
  std::unique_ptr<ReplicaRunner> m_runner;
  Endpoint m_endpoint;
};

// A process of the peer: records who introduces itself, and sends its own
// introduction if it is told where to.
class PeerProcess {
 public:
  PeerProcess(const Endpoint& listen, std::uint64_t incarnation)
      : m_listen(listen), m_incarnation(incarnation) {
    m_thread.Run([&] {
      net::FrameDispatch handlers;
      handlers.On<Introduction>(
          [this](const net::FrameSource&, const Introduction& introduction) {
            m_introduced = introduction.m_replica.m_host;
          });
      m_server = std::make_unique<net::FrameServer>(
          m_thread.Context(), Options(), std::move(handlers));
      ASSERT_TRUE(m_server->Start(m_listen));
    });
  }
  ~PeerProcess() {
    m_thread.Run([&] {
      m_client.reset();
      m_server.reset();
    });
  }
  PeerProcess(const PeerProcess&) = delete;
  PeerProcess& operator=(const PeerProcess&) = delete;

  void IntroduceTo(const Endpoint& host) {
    m_thread.Run([&] {
      m_client = std::make_unique<net::FrameClient>(
          m_thread.Context(), Options(), host, net::FrameDispatch());
      m_client->OnConnection([this](bool connected) {
        if (connected) {
          m_client->Send(Introduction{.m_replica = {HostAt(m_listen), 9},
                                      .m_starts = m_incarnation,
                                      .m_run = m_incarnation});
        }
      });
      m_client->Start();
    });
  }
  void WaitForIntroduction(const HostId& host) {
    m_thread.WaitUntil([&] { return m_introduced == host; });
  }

 private:
  net::FrameOptions Options() const {
    net::FrameOptions options = TestOptions();
    options.m_incarnation = m_incarnation;
    return options;
  }

  const Endpoint m_listen;
  const std::uint64_t m_incarnation;
  IoThread m_thread;
  std::unique_ptr<net::FrameServer> m_server;
  std::unique_ptr<net::FrameClient> m_client;
  std::optional<HostId> m_introduced;
};

// Guards against a control host whose new data folder is never admitted: the
// leader lost power and started again, the connection to its earlier process
// stayed open, and the introduction was sent only once for each connection.
TEST(ControlPeerContact, HostIntroducesItselfToRestartedPeer) {
  RawPeer earlier_process;
  const Endpoint endpoint = earlier_process.Listen();
  const JoiningHost host(endpoint);
  earlier_process.AcceptWithHandshake();
  earlier_process.StopListening();
  PeerProcess process(endpoint, 8);
  process.IntroduceTo(host.PeerEndpoint());
  process.WaitForIntroduction(HostAt(host.PeerEndpoint()));
}

}  // namespace
}  // namespace jujube::controld
