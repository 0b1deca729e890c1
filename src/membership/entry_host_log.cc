#include "membership/entry_host_log.h"

namespace jujube::membership {

void EntryHostLog::Record(const EntryHostState& state) {
  Item& item = m_items[state.m_host];
  if (item.m_version != 0 && item.m_state == state)
    return;
  item = {.m_state = state, .m_version = ++m_version};
}

void EntryHostLog::Remove(const HostId& host) {
  m_items.erase(host);
}

std::vector<EntryHostState> EntryHostLog::ChangedSince(
    std::uint64_t version) const {
  std::vector<EntryHostState> states;
  // Most calls are for subscribers that lack nothing.
  if (version == m_version)
    return states;
  for (const auto& [host, item] : m_items) {
    if (item.m_version > version)
      states.push_back(item.m_state);
  }
  return states;
}

}  // namespace jujube::membership
