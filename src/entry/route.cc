#include "entry/route.h"

#include "net/http_fields.h"
#include "request/deadline.h"

namespace jujube::entry {

namespace {

constexpr std::string_view kDeadlineField = "Jujube-Deadline-Ms";
constexpr std::string_view kKeyField = "Idempotency-Key";
constexpr std::string_view kEarlierAttemptsField = "Jujube-Earlier-Attempts";

}  // namespace

Result<Route> ParseRoute(const RequestHead& head) {
  std::string_view remaining = head.m_target;
  if (!remaining.starts_with(kServicePrefix)) {
    return MakeError(ErrorCode::kNotFound,
                     "unknown path " +
                         std::string(net::TargetPath(head.m_target)) +
                         "; expected /lookup or /s/{service}/...");
  }
  remaining.remove_prefix(kServicePrefix.size());
  const std::size_t end = remaining.find_first_of("/?");
  Route route{.m_service = {std::string(remaining.substr(0, end))}};
  remaining.remove_prefix(
      std::min(remaining.size(), route.m_service.m_value.size()));
  route.m_target = remaining.starts_with('/') ? "" : "/";
  route.m_target += remaining;
  const auto deadline = net::FindHeader(head.m_headers, kDeadlineField);
  if (deadline) {
    JUJUBE_TRY(route.m_caller_time_limit, request::ParseDeadlineMs(*deadline));
  }
  route.m_idempotency_key =
      net::FindHeader(head.m_headers, kKeyField).value_or("");
  route.m_has_no_earlier_run =
      net::FindHeader(head.m_headers, kEarlierAttemptsField) == "not-run";
  return route;
}

void ApplyRule(const RouteRule& rule, Route& route) {
  route.m_rule_name = rule.m_name;
  route.m_is_repeatable = rule.m_kind == RequestKind::kRepeatable;
  route.m_is_upload = rule.m_kind == RequestKind::kUpload;
  route.m_priority = rule.m_priority;
  route.m_rule_priority = rule.m_priority;
  route.m_time_limit = rule.m_time_limit;
  route.m_target_latency = rule.m_target_latency;
  route.m_max_attempts = rule.m_max_attempts;
  route.m_allowed_regions = rule.m_allowed_regions;
  route.m_rule_regions = rule.m_allowed_regions;
  route.m_allows_anonymous = rule.m_allows_anonymous;
  if (!rule.m_has_affinity)
    route.m_affinity_hash = 0;
}

}  // namespace jujube::entry
