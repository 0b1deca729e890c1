// SpanScope: the span of one step of a request, exported when the step ends.
//
//   SpanScope request = tracer.StartRequestSpan(head.m_headers);
//   {
//     SpanScope step = request.Child("claim");
//     ...                       // the step; may suspend
//     step.SetAttribute("outcome", "granted");
//   }                           // exported here if the trace is sampled
//
// If the trace is not sampled, the scope holds only identifiers: it allocates
// nothing, takes no lock and reads no clock. Used only on the thread of its
// Tracer, which must outlive it.

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
  SpanScope() = default;  // belongs to no trace
  SpanScope(Tracer* tracer,
            const observe::TraceContext& context,
            observe::SpanId parent,
            std::string_view name);
  SpanScope(SpanScope&& other) noexcept;
  SpanScope& operator=(SpanScope&& other) noexcept;
  ~SpanScope() { End(); }

  // Starts the span of a nested step.
  SpanScope Child(std::string_view name) const;

  bool IsSampled() const { return m_span != nullptr; }
  const observe::TraceContext& Context() const { return m_context; }

  // No effect if the trace is not sampled.
  void SetAttribute(std::string_view name, std::string_view value) {
    if (m_span != nullptr)
      AddAttribute(name, std::string(value));
  }
  void SetAttribute(std::string_view name, std::integral auto value) {
    if (m_span == nullptr)
      return;
    if constexpr (std::same_as<decltype(value), bool>)
      AddAttribute(name, value);
    else
      AddAttribute(name, static_cast<std::int64_t>(value));
  }
  // Marks the span as failed.
  void SetFailed();

  // Exports the span and detaches the scope from the trace. Further calls have
  // no effect.
  void End() noexcept;

 private:
  void AddAttribute(std::string_view name, observe::SpanValue value);

  Tracer* m_tracer = nullptr;
  observe::TraceContext m_context;
  std::unique_ptr<observe::Span> m_span;  // null: not sampled
  MonoTime m_started_at;
};

}  // namespace jujube::entry
