// Time limit of a connect to an upstream, and what its expiry means.
//
// Packets of a connect also wait on the link of this host, behind bodies. That
// time says nothing about the upstream.

#pragma once

#include <chrono>
#include <compare>

#include "core/clock.h"

namespace jujube::entry {

struct ConnectWait {
  std::chrono::milliseconds m_timeout{0};        // EntrySettings
  std::chrono::milliseconds m_one_way_delay{0};  // to the upstream
  MonoClock::duration m_link_backlog{0};  // of this host, both directions
  MonoClock::duration m_remaining{0};     // until the deadline of the request

  friend auto operator<=>(const ConnectWait&, const ConnectWait&) = default;
};

// The time that a connect may take.
MonoClock::duration ConnectLimit(const ConnectWait& wait);

struct ConnectExpiry {
  bool m_was_link_busy = false;  // at the start or the end of the connect
  // Another connect was started later and accepted in the meantime.
  bool m_did_other_succeed = false;

  friend auto operator<=>(const ConnectExpiry&, const ConnectExpiry&) = default;
};

// True if the expired connect is a sign that the upstream is gone, and not that
// packets wait on the link of this host.
bool IsSignOfLostUpstream(const ConnectExpiry& expiry);

}  // namespace jujube::entry
