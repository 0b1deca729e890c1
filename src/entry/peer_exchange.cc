#include "entry/peer_exchange.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/hash.h"

namespace jujube::entry {

namespace asio = boost::asio;

namespace {

// A peer that was silent for longer is gone and answers no look-ups.
constexpr std::chrono::milliseconds kPeerSilence{2000};

}  // namespace

PeerExchange::PeerExchange(asio::io_context& io,
                           net::FrameOptions options,
                           HostId host,
                           membership::Registry& registry,
                           std::function<void()> on_change)
    : m_io(io),
      m_options(std::move(options)),
      m_host(std::move(host)),
      m_registry(registry),
      m_on_change(std::move(on_change)) {}

void PeerExchange::Start() {
  asio::co_spawn(m_io, SendLoop(), asio::detached);
}

void PeerExchange::Stop() {
  m_is_stopped = true;
  for (auto& [endpoint, peer] : m_peers)
    peer.m_client->Stop();
}

void PeerExchange::SetPeers(const Deployment& deployment) {
  std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
  for (const EntryHost& host : deployment.m_entry_hosts) {
    if (host.m_name != m_host) {
      const std::uint64_t rank =
          MixHash(Hash64(m_host.m_value), Hash64(host.m_name.m_value));
      ranked.emplace_back(rank, host.m_peer);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.size() > kMaxPeers)
    ranked.resize(kMaxPeers);
  std::map<Endpoint, Peer> peers;
  for (const auto& [rank, endpoint] : ranked) {
    const auto known = m_peers.find(endpoint);
    if (known != m_peers.end()) {
      peers.emplace(endpoint, std::move(known->second));
      continue;
    }
    Peer peer{.m_client = std::make_unique<net::FrameClient>(
                  m_io, m_options, endpoint, net::FrameDispatch())};
    peer.m_client->Start();
    peers.emplace(endpoint, std::move(peer));
  }
  m_peers = std::move(peers);
}

void PeerExchange::OnDelta(const RegistryDelta& delta, MonoTime now) {
  for (const RegistryEntry& entry : delta.m_entries)
    m_registry.Merge(entry, now);
  Heard& heard = m_heard[delta.m_host];
  if (delta.m_incarnation < heard.m_incarnation)
    return;
  const bool is_changed = heard.m_is_leaving != delta.m_leaving;
  heard.m_incarnation = delta.m_incarnation;
  heard.m_is_leaving = delta.m_leaving;
  heard.m_omitted = {delta.m_omitted.begin(), delta.m_omitted.end()};
  heard.m_at = now;
  if (is_changed)
    m_on_change();
}

void PeerExchange::SetLeaving() {
  m_is_leaving = true;
  m_on_change();
}

bool PeerExchange::IsOmittedEverywhere(MonoTime now) const {
  return std::all_of(m_heard.begin(), m_heard.end(), [&](const auto& line) {
    const Heard& heard = line.second;
    return now - heard.m_at > kPeerSilence || heard.m_omitted.contains(m_host);
  });
}

std::vector<HostId> PeerExchange::LeavingHosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, heard] : m_heard) {
    if (heard.m_is_leaving)
      hosts.push_back(host);
  }
  if (m_is_leaving)
    hosts.push_back(m_host);
  return hosts;
}

asio::awaitable<void> PeerExchange::SendLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    const MonoTime now = MonoClock::now();
    for (auto& [endpoint, peer] : m_peers)
      SendTo(peer, now);
    timer.expires_after(kInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

void PeerExchange::SendTo(Peer& peer, MonoTime now) {
  if (!peer.m_client->IsConnected())
    return;
  // A restarted peer has lost what it was sent.
  const std::uint64_t incarnation = peer.m_client->PeerIncarnation();
  if (std::exchange(peer.m_connection, incarnation) != incarnation)
    peer.m_cursor = 0;
  membership::DeltaPage page = m_registry.DeltaSince(
      peer.m_cursor, m_host, m_options.m_incarnation, now);
  page.m_delta.m_leaving = m_is_leaving;
  page.m_delta.m_omitted = LeavingHosts();
  if (peer.m_client->Send(page.m_delta))
    peer.m_cursor = page.m_upto;
}

}  // namespace jujube::entry
