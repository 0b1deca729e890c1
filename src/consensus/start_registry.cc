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
    m_starts[peer.m_replica] = peer.m_starts;
}

bool StartRegistry::Observe(const Introduction& introduction) {
  const auto found = m_starts.find(introduction.m_replica);
  if (found == m_starts.end()) {
    if (m_starts.size() >= kMaxPeers)
      return false;
    m_starts.emplace(introduction.m_replica, introduction.m_starts);
    m_changed = true;
    return true;
  }
  if (introduction.m_starts < found->second)
    return false;
  m_changed = m_changed || introduction.m_starts > found->second;
  found->second = introduction.m_starts;
  return true;
}

bool StartRegistry::TakeChanged() {
  return std::exchange(m_changed, false);
}

PeerStarts StartRegistry::Snapshot() const {
  PeerStarts peers;
  for (const auto& [replica, starts] : m_starts)
    peers.m_peers.push_back({.m_replica = replica, .m_starts = starts});
  return peers;
}

}  // namespace jujube::consensus
