// Tracer: starts the traces of one worker thread.
//
// Without a span file the host takes no part in traces: the traceparent of the
// caller goes to the upstream as it came, and none is added. Otherwise a valid
// traceparent is continued with its own sampling, and a new trace is sampled by
// TraceSettings::m_sample_permille.

#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "entry/span_scope.h"
#include "gen/http.h"
#include "gen/settings.h"
#include "observe/span_exporter.h"

namespace jujube::entry {

class Tracer {
 public:
  // exporter: shared by threads; outlives the tracer.
  Tracer(observe::SpanExporter& exporter,
         const TraceSettings& settings,
         std::uint64_t seed)
      : m_exporter(exporter),
        m_is_enabled(!settings.m_file.empty()),
        m_sample_permille(settings.m_sample_permille),
        m_random(seed) {}

  // The span of a request at this host.
  SpanScope StartRequest(const std::vector<Header>& headers);

  // The traceparent for an upstream; empty: none. `attempt` is the span of the
  // attempt, `headers` those of the caller.
  std::string Outgoing(const SpanScope& attempt,
                       const std::vector<Header>& headers) const;

  observe::TraceContext ChildContext(const observe::TraceContext& parent) {
    return observe::ChildOf(parent, m_random);
  }
  void Export(observe::Span span) { m_exporter.Export(std::move(span)); }

 private:
  observe::SpanExporter& m_exporter;
  const bool m_is_enabled;
  const std::uint16_t m_sample_permille;
  std::mt19937_64 m_random;  // identifiers; not for secrets
};

}  // namespace jujube::entry
