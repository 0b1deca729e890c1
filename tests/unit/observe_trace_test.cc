#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "core/json_document.h"
#include "observe/metrics.h"
#include "observe/span_exporter.h"

namespace jujube::observe {
namespace {

constexpr std::string_view kHeader =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

Span SampleSpan() {
  return {.m_context = ParseTraceparent(kHeader).value(),
          .m_parent = {0x1234},
          .m_name = "send",
          .m_start = std::chrono::nanoseconds(1700000000000000001),
          .m_end = std::chrono::nanoseconds(1700000000000000002),
          .m_attributes = {{"upstream.instance", std::string("tankview-\xff")},
                           {"http.status", std::int64_t{200}},
                           {"reused", true}},
          .m_failed = true};
}

TEST(Traceparent, RoundTrips) {
  const TraceContext context = ParseTraceparent(kHeader).value();
  EXPECT_EQ(ToString(context.m_trace), "0af7651916cd43dd8448eb211c80319c");
  EXPECT_EQ(ToString(context.m_span), "b7ad6b7169203331");
  EXPECT_TRUE(context.m_sampled);
  EXPECT_EQ(ToTraceparent(context), kHeader);
}

// Guards against malformed headers of callers that are accepted or read out of
// bounds.
TEST(Traceparent, MalformedHeadersAreRefused) {
  const std::string good(kHeader);
  for (std::size_t size = 0; size < good.size(); ++size)
    EXPECT_FALSE(ParseTraceparent(good.substr(0, size))) << size;
  for (std::size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = 'G';
    EXPECT_FALSE(ParseTraceparent(bad)) << i;
  }
  EXPECT_FALSE(ParseTraceparent("ff" + good.substr(2)));
  EXPECT_FALSE(ParseTraceparent(good + "-00"));
  EXPECT_FALSE(ParseTraceparent(
      "00-00000000000000000000000000000000-b7ad6b7169203331-01"));
  EXPECT_FALSE(ParseTraceparent(
      "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01"));
}

TEST(Traceparent, HigherVersionsMayAddFields) {
  EXPECT_TRUE(ParseTraceparent("01" + std::string(kHeader).substr(2) + "-x"));
  EXPECT_FALSE(ParseTraceparent("01" + std::string(kHeader).substr(2) + "x"));
}

TEST(Traceparent, FollowsTheW3cRecommendation) {
  const std::string text =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  EXPECT_EQ(ToTraceparent(ParseTraceparent(text).value()), text);
  EXPECT_TRUE(ParseTraceparent("01" + text.substr(2) + "-later"));
  for (const std::string& bad :
       {std::string(), text.substr(1), text + "-x", text + "0",
        "ff" + text.substr(2), "01" + text.substr(2) + "x",
        "00-" + std::string(32, '0') + text.substr(35),
        text.substr(0, 36) + std::string(16, '0') + "-01",
        "00-0AF7651916CD43DD8448EB211C80319C" + text.substr(35)})
    EXPECT_FALSE(ParseTraceparent(bad)) << bad;
}

TEST(Sampling, FollowsTheSettingAndTheParent) {
  std::mt19937_64 random(1);
  int sampled = 0;
  for (int i = 0; i < 10'000; ++i) {
    const TraceContext context = NewTrace(random, 100);
    sampled += context.m_sampled ? 1 : 0;
    const TraceContext child = ChildOf(context, random);
    EXPECT_EQ(child.m_sampled, context.m_sampled);
    EXPECT_EQ(child.m_trace, context.m_trace);
    EXPECT_NE(child.m_span, context.m_span);
    EXPECT_TRUE(IsSampled(context.m_trace, 1000));
    EXPECT_FALSE(IsSampled(context.m_trace, 0));
  }
  EXPECT_NEAR(sampled, 1000, 150);  // 100 permille of the traces
}

TEST(SpanExporter, FileHasOneOtlpObjectPerLine) {
  const std::string path =
      testing::TempDir() + "jujube-spans-" + std::to_string(getpid());
  std::filesystem::remove(path);
  {
    SpanExporter exporter({.m_file = path}, "entry-1");
    exporter.Export(SampleSpan());
    exporter.Export(SampleSpan());
  }
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  const auto json = ParseJsonText(line, "line").value();
  const auto& resource = json.at("resourceSpans").at(0);
  const auto& span = resource.at("scopeSpans").at(0).at("spans").at(0);
  EXPECT_EQ(span.at("traceId"), "0af7651916cd43dd8448eb211c80319c");
  EXPECT_EQ(span.at("parentSpanId"), "0000000000001234");
  EXPECT_EQ(span.at("startTimeUnixNano"), "1700000000000000001");
  EXPECT_EQ(span.at("status").at("code"), 2);
  EXPECT_EQ(span.at("attributes").at(0).at("value").at("stringValue"),
            "tankview-?");
  EXPECT_EQ(span.at("attributes").at(1).at("value").at("intValue"), "200");
  EXPECT_TRUE(std::getline(file, line));
  EXPECT_FALSE(std::getline(file, line));
  std::filesystem::remove(path);
}

// Stream buffer whose writes block until Release is called.
class BlockingBuffer : public std::stringbuf {
 public:
  void WaitForWriter() {
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_is_writing; });
  }

