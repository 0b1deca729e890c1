#include "consensus/start_registry.h"

#include <algorithm>
#include <utility>

namespace jujube::consensus {

namespace {

// Limit of PeerStarts in the schema. Identities of replaced disks stay in it.
constexpr std::size_t kMaxPeers = 256;

}  // namespace

StartRegistry::StartRegistry(const PeerStarts& stored) {
  for (const Introduction& peer : stored.m_peers)
    m_latest[peer.m_replica] = peer;
}

bool StartRegistry::Observe(const Introduction& introduction) {
  const auto found = m_latest.find(introduction.m_replica);
  if (found == m_latest.end()) {
    if (m_latest.size() >= kMaxPeers)
      return false;
    m_latest.emplace(introduction.m_replica, introduction);
    m_changed = true;
    return true;
  }
  Introduction& latest = found->second;
  if (introduction.m_starts < latest.m_starts)
    return false;
  if (introduction.m_starts == latest.m_starts)
    return introduction.m_run == latest.m_run;
  latest = introduction;
  m_changed = true;
  return true;
}

bool StartRegistry::TakeChanged() {
  return std::exchange(m_changed, false);
}

PeerStarts StartRegistry::Snapshot() const {
  PeerStarts peers;
  for (const auto& [replica, latest] : m_latest)
    peers.m_peers.push_back(latest);
  return peers;
}

}  // namespace jujube::consensus
