// Route: what a request asks for, as read from its head.

#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "core/result.h"
#include "gen/http.h"
#include "gen/types.h"

namespace jujube::entry {

struct Route {
  ServiceId m_service;   // from /s/{service}/...
  std::string m_target;  // the rest, with a leading slash and the query
  std::optional<std::chrono::milliseconds> m_stated_deadline;
  std::string m_key;  // Idempotency-Key; empty if absent
  // Jujube-Earlier-Attempts: not-run, so no earlier attempt can have run.
  bool m_has_no_earlier_run = false;

  friend auto operator<=>(const Route&, const Route&) = default;
};

inline constexpr std::string_view kServicePrefix = "/s/";

// kNotFound: not below /s/; kInvalidInput: a malformed header field.
Result<Route> ParseRoute(const RequestHead& head);

// Head for the upstream: the rest of the target, the time that is left, and
// the trace context of this hop.
RequestHead UpstreamHead(const RequestHead& head,
                         const Route& route,
                         std::chrono::milliseconds remaining,
                         std::string_view traceparent);

}  // namespace jujube::entry
