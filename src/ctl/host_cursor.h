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
  std::vector<Endpoint> m_hosts;  // not empty
  std::size_t m_next = 0;  // index in m_hosts of the next host of the list
  std::optional<Endpoint> m_leader;  // tried once, before the host at m_next
  std::size_t m_attempts = 0;        // number of attempts made

  friend auto operator<=>(const HostCursor&, const HostCursor&) = default;
};

// The host for the current attempt.
Endpoint CurrentHost(const HostCursor& cursor);

// Returns the cursor after an attempt. `leader` is the leader that the response
// named, if any. It is tried next; the list continues after it, since the named
// leader may be out of date.
HostCursor Advance(HostCursor cursor, std::optional<Endpoint> leader);

// True after more attempts than there are hosts. The next attempt must then be
// delayed, for example until an election has finished.
bool NeedsRetryDelay(const HostCursor& cursor);

}  // namespace jujube::ctl
