// Tracer: creates the spans of one worker thread.
//
// Without a span file, tracing is disabled: the caller's traceparent is
// forwarded unchanged and none is added. Otherwise a valid traceparent is
// continued with the sampling decision of the caller, and a new trace is
// sampled with TraceSettings::m_sample_permille.

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
  // The exporter is shared by all threads and must outlive the tracer.
  Tracer(observe::SpanExporter& exporter,
         const TraceSettings& settings,
         std::uint64_t seed)
      : m_exporter(exporter),
        m_is_enabled(!settings.m_file.empty()),
        m_sample_permille(settings.m_sample_permille),
        m_random(seed) {}

  // Starts the root span of a request on this host.
  SpanScope StartRequestSpan(const std::vector<Header>& headers);

  // Returns the traceparent to send to the upstream, or an empty string for
  // none. `headers` are the header fields of the caller.
  std::string UpstreamTraceparent(const SpanScope& attempt,
                                  const std::vector<Header>& headers) const;

  observe::TraceContext ChildContext(const observe::TraceContext& parent) {
    return observe::ChildOf(parent, m_random);
  }
  void Export(observe::Span span) { m_exporter.Export(std::move(span)); }

 private:
  observe::SpanExporter& m_exporter;
  const bool m_is_enabled;
  const std::uint16_t m_sample_permille;
  std::mt19937_64 m_random;  // generates identifiers; not cryptographic
};

}  // namespace jujube::entry
