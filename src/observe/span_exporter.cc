#include "observe/span_exporter.h"

#include <fstream>
#include <utility>

#include "observe/log.h"
#include "observe/metrics.h"

namespace jujube::observe {

namespace {

std::unique_ptr<std::ostream> OpenFile(const std::string& file) {
  if (file.empty())
    return nullptr;
  return std::make_unique<std::ofstream>(file, std::ios::app);
}

void CountDropped(std::size_t spans) {
  static Counter& dropped = CounterOf(Metric::kSpansDropped);
  dropped.Add(spans);
}

void CountExported(std::size_t spans) {
  static Counter& exported = CounterOf(Metric::kSpansExported);
  exported.Add(spans);
}

}  // namespace

SpanExporter::SpanExporter(const TraceSettings& settings, std::string_view host)
    : m_file(settings.m_file),
      m_host(host),
      m_queue_limit(kSpanQueueLimit),
      m_opened_file(OpenFile(settings.m_file)),
      m_stream(m_opened_file.get()) {
  if (m_stream != nullptr && !m_stream->good())
    Log(LogEvent::kSpanFileFailed, {{"file", m_file}});
  StartWriter();
}

SpanExporter::SpanExporter(std::ostream& stream,
                           std::string_view host,
                           std::size_t queue_limit)
    : m_file("stream"),
      m_host(host),
      m_queue_limit(queue_limit),
      m_stream(&stream) {
  StartWriter();
}

SpanExporter::~SpanExporter() {
  if (!m_thread.joinable())
    return;
  {
    const std::lock_guard lock(m_mutex);
    m_stop = true;
  }
  m_work_available.notify_one();
  m_thread.join();
}

void SpanExporter::StartWriter() {
  if (m_stream == nullptr)
    return;
  m_queue.reserve(m_queue_limit);
  m_thread = std::thread([this] { RunWriter(); });
}

void SpanExporter::Export(Span span) {
  if (m_stream == nullptr)
    return;
  bool was_empty = false;
  {
    const std::lock_guard lock(m_mutex);
    if (m_queue.size() < m_queue_limit) {
      was_empty = m_queue.empty();
      m_queue.push_back(std::move(span));
      ++m_queued_count;
    } else {
      CountDropped(1);
    }
  }
  if (was_empty)
    m_work_available.notify_one();
}

void SpanExporter::Flush() {
  std::unique_lock lock(m_mutex);
  const std::uint64_t queued_count = m_queued_count;
  m_batch_processed.wait(lock,
                         [&] { return m_processed_count >= queued_count; });
}

void SpanExporter::RunWriter() {
  std::vector<Span> batch;
  batch.reserve(m_queue_limit);
  std::unique_lock lock(m_mutex);
  for (;;) {
    m_work_available.wait(lock, [&] { return m_stop || !m_queue.empty(); });
    if (m_queue.empty())
      return;
    batch.swap(m_queue);
    lock.unlock();
    WriteBatch(batch);
    const std::size_t batch_size = batch.size();
    batch.clear();
    lock.lock();
    m_processed_count += batch_size;
    m_batch_processed.notify_all();
  }
}

void SpanExporter::WriteBatch(const std::vector<Span>& spans) {
  m_stream->clear();
  for (const Span& span : spans)
    *m_stream << ToOtlpJson(span, m_host) << '\n';
  m_stream->flush();
  if (m_stream->good()) {
    CountExported(spans.size());
    return;
  }
  // It is unknown how much of the batch reached the file, so all of its spans
  // count as dropped.
  CountDropped(spans.size());
  Log(LogEvent::kSpanFileFailed, {{"file", m_file}, {"spans", spans.size()}});
}

}  // namespace jujube::observe
