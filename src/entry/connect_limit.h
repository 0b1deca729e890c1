// Time limit of a connect to an upstream, and what its expiry means.
//
// Packets of a connect also wait on the link of this host, behind bodies. That
// time says nothing about the upstream.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

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

// Load of an upstream at the expiry of a connect.
struct UpstreamLoad {
  std::uint32_t m_in_progress = 0;  // of all hosts, as last reported
  std::uint32_t m_slots = 0;
  MonoClock::duration m_report_age{0};

  friend auto operator<=>(const UpstreamLoad&, const UpstreamLoad&) = default;
};

// True if the upstream reported lately that all of its slots are in use. It may
// then accept a connection only once a slot becomes free.
bool IsUpstreamFull(const UpstreamLoad& load);

// True if the expired connect is a sign that the upstream is gone, and not that
// packets wait on the link of this host.
bool IsSignOfLostUpstream(const ConnectExpiry& expiry);

}  // namespace jujube::entry
