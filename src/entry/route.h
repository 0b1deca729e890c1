// Route: what a request asks for, as read from its head.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "gen/http.h"
#include "gen/types.h"
#include "steering/retry_decision.h"

namespace jujube::entry {

struct Route {
  ServiceId m_service;   // that gets the request
  std::string m_target;  // for the upstream: path and query
  std::optional<std::chrono::milliseconds> m_stated_deadline;
  std::string m_key;  // Idempotency-Key; empty if absent
  std::string m_id;   // of the request, for logs and the upstream; may be empty
  std::string m_name;  // of the rule; empty: chosen by the service alone

  // From the rule. Absent: the policy of the service counts.
  std::optional<bool> m_is_repeatable;
  std::optional<std::uint8_t> m_priority;
  std::optional<std::chrono::milliseconds> m_time_limit;
  std::uint32_t m_max_attempts = steering::kMaxAttempts;
  std::uint64_t m_object = 0;  // hash of the object of the request; 0: none
  std::vector<RegionId> m_allowed_regions;  // empty: all

  // Jujube-Earlier-Attempts: not-run, so no earlier attempt can have run.
  bool m_has_no_earlier_run = false;

  friend auto operator<=>(const Route&, const Route&) = default;
};

inline constexpr std::string_view kServicePrefix = "/s/";

// kNotFound: not below /s/; kInvalidInput: a malformed header field.
Result<Route> ParseRoute(const RequestHead& head);

// Fills what a rule says into the route.
void ApplyRule(const RouteRule& rule, Route& route);

}  // namespace jujube::entry
