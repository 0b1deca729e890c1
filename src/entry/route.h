// Route: target and policy of a request, as parsed from its head.

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
  ServiceId m_service;
  std::string m_target;  // path and query for the upstream
  // Time that the caller allows, from its deadline header.
  std::optional<std::chrono::milliseconds> m_caller_time_limit;
  std::string m_idempotency_key;  // Idempotency-Key; empty if absent
  std::string m_request_id;       // for logs and the upstream; may be empty
  std::string m_rule_name;        // applied route rule; empty: none

  // From the route rule. If an optional is empty, the policy of the service
  // applies.
  std::optional<bool> m_is_repeatable;
  std::optional<std::uint8_t> m_priority;
  bool m_is_upload = false;  // the kind of the rule is Upload
  std::optional<std::chrono::milliseconds> m_time_limit;
  std::optional<std::chrono::milliseconds> m_target_latency;
  std::uint32_t m_max_attempts = steering::kMaxAttempts;
  std::uint64_t m_affinity_hash = 0;        // hash of the affinity key; 0: none
  std::vector<RegionId> m_allowed_regions;  // empty: all
  bool m_allows_anonymous = false;          // no key of a tenant is needed

  // Values of the rule; those above include the ones of the tenant.
  std::optional<std::uint8_t> m_rule_priority;
  std::vector<RegionId> m_rule_regions;

  // Set by CheckTenantAccess. With tenants in the document, the key of the
  // caller and any name of a tenant that it sent are not passed on.
  bool m_has_tenants = false;
  // Tenant whose key the caller sent; empty: none.
  std::optional<TenantId> m_tenant;

  // The caller states that no earlier attempt can have run
  // (Jujube-Earlier-Attempts: not-run).
  bool m_has_no_earlier_run = false;

  friend auto operator<=>(const Route&, const Route&) = default;
};

inline constexpr std::string_view kServicePrefix = "/s/";

// Errors: kNotFound if the path is not below /s/; kInvalidInput for a malformed
// header field.
Result<Route> ParseRoute(const RequestHead& head);

// Copies the policy of a route rule into the route. Clears the affinity hash if
// the rule has no affinity.
void ApplyRule(const RouteRule& rule, Route& route);

}  // namespace jujube::entry
