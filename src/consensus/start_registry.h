// StartRegistry: detects a peer whose data folder was restored from an old
// copy.
//
//   StartRegistry registry(recovered.m_peers);
//   if (!registry.Observe(introduction))
//     ...  // log OldFolderRefused and close the connection
//   if (registry.TakeChangedFlag())
//     store.WritePeerStarts(registry.Snapshot());  // before the first message
//
// A data folder counts its starts. If a peer reports a lower count than before,
// its folder was rolled back and lost votes and log entries that it had
// acknowledged. The same count from another process means that the copy is one
// start old.

#pragma once

#include <cstdint>
#include <map>

#include "gen/consensus.h"

namespace jujube::consensus {

class StartRegistry {
 public:
  explicit StartRegistry(const PeerStarts& stored);

  // Records the start count of a peer. False if the peer must be refused.
  bool Observe(const Introduction& introduction);

  // True if there are unsaved changes; resets the flag.
  bool TakeChangedFlag();

  PeerStarts Snapshot() const;

 private:
  std::map<VoterId, Introduction> m_latest_introductions;
  bool m_has_unsaved_changes = false;
};

}  // namespace jujube::consensus
