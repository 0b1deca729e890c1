// StartRegistry: recognises a data folder that was restored from an old copy.
//
//   StartRegistry registry(recovered.m_peers);
//   if (!registry.Observe(introduction))
//     ...  // log OldFolderRefused and close the connection
//   if (registry.TakeChanged())
//     store.WritePeerStarts(registry.Snapshot());  // before the first message
//
// Each start of a folder has a higher count, so a lower one than seen before
// means that the folder lost what it had promised since. So does the same count
// from another process: the copy was made one start ago.

#pragma once

#include <cstdint>
#include <map>

#include "gen/consensus.h"

namespace jujube::consensus {

class StartRegistry {
 public:
  explicit StartRegistry(const PeerStarts& stored);

  // False if the replica must be refused.
  bool Observe(const Introduction& introduction);

  // Whether there is something to store since the last call.
  bool TakeChanged();

  PeerStarts Snapshot() const;

 private:
  std::map<VoterId, Introduction> m_latest;
  bool m_changed = false;
};

}  // namespace jujube::consensus
