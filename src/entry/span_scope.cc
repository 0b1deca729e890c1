#include "entry/span_scope.h"

#include <chrono>
#include <exception>

#include "entry/tracer.h"

namespace jujube::entry {

SpanScope::SpanScope(Tracer* tracer,
                     const observe::TraceContext& context,
                     observe::SpanId parent,
                     std::string_view name)
    : m_tracer(tracer), m_context(context) {
  if (!context.m_sampled)
    return;
  m_started_at = MonoClock::now();
  m_span = std::make_unique<observe::Span>(observe::Span{
      .m_context = context,
      .m_parent = parent,
      .m_name = std::string(name),
      .m_start = std::chrono::system_clock::now().time_since_epoch()});
}

SpanScope::SpanScope(SpanScope&& other) noexcept
    : m_tracer(std::exchange(other.m_tracer, nullptr)),
      m_context(std::exchange(other.m_context, {})),
      m_span(std::move(other.m_span)),
      m_started_at(other.m_started_at) {}

SpanScope& SpanScope::operator=(SpanScope&& other) noexcept {
  if (this == &other)
    return *this;
  End();
  m_tracer = std::exchange(other.m_tracer, nullptr);
  m_context = std::exchange(other.m_context, {});
  m_span = std::move(other.m_span);
  m_started_at = other.m_started_at;
  return *this;
}

SpanScope SpanScope::Child(std::string_view name) const {
  if (m_tracer == nullptr)
    return {};
  return {m_tracer, m_tracer->ChildContext(m_context), m_context.m_span, name};
}

void SpanScope::AddAttribute(std::string_view name, observe::SpanValue value) {
  m_span->m_attributes.push_back({std::string(name), std::move(value)});
}

void SpanScope::SetFailed() {
  if (m_span != nullptr)
    m_span->m_failed = true;
}

void SpanScope::End() noexcept {
  const std::unique_ptr<observe::Span> span = std::move(m_span);
  Tracer* tracer = std::exchange(m_tracer, nullptr);
  if (span == nullptr)
    return;
  // The duration is measured on the monotonic clock, so that an adjustment of
  // the wall clock cannot make it negative.
  span->m_end = span->m_start + (MonoClock::now() - m_started_at);
  try {
    tracer->Export(std::move(*span));
  } catch (const std::exception&) {
    // Out of memory: the span is dropped and the request continues.
  }
}

}  // namespace jujube::entry
