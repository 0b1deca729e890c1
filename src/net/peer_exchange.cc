#include "net/peer_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/hash.h"
#include "membership/known_sender.h"
#include "observe/log.h"

namespace jujube::net {

namespace asio = boost::asio;

namespace {

// IsOmittedEverywhere ignores a host that sent no message for this long.
constexpr std::chrono::milliseconds kPeerSilenceTimeout{2000};

// Announcements propagate to all hosts through several peers, so a full mesh
// would cost connections without need.
constexpr std::size_t kMaxEntryPeers = 16;

void LogLeave(const Announcement& announcement, const HostId& sender) {
  observe::Log(LogEvent::kInstanceLeaving,
               {{"service", announcement.m_service.m_value},
                {"instance", announcement.m_instance.m_value},
                {"incarnation", announcement.m_incarnation},
                {"sequence", announcement.m_sequence},
                {"from", sender.m_value}});
}

}  // namespace

std::vector<Endpoint> EntryPeersOf(const Deployment& deployment,
                                   const HostId& host) {
  std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
  for (const EntryHost& other : deployment.m_entry_hosts) {
    if (other.m_name != host) {
      const std::uint64_t rank =
          MixHash(Hash64(host.m_value), Hash64(other.m_name.m_value));
      ranked.emplace_back(rank, other.m_peer);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.size() > kMaxEntryPeers)
    ranked.resize(kMaxEntryPeers);
  std::vector<Endpoint> endpoints;
  endpoints.reserve(ranked.size());
  for (const auto& [rank, endpoint] : ranked)
    endpoints.push_back(endpoint);
  return endpoints;
}

PeerExchange::PeerExchange(asio::io_context& io,
                           FrameOptions frames,
                           HostId host,
                           membership::Registry& registry,
                           PeerExchangeOptions options)
    : m_io(io),
      m_frames(std::move(frames)),
      m_host(std::move(host)),
      m_registry(registry),
      m_options(std::move(options)) {}

void PeerExchange::Start() {
  asio::co_spawn(m_io, SendLoop(), asio::detached);
}

void PeerExchange::Stop() {
  m_is_stopped = true;
  for (auto& [endpoint, peer] : m_peers)
    peer.m_client->Stop();
}

std::unique_ptr<FrameClient> PeerExchange::Connect(const Endpoint& endpoint) {
  FrameDispatch handlers;
  handlers.On<RegistryDelta>(
      [this, endpoint](const FrameSource&, const RegistryDelta& delta) {
        OnDeltaFromPeer(endpoint, delta);
      });
  if (m_options.m_add_handlers)
    m_options.m_add_handlers(endpoint, &handlers);
  auto client = std::make_unique<FrameClient>(m_io, m_frames, endpoint,
                                              std::move(handlers));
  client->Start();
  return client;
}

void PeerExchange::SetPeers(const std::vector<Endpoint>& endpoints) {
  std::map<Endpoint, Peer> peers;
  for (const Endpoint& endpoint : endpoints) {
    const auto existing = m_peers.find(endpoint);
    if (existing != m_peers.end()) {
      peers.emplace(endpoint, std::move(existing->second));
      m_peers.erase(existing);
      continue;
    }
    if (peers.contains(endpoint))
      continue;
    peers.emplace(endpoint, Peer{.m_client = Connect(endpoint),
                                 .m_last_message_at = MonoClock::now()});
  }
  m_peers = std::move(peers);
}

void PeerExchange::SetPresence(const EntryPresence& presence) {
  m_presence = presence;
}

void PeerExchange::SendNow() {
  const MonoTime now = MonoClock::now();
  for (auto& [endpoint, peer] : m_peers)
    SendTo(peer, now);
}

void PeerExchange::Relay(const RegistryEntry& entry) {
  for (auto& [endpoint, peer] : m_peers) {
    RegistryDelta delta{.m_entries = {entry}};
    // Leaves m_sent_version as it is, so that the peer is still sent all other
    // missing entries.
    delta.m_version = peer.m_sent_version;
    if (peer.m_client->IsConnected())
      peer.m_client->Send(WithSenderFields(std::move(delta), peer));
  }
}

void PeerExchange::OnDeltaFromPeer(const Endpoint& endpoint,
                                   const RegistryDelta& delta) {
  const MonoTime now = MonoClock::now();
  OnDelta(delta, now);
  const auto peer = m_peers.find(endpoint);
  if (peer == m_peers.end())
    return;
  peer->second.m_last_message_at = now;
  if (std::exchange(peer->second.m_merged_version, delta.m_version) !=
      delta.m_version)
    SendTo(peer->second, now);
}

void PeerExchange::OnDelta(const RegistryDelta& delta, MonoTime now) {
  for (const RegistryEntry& entry : delta.m_entries) {
    if (m_registry.Merge(entry, now) == membership::MergeOutcome::kLeft)
      LogLeave(entry.m_announcement, delta.m_host);
  }
  HostState& state = m_host_states[delta.m_host];
  if (membership::IsFromEarlierProcess({.m_incarnation = state.m_incarnation,
                                        .m_last_received = state.m_received_at,
                                        .m_silence = kPeerSilenceTimeout},
                                       delta.m_incarnation, now))
    return;
  const bool is_changed = state.m_is_leaving != delta.m_leaving;
  state.m_incarnation = delta.m_incarnation;
  state.m_is_leaving = delta.m_leaving;
  state.m_omitted = {delta.m_omitted.begin(), delta.m_omitted.end()};
  state.m_received_at = now;
  if (is_changed && m_options.m_on_leaving)
    m_options.m_on_leaving();
  if (m_options.m_on_delta)
    m_options.m_on_delta(delta);
}

void PeerExchange::SetLeaving() {
  m_is_leaving = true;
  if (m_options.m_on_leaving)
    m_options.m_on_leaving();
  SendNow();
}

bool PeerExchange::IsOmittedEverywhere(MonoTime now) const {
  return std::all_of(m_host_states.begin(), m_host_states.end(),
                     [&](const auto& item) {
                       const HostState& state = item.second;
                       return now - state.m_received_at > kPeerSilenceTimeout ||
                              state.m_omitted.contains(m_host);
                     });
}

std::vector<HostId> PeerExchange::LeavingHosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, state] : m_host_states) {
    if (state.m_is_leaving)
      hosts.push_back(host);
  }
  if (m_is_leaving)
    hosts.push_back(m_host);
  return hosts;
}

