// HostCursor: the choice of the control host that is asked next.

#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

#include "gen/types.h"

namespace jujube::ctl {

// A value; Advance gives the one after an attempt.
struct HostCursor {
  std::vector<Endpoint> m_hosts;     // at least one
  std::size_t m_next = 0;            // position in the list
  std::optional<Endpoint> m_leader;  // asked first, once
  std::size_t m_attempts = 0;

  friend auto operator<=>(const HostCursor&, const HostCursor&) = default;
};

// The host to ask.
Endpoint HostToAsk(const HostCursor& cursor);

// The state after an attempt that named a leader or none. A named leader is
// asked next; the list goes on after it, since the name may be out of date.
HostCursor Advance(HostCursor cursor, std::optional<Endpoint> leader);

// True if each host had a turn and the next attempt has to wait, for example
// for an election.
bool HasToWait(const HostCursor& cursor);

}  // namespace jujube::ctl
