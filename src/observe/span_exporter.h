// Writes spans to a file in a background thread.
//
//   SpanExporter exporter(settings.m_trace, "entry-1");  // once, at start
//   if (context.m_sampled)
//     exporter.Export(std::move(span));                  // any thread
//
// Export never waits for the file: it appends to a bounded queue, whose lock is
// held only while the queue is accessed, and drops the span if the queue is
// full. jujube_spans_exported_total and jujube_spans_dropped_total count the
// spans. The destructor writes the queued spans and then joins the thread.

#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <ostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "gen/settings.h"
#include "observe/trace.h"

namespace jujube::observe {

// Covers a disk stall of half a second at 1,000 requests per second with 8
// spans each. At about 500 bytes per span the queue takes 2 MB, and the batch
// that is being written up to as much again.
inline constexpr std::size_t kSpanQueueLimit = 4096;

class SpanExporter {
 public:
  // With an empty file name, nothing is exported. If the file cannot be opened
  // or written, SpanFileFailed is logged and the spans are counted as dropped.
  SpanExporter(const TraceSettings& settings, std::string_view host);

  // Writes to the stream, which must outlive the exporter.
  SpanExporter(std::ostream& stream,
               std::string_view host,
               std::size_t queue_limit = kSpanQueueLimit);

  ~SpanExporter();
  SpanExporter(const SpanExporter&) = delete;
  SpanExporter& operator=(const SpanExporter&) = delete;

  void Export(Span span);

  // Blocks until every span queued before the call has been written or its
  // write has failed. Must not be called while a request is handled.
  void Flush();

 private:
  void StartWriter();
  void RunWriter();
  void WriteBatch(const std::vector<Span>& spans);

  const std::string m_file;  // for log lines
  const std::string m_host;
  const std::size_t m_queue_limit;
  std::unique_ptr<std::ostream> m_opened_file;  // the file, if opened here
  std::ostream* m_stream = nullptr;             // null: nothing is exported

  std::mutex m_mutex;
  std::condition_variable m_work_available;   // queue not empty, or stop
  std::condition_variable m_batch_processed;  // a batch was written or failed
  std::vector<Span> m_queue;
  std::uint64_t m_queued_count = 0;     // spans added to the queue so far
  std::uint64_t m_processed_count = 0;  // of these, written or failed
  bool m_stop = false;

  std::thread m_thread;
};

}  // namespace jujube::observe
