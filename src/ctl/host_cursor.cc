#include "ctl/host_cursor.h"

#include <utility>

namespace jujube::ctl {

Endpoint CurrentHost(const HostCursor& cursor) {
  return cursor.m_leader
             ? *cursor.m_leader
             : cursor.m_hosts[cursor.m_next % cursor.m_hosts.size()];
}

HostCursor Advance(HostCursor cursor, std::optional<Endpoint> leader) {
  ++cursor.m_attempts;
  if (!cursor.m_leader)
    cursor.m_next = (cursor.m_next + 1) % cursor.m_hosts.size();
  cursor.m_leader = std::move(leader);
  return cursor;
}

bool NeedsRetryDelay(const HostCursor& cursor) {
  // A leader that the last host of the list has named is tried without delay.
  return cursor.m_attempts > cursor.m_hosts.size();
}

}  // namespace jujube::ctl
