// SpanScope: one step of a request, exported as a span when it ends.
//
//   SpanScope request = tracer.StartRequest(head.m_headers);
//   {
//     SpanScope step = request.Child("claim");
//     ...                       // the step, also across suspension points
//     step.Set("outcome", "granted");
//   }                           // exported here if the trace is sampled
//
// A scope of a trace that is not sampled holds identifiers alone: it allocates
// nothing, takes no lock and reads no clock. Belongs to the thread of its
// Tracer, which outlives it.

#pragma once

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "core/clock.h"
#include "observe/trace.h"

namespace jujube::entry {

class Tracer;

class SpanScope {
 public:
  SpanScope() = default;  // of no trace
  SpanScope(Tracer* tracer,
            const observe::TraceContext& context,
            observe::SpanId parent,
            std::string_view name);
  SpanScope(SpanScope&& other) noexcept;
  SpanScope& operator=(SpanScope&& other) noexcept;
  ~SpanScope() { End(); }

  // A step within this one.
  SpanScope Child(std::string_view name) const;

  bool IsSampled() const { return m_span != nullptr; }
  const observe::TraceContext& Context() const { return m_context; }

  // Without effect if the trace is not sampled.
  void Set(std::string_view name, std::string_view value) {
    if (m_span != nullptr)
      Put(name, std::string(value));
  }
  void Set(std::string_view name, std::integral auto value) {
    if (m_span == nullptr)
      return;
    if constexpr (std::same_as<decltype(value), bool>)
      Put(name, value);
    else
      Put(name, static_cast<std::int64_t>(value));
  }
  void Fail();

  // Exports the span; the scope is of no trace afterwards.
  void End() noexcept;

 private:
  void Put(std::string_view name, observe::SpanValue value);

  Tracer* m_tracer = nullptr;
  observe::TraceContext m_context;
  std::unique_ptr<observe::Span> m_span;  // null: not sampled
  MonoTime m_started;
};

}  // namespace jujube::entry
