// HostCursor: selects the control host for the next attempt.

#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

#include "gen/types.h"

namespace jujube::ctl {

// An immutable value: Advance returns the cursor for the next attempt.
struct HostCursor {
  std::vector<Endpoint> m_hosts;     // not empty
  std::size_t m_next = 0;            // index in m_hosts
  std::optional<Endpoint> m_leader;  // tried once, before the list
  std::size_t m_attempts = 0;

  friend auto operator<=>(const HostCursor&, const HostCursor&) = default;
};

// The host for the current attempt.
Endpoint CurrentHost(const HostCursor& cursor);

// Returns the cursor after an attempt. `leader` is the leader that the response
// named, if any. It is tried next; the list continues after it, since the named
// leader may be out of date.
HostCursor Advance(HostCursor cursor, std::optional<Endpoint> leader);

// True if every host has been tried and the next attempt must be delayed, for
// example until an election has finished.
bool NeedsRetryDelay(const HostCursor& cursor);

}  // namespace jujube::ctl
