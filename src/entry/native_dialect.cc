#include "entry/native_dialect.h"

#include "entry/caller_key.h"
#include "net/http_fields.h"
#include "request/attempt.h"
#include "request/rate_limit.h"
#include "request/retry_after.h"

namespace jujube::entry {
namespace {

constexpr std::string_view kDeadlineField = "Jujube-Deadline-Ms";
constexpr std::string_view kEarlierAttemptsField = "Jujube-Earlier-Attempts";
constexpr std::string_view kLeavingField = "Jujube-Leaving";
constexpr std::string_view kRateLimitField = "Jujube-Rate-Limit";
constexpr std::string_view kRetryAfterField = "Retry-After";
constexpr std::string_view kStartedField = "Jujube-Started";
constexpr std::string_view kTenantField = "Jujube-Tenant";
constexpr std::string_view kTraceparentField = "traceparent";
constexpr std::string_view kVerdictField = "Jujube-Verdict";

constexpr std::uint16_t kServiceUnavailable = 503;

// Whether the field is not copied to the upstream. The deadline, the
// traceparent and the tenant are written anew.
bool IsRemoved(std::string_view name, const Route& route) {
  return net::IsHopByHop(name) ||
         (route.m_has_tenants && (IsCallerKeyField(name) ||
                                  net::EqualsIgnoreCase(name, kTenantField))) ||
         net::EqualsIgnoreCase(name, kDeadlineField) ||
         net::EqualsIgnoreCase(name, kTraceparentField) ||
         net::EqualsIgnoreCase(name, kEarlierAttemptsField);
}

}  // namespace

Result<Route> NativeDialect::Parse(const RequestHead& head,
                                   const ServingView& /*view*/) {
  return ParseRoute(head);
}

RequestHead NativeDialect::UpstreamHead(
    const RequestHead& head,
    const Route& route,
    std::chrono::milliseconds remaining,
    std::string_view traceparent,
    const steering::Selection& /*selection*/) {
  RequestHead upstream{.m_method = head.m_method,
                       .m_target = route.m_target,
                       .m_content_length = head.m_content_length,
                       .m_has_body = head.m_has_body};
  for (const Header& header : head.m_headers) {
    if (!IsRemoved(header.m_name, route))
      upstream.m_headers.push_back(header);
  }
  upstream.m_headers.push_back(
      {std::string(kDeadlineField), std::to_string(remaining.count())});
  if (route.m_tenant) {
    upstream.m_headers.push_back(
        {std::string(kTenantField), route.m_tenant->m_value});
  }
  if (!traceparent.empty()) {
    upstream.m_headers.push_back(
        {std::string(kTraceparentField), std::string(traceparent)});
  }
  return upstream;
}

bool NativeDialect::IsNotStarted(const ResponseHead& head) {
  return request::IsNotStarted(
      head.m_status,
      net::FindHeader(head.m_headers, kStartedField).value_or(""));
}

bool NativeDialect::NamesRequest(const ResponseHead& /*head*/) {
  return false;
}

bool NativeDialect::IsResponseTo(const ResponseHead& /*head*/,
                                 const Route& /*route*/) {
  return true;
}

InstanceReport NativeDialect::ReportOf(const ResponseHead& head) {
  InstanceReport report{
      .m_is_leaving = net::FindHeader(head.m_headers, kLeavingField) == "yes",
      .m_requests_per_1000s = request::ParseRateLimit(
          net::FindHeader(head.m_headers, kRateLimitField).value_or(""))};
  if (head.m_status == kServiceUnavailable) {
    report.m_pause = request::ParseRetryAfter(
        net::FindHeader(head.m_headers, kRetryAfterField).value_or(""));
  }
  return report;
}

std::vector<Header> NativeDialect::EndToEndHeaders(
    const std::vector<Header>& headers) {
  std::vector<Header> forwarded;
  for (const Header& header : headers) {
    if (!net::IsHopByHop(header.m_name) &&
        !net::EqualsIgnoreCase(header.m_name, kLeavingField) &&
        !net::EqualsIgnoreCase(header.m_name, kRateLimitField) &&
        !net::EqualsIgnoreCase(header.m_name, kVerdictField))
      forwarded.push_back(header);
  }
  forwarded.push_back(
      {std::string(kVerdictField), std::string(VerdictText(Verdict::kRan))});
  return forwarded;
}

ResponseHead NativeDialect::RefusalHead(const Refusal& refusal) {
  return entry::RefusalHead(refusal);
}

std::string NativeDialect::RefusalText(const Refusal& refusal) {
  return entry::RefusalText(refusal);
}

}  // namespace jujube::entry
