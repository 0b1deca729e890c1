// StartRegistry: detects a peer whose data folder was restored from an old
// copy.
//
//   StartRegistry registry(recovered.m_peers);
//   if (!registry.Observe(introduction))
//     ...  // log OldFolderRefused and close the connection
//   if (registry.TakeChangedFlag())
//     store.WritePeerStarts(registry.Snapshot());  // before the first message
//
// TakeChangedFlag resets the flag; if the write fails, the caller must retry it
// before it exchanges messages with the peer.
//
// A data folder counts its starts. If a peer reports a lower count than before,
// its folder was rolled back and may have lost votes and log entries that it
// had acknowledged. If another process reports the same count, the copy was
// made before the latest start and has reached the same count since.

#pragma once

#include <cstdint>
#include <map>

#include "gen/consensus.h"

namespace jujube::consensus {

class StartRegistry {
 public:
  explicit StartRegistry(const PeerStarts& stored);

  // Records the start count of a peer. False if the peer must be refused: its
  // folder was restored from an old copy, or it is unknown and 256 peers are
  // already known.
  bool Observe(const Introduction& introduction);

  // True if there are unsaved changes; resets the flag.
  bool TakeChangedFlag();

  // The start counts of all known peers, to be stored; not a snapshot of the
  // log.
  PeerStarts Snapshot() const;

 private:
  // For each peer, the first introduction received after its latest start.
  std::map<VoterId, Introduction> m_latest_introductions;
  bool m_has_unsaved_changes = false;
};

}  // namespace jujube::consensus
