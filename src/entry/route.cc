#include "entry/route.h"

#include "net/http_fields.h"
#include "request/deadline.h"

namespace jujube::entry {

namespace {

constexpr std::string_view kDeadlineField = "Jujube-Deadline-Ms";
constexpr std::string_view kKeyField = "Idempotency-Key";
constexpr std::string_view kTraceField = "traceparent";
constexpr std::string_view kEarlierField = "Jujube-Earlier-Attempts";

bool IsReplaced(std::string_view name) {
  return net::IsHopByHop(name) || net::EqualsIgnoreCase(name, kDeadlineField) ||
         net::EqualsIgnoreCase(name, kTraceField) ||
         net::EqualsIgnoreCase(name, kEarlierField);
}

}  // namespace

Result<Route> ParseRoute(const RequestHead& head) {
  std::string_view rest = head.m_target;
  if (!rest.starts_with(kServicePrefix)) {
    return MakeError(ErrorCode::kNotFound,
                     "found the path " +
                         std::string(net::TargetPath(head.m_target)) +
                         ", allowed are /lookup and /s/{service}/...");
  }
  rest.remove_prefix(kServicePrefix.size());
  const std::size_t end = rest.find_first_of("/?");
  Route route{.m_service = {std::string(rest.substr(0, end))}};
  rest.remove_prefix(std::min(rest.size(), route.m_service.m_value.size()));
  route.m_target = rest.starts_with('/') ? "" : "/";
  route.m_target += rest;
  const auto deadline = net::FindHeader(head.m_headers, kDeadlineField);
  if (deadline) {
    JUJUBE_TRY(route.m_stated_deadline, request::ParseDeadlineMs(*deadline));
  }
  route.m_key = net::FindHeader(head.m_headers, kKeyField).value_or("");
  route.m_has_no_earlier_run =
      net::FindHeader(head.m_headers, kEarlierField) == "not-run";
  return route;
}

RequestHead UpstreamHead(const RequestHead& head,
                         const Route& route,
                         std::chrono::milliseconds remaining,
                         std::string_view traceparent) {
  RequestHead upstream{.m_method = head.m_method,
                       .m_target = route.m_target,
                       .m_content_length = head.m_content_length,
                       .m_has_body = head.m_has_body};
  for (const Header& header : head.m_headers) {
    if (!IsReplaced(header.m_name))
      upstream.m_headers.push_back(header);
  }
  upstream.m_headers.push_back(
      {std::string(kDeadlineField), std::to_string(remaining.count())});
  if (!traceparent.empty()) {
    upstream.m_headers.push_back(
        {std::string(kTraceField), std::string(traceparent)});
  }
  return upstream;
}

}  // namespace jujube::entry
