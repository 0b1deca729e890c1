#include "consensus/start_registry.h"

#include <algorithm>
#include <utility>

namespace jujube::consensus {

namespace {

// Limit of PeerStarts in the schema. Identities of replaced disks are never
// removed, so they count too.
constexpr std::size_t kMaxPeers = 256;

}  // namespace

StartRegistry::StartRegistry(const PeerStarts& stored) {
  for (const Introduction& peer : stored.m_peers)
    m_latest_introductions[peer.m_replica] = peer;
}

bool StartRegistry::Observe(const Introduction& introduction) {
  const auto found = m_latest_introductions.find(introduction.m_replica);
  if (found == m_latest_introductions.end()) {
    if (m_latest_introductions.size() >= kMaxPeers)
      return false;
    m_latest_introductions.emplace(introduction.m_replica, introduction);
    m_has_unsaved_changes = true;
    return true;
  }
  Introduction& latest = found->second;
  if (introduction.m_starts < latest.m_starts)
    return false;
  if (introduction.m_starts == latest.m_starts)
    return introduction.m_run == latest.m_run;
  latest = introduction;
  m_has_unsaved_changes = true;
  return true;
}

bool StartRegistry::TakeChangedFlag() {
  return std::exchange(m_has_unsaved_changes, false);
}

PeerStarts StartRegistry::Snapshot() const {
  PeerStarts peers;
  for (const auto& [replica, latest] : m_latest_introductions)
    peers.m_peers.push_back(latest);
  return peers;
}

}  // namespace jujube::consensus
