// Traces: identifiers, W3C Trace Context and spans.
//
//   // At the listener: continue the caller's trace or start one.
//   const auto parent = ParseTraceparent(header);
//   const TraceContext context =
//       parent ? ChildOf(*parent, random)
//              : NewTrace(random, settings.m_trace.m_sample_permille);
//   // In the request to the upstream: pass the current span.
//   request.set("traceparent", ToTraceparent(context));
//   // When a sampled span ends, see observe/span_exporter.h:
//   if (context.m_sampled)
//     exporter.Export({.m_context = context,
//                      .m_parent = parent ? parent->m_span : SpanId(), ...});
//
// The random source is a parameter, so that tests can choose the identifiers.
// In production each thread has its own std::mt19937_64 seeded from
// std::random_device.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/clock.h"

namespace jujube::observe {

// 16 bytes, not all zero in a valid context.
struct TraceId {
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  friend auto operator<=>(const TraceId&, const TraceId&) = default;
};

// 8 bytes, not zero in a valid context; zero in Span::m_parent means no parent.
struct SpanId {
  std::uint64_t m_value = 0;

  friend auto operator<=>(const SpanId&, const SpanId&) = default;
};

// Lower-case hexadecimal, 32 and 16 digits.
std::string ToString(const TraceId& id);
std::string ToString(const SpanId& id);

// The current span of a request and whether its trace is recorded.
struct TraceContext {
  TraceId m_trace;
  SpanId m_span;
  bool m_sampled = false;

  friend auto operator<=>(const TraceContext&, const TraceContext&) = default;
};

// Parses the value of a traceparent header. Returns nullopt if it is malformed,
// in which case W3C Trace Context requires a new trace. A version above 00 may
// have additional fields.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

// "00-<trace>-<span>-01", or -00 at the end if the trace is not sampled.
std::string ToTraceparent(const TraceContext& context);

// Whether a new trace is sampled. Depends only on the arguments, so that hosts
// with equal settings make the same decision.
bool IsSampled(const TraceId& trace, std::uint16_t sample_permille);

// Returns a random nonzero identifier.
template <std::uniform_random_bit_generator Random>
std::uint64_t RandomId(Random& random) {
  std::uniform_int_distribution<std::uint64_t> ids(1);
  return ids(random);
}

template <std::uniform_random_bit_generator Random>
TraceContext NewTrace(Random& random, std::uint16_t sample_permille) {
  const TraceId trace{.m_high = RandomId(random), .m_low = RandomId(random)};
  return {.m_trace = trace,
          .m_span = {RandomId(random)},
          .m_sampled = IsSampled(trace, sample_permille)};
}

// Starts a new span in the trace of the parent, sampled if the parent is.
template <std::uniform_random_bit_generator Random>
TraceContext ChildOf(const TraceContext& parent, Random& random) {
  return {.m_trace = parent.m_trace,
          .m_span = {RandomId(random)},
          .m_sampled = parent.m_sampled};
}

using SpanValue = std::variant<std::string, std::int64_t, double, bool>;

struct SpanAttribute {
  std::string m_name;  // for example "upstream.instance"
  SpanValue m_value;

  // clang-tidy 14 takes a zero in the defaulted comparison for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const SpanAttribute&, const SpanAttribute&) = default;
};

// One finished step of a request.
struct Span {
  TraceContext m_context;               // identifiers of the trace and the span
  SpanId m_parent;                      // zero: root of the trace
  std::string m_name;                   // for example "claim", "select", "send"
  std::chrono::nanoseconds m_start{0};  // since the Unix epoch
  std::chrono::nanoseconds m_end{0};    // since the Unix epoch
  std::vector<SpanAttribute> m_attributes;
  bool m_failed = false;  // exported as status code ERROR

  friend auto operator<=>(const Span&, const Span&) = default;
};

// One line of OTLP JSON, without the line break: an
// ExportTraceServiceRequest with a single span of the service "jujubelift".
std::string ToOtlpJson(const Span& span, std::string_view host);

}  // namespace jujube::observe