std::uint64_t PeerExchange::PeerIncarnation(const Endpoint& endpoint) const {
  const auto peer = m_peers.find(endpoint);
  return peer != m_peers.end() ? peer->second.m_client->PeerIncarnation() : 0;
}

std::size_t PeerExchange::ConnectedPeerCount() const {
  return static_cast<std::size_t>(std::count_if(
      m_peers.begin(), m_peers.end(),
      [](const auto& item) { return item.second.m_client->IsConnected(); }));
}

asio::awaitable<void> PeerExchange::SendLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    const MonoTime now = MonoClock::now();
    for (auto& [endpoint, peer] : m_peers) {
      ReopenIfSilent(endpoint, peer, now);
      SendTo(peer, now);
    }
    timer.expires_after(m_options.m_interval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// A connection may stall without a reset while new connections work.
void PeerExchange::ReopenIfSilent(const Endpoint& endpoint,
                                  Peer& peer,
                                  MonoTime now) {
  if (!peer.m_client->IsConnected()) {
    peer.m_last_message_at = now;
    return;
  }
  if (m_options.m_silence.count() == 0 ||
      now - peer.m_last_message_at < m_options.m_silence)
    return;
  Reopen(endpoint);
}

void PeerExchange::Reopen(const Endpoint& endpoint) {
  const auto peer = m_peers.find(endpoint);
  if (peer != m_peers.end()) {
    peer->second = {.m_client = Connect(endpoint),
                    .m_last_message_at = MonoClock::now()};
  }
}

RegistryDelta PeerExchange::WithSenderFields(RegistryDelta delta,
                                             const Peer& peer) const {
  delta.m_host = m_host;
  delta.m_incarnation = m_frames.m_incarnation;
  delta.m_leaving = m_is_leaving;
  delta.m_merged = peer.m_merged_version;
  delta.m_presence = m_presence;
  delta.m_omitted = LeavingHosts();
  delta.m_clock =
      static_cast<std::uint64_t>(MonoClock::now().time_since_epoch().count());
  return delta;
}

void PeerExchange::SendTo(Peer& peer, MonoTime now) {
  if (!peer.m_client->IsConnected())
    return;
  // A restarted peer has lost all entries that it was sent before.
  const std::uint64_t incarnation = peer.m_client->PeerIncarnation();
  if (std::exchange(peer.m_peer_incarnation, incarnation) != incarnation) {
    peer.m_sent_version = 0;
    peer.m_merged_version = 0;
    peer.m_full_sync_done = false;
  }
  if (peer.m_full_sync_done && !m_options.m_sends_changes)
    peer.m_sent_version = m_registry.Version();
  membership::DeltaPage page = m_registry.DeltaSince(
      peer.m_sent_version, m_host, m_frames.m_incarnation, now);
  page.m_delta.m_version = page.m_end_version;
  const bool is_complete = page.m_is_complete;
  if (!peer.m_client->Send(WithSenderFields(std::move(page.m_delta), peer)))
    return;
  peer.m_sent_version = page.m_end_version;
  peer.m_full_sync_done |= is_complete;
}

}  // namespace jujube::net