  void Release() {
    const std::lock_guard lock(m_mutex);
    m_is_released = true;
    m_changed.notify_all();
  }

 protected:
  std::streamsize xsputn(const char* text, std::streamsize size) override {
    std::unique_lock lock(m_mutex);
    m_is_writing = true;
    m_changed.notify_all();
    m_changed.wait(lock, [&] { return m_is_released; });
    lock.unlock();
    return std::stringbuf::xsputn(text, size);
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_is_writing = false;
  bool m_is_released = false;
};

// Guards against a stalled disk that blocks requests or exhausts memory.
TEST(SpanExporter, StalledFileDropsAndCountsInsteadOfBlocking) {
  constexpr std::size_t kLimit = 10;
  Counter& dropped = CounterOf(Metric::kSpansDropped);
  Counter& exported = CounterOf(Metric::kSpansExported);
  const std::uint64_t dropped_before = dropped.Value();
  const std::uint64_t exported_before = exported.Value();
  BlockingBuffer buffer;
  std::ostream stream(&buffer);
  {
    SpanExporter exporter(stream, "entry-1", kLimit);
    exporter.Export(SampleSpan());
    buffer.WaitForWriter();
    for (std::size_t i = 0; i < kLimit + 5; ++i)
      exporter.Export(SampleSpan());
    EXPECT_EQ(dropped.Value() - dropped_before, 5U);
    buffer.Release();
    exporter.Flush();
    EXPECT_EQ(exported.Value() - exported_before, kLimit + 1);
  }
  const std::string text = buffer.str();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'),
            static_cast<std::ptrdiff_t>(kLimit + 1));
}

// Guards against spans that are counted as exported although the write failed.
TEST(SpanExporter, FailedWritesCountAsDropped) {
  Counter& dropped = CounterOf(Metric::kSpansDropped);
  const std::uint64_t before = dropped.Value();
  {
    SpanExporter exporter({.m_file = "/nonexistent-folder/spans"}, "entry-1");
    exporter.Export(SampleSpan());
  }
  EXPECT_EQ(dropped.Value() - before, 1U);
}

TEST(SpanExporter, SpansOfSeveralThreadsAreNotInterleaved) {
  std::ostringstream stream;
  {
    SpanExporter exporter(stream, "entry-1");
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i)
      threads.emplace_back([&exporter] {
        for (int n = 0; n < 100; ++n)
          exporter.Export(SampleSpan());
      });
    for (std::thread& thread : threads)
      thread.join();
  }
  std::istringstream lines(stream.str());
  int count = 0;
  for (std::string line; std::getline(lines, line); ++count)
    EXPECT_TRUE(ParseJsonText(line, "line"));
  EXPECT_EQ(count, 400);
}

// Guards against a Flush that waits forever for a span that is never written.
TEST(SpanExporter, WithoutAFileNothingIsExported) {
  SpanExporter exporter(TraceSettings{}, "entry-1");
  exporter.Export(SampleSpan());
  exporter.Flush();
}

}  // namespace
}  // namespace jujube::observe
