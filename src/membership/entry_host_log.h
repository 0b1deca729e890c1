// EntryHostLog: states of the entry hosts that a control host knows, with
// versions, so that each subscriber is sent only what changed.
//
//   log.Record(state);                            // on each message and tick
//   page.m_entry_host_states = log.ChangedSince(sent_version);
//   sent_version = log.Version();

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "gen/membership.h"

namespace jujube::membership {

class EntryHostLog {
 public:
  // Replaces the state of the host. The version increases if they differ.
  void Record(const EntryHostState& state);
  void Remove(const HostId& host);

  // Current states of the hosts that changed after `version`, in the order of
  // their names.
  std::vector<EntryHostState> ChangedSince(std::uint64_t version) const;
  std::uint64_t Version() const { return m_version; }

 private:
  struct Item {
    EntryHostState m_state;
    std::uint64_t m_version = 0;  // of the last change
  };

  std::map<HostId, Item> m_items;
  std::uint64_t m_version = 0;
};

}  // namespace jujube::membership
