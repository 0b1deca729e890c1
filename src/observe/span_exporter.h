// Writes spans to a file from a thread of its own.
//
//   SpanExporter exporter(settings.m_trace, "entry-1");  // once, at start
//   if (context.m_sampled)
//     exporter.Export(std::move(span));                  // any thread
//
// Export never waits for the file: it appends to a bounded queue under a lock
// that is held for the append alone, and drops the span if the queue is full.
// jujube_spans_exported_total and jujube_spans_dropped_total count both ends.
// The destructor writes what is queued and then joins the thread.

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

// At 1,000 requests per second with 8 spans each, half a second of a stalled
// disk; at about 500 bytes for a span, 2 MB. The batch that is being written
// takes as much again.
inline constexpr std::size_t kSpanQueueLimit = 4096;

class SpanExporter {
 public:
  // An empty file name exports nothing. A file that cannot be opened or
  // written is logged as SpanFileFailed; its spans are dropped and counted.
  SpanExporter(const TraceSettings& settings, std::string_view host);

  // Writes to the stream, which must outlive the exporter.
  SpanExporter(std::ostream& stream,
               std::string_view host,
               std::size_t queue_limit = kSpanQueueLimit);

  ~SpanExporter();
  SpanExporter(const SpanExporter&) = delete;
  SpanExporter& operator=(const SpanExporter&) = delete;

  void Export(Span span);

  // Waits until every span that was queued before the call is written or has
  // failed. Not for the path of a request.
  void Flush();

 private:
  void Start();
  void Run();
  void Write(const std::vector<Span>& spans);

  const std::string m_file;  // for log lines
  const std::string m_host;
  const std::size_t m_queue_limit;
  std::unique_ptr<std::ostream> m_owned;  // the file, if opened here
  std::ostream* m_stream = nullptr;       // null: nothing is exported

  std::mutex m_mutex;
  std::condition_variable m_wake;     // queue not empty, or stop
  std::condition_variable m_written;  // a batch is done
  std::vector<Span> m_queue;
  std::uint64_t m_accepted_count = 0;  // spans that entered the queue
  std::uint64_t m_written_count = 0;   // of those, written or failed
  bool m_stop = false;

  std::thread m_thread;
};

}  // namespace jujube::observe
