// Decides whether an idle connection to an upstream may carry a request.
//
// A request that runs at most once and fails on an idle connection is "may have
// run", so it uses only connections that the upstream is very unlikely to have
// forgotten. A repeatable one can be sent again.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.h"

namespace jujube::entry {

// What is known about an idle connection.
struct IdleState {
  MonoClock::duration m_idle_for{0};  // since the end of the last response
  // Idle timeout that the upstream stated with that response.
  std::optional<std::chrono::seconds> m_stated_timeout;
  // Another upstream closed an idle connection earlier than it had stated, or
  // a request failed on one, a short time ago.
  bool m_is_forgotten_elsewhere = false;

  friend auto operator<=>(const IdleState&, const IdleState&) = default;
};

struct ReuseRules {
  bool m_is_repeatable = true;
  // EntrySettings::m_reuses_connections.
  bool m_reuses_for_at_most_once = false;

  friend auto operator<=>(const ReuseRules&, const ReuseRules&) = default;
};

enum class ReuseAnswer : std::uint8_t {
  kReuse,
  kKeep,    // not for this request; another one may use it
  kExpire,  // too old for any request; close it
};

ReuseAnswer DecideReuse(const ReuseRules& rules, const IdleState& state);

// The parameter "timeout" of a Keep-Alive field. Empty if it is absent or
// malformed.
std::optional<std::chrono::seconds> ParseKeepAliveTimeout(
    std::string_view value);

}  // namespace jujube::entry
