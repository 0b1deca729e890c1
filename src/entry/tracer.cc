#include "entry/tracer.h"

#include <optional>

#include "net/http_fields.h"

namespace jujube::entry {

namespace {

constexpr std::string_view kTraceparentField = "traceparent";

}  // namespace

SpanScope Tracer::StartRequestSpan(const std::vector<Header>& headers) {
  if (!m_is_enabled)
    return {};
  std::optional<observe::TraceContext> parent;
  if (const auto header = net::FindHeader(headers, kTraceparentField))
    parent = observe::ParseTraceparent(*header);
  const observe::TraceContext context =
      parent ? observe::ChildOf(*parent, m_random)
             : observe::NewTrace(m_random, m_sample_permille);
  return {this, context, parent ? parent->m_span : observe::SpanId(),
          "request"};
}

std::string Tracer::UpstreamTraceparent(
    const SpanScope& attempt,
    const std::vector<Header>& headers) const {
  if (m_is_enabled)
    return observe::ToTraceparent(attempt.Context());
  return std::string(net::FindHeader(headers, kTraceparentField).value_or(""));
}

}  // namespace jujube::entry
