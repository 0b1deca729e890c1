#include <fstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>

#include "core/json_document.h"
#include "entry/request_metrics.h"
#include "entry/tracer.h"
#include "observe/metrics.h"

namespace jujube::entry {
namespace {

constexpr std::string_view kCallerTraceparent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
constexpr std::string_view kUnsampledTraceparent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

std::vector<Header> Headers(std::string_view traceparent) {
  return {{"Traceparent", std::string(traceparent)}};
}

class RequestSpans : public testing::Test {
 protected:
  RequestSpans()
      : m_settings{.m_file = testing::TempDir() + "jujube-entry-spans-" +
                             std::to_string(getpid())} {
    std::filesystem::remove(m_settings.m_file);
  }
  ~RequestSpans() override { std::filesystem::remove(m_settings.m_file); }

  std::vector<boost::json::value> ReadSpans() const {
    std::vector<boost::json::value> spans;
    std::ifstream file(m_settings.m_file);
    for (std::string line; std::getline(file, line);) {
      spans.push_back(ParseJsonText(line, "line")
                          .value()
                          .at("resourceSpans")
                          .at(0)
                          .at("scopeSpans")
                          .at(0)
                          .at("spans")
                          .at(0));
    }
    return spans;
  }

  TraceSettings m_settings;
};

// Guards against losing the trace between the caller and the upstream.
TEST_F(RequestSpans, StepsAndUpstreamContinueCallerTrace) {
  std::string upstream_traceparent;
  {
    observe::SpanExporter exporter(m_settings, "entry-1");
    Tracer tracer(exporter, m_settings, 1);
    SpanScope request = tracer.StartRequestSpan(Headers(kCallerTraceparent));
    SpanScope attempt = request.Child("attempt");
    SpanScope connect = attempt.Child("connect");
    connect.SetAttribute("reused", true);
    connect.SetFailed();
    connect.End();
    upstream_traceparent =
        tracer.UpstreamTraceparent(attempt, Headers(kCallerTraceparent));
    attempt.End();
    attempt.End();  // a second End exports nothing
  }
  const auto spans = ReadSpans();
  ASSERT_EQ(spans.size(), 3U);
  const auto& connect = spans[0];
  const auto& attempt = spans[1];
  const auto& request = spans[2];
  EXPECT_EQ(request.at("name"), "request");
  EXPECT_EQ(request.at("parentSpanId"), "b7ad6b7169203331");
  EXPECT_EQ(attempt.at("parentSpanId"), request.at("spanId"));
  EXPECT_EQ(connect.at("parentSpanId"), attempt.at("spanId"));
  EXPECT_EQ(connect.at("status").at("code"), 2);
  EXPECT_EQ(connect.at("attributes").at(0).at("value").at("boolValue"), true);
  for (const auto& span : spans)
    EXPECT_EQ(span.at("traceId"), "0af7651916cd43dd8448eb211c80319c");
  const auto forwarded = observe::ParseTraceparent(upstream_traceparent);
  ASSERT_TRUE(forwarded);
  EXPECT_EQ(observe::ToString(forwarded->m_span),
            attempt.at("spanId").as_string());
  EXPECT_TRUE(forwarded->m_sampled);
}

// Guards against recording and exporting spans of unsampled traces.
TEST_F(RequestSpans, UnsampledTraceIsForwardedButNotExported) {
  {
    observe::SpanExporter exporter(m_settings, "entry-1");
    Tracer tracer(exporter, m_settings, 1);
    SpanScope request = tracer.StartRequestSpan(Headers(kUnsampledTraceparent));
    SpanScope attempt = request.Child("attempt");
    EXPECT_FALSE(attempt.IsSampled());
    const auto forwarded = observe::ParseTraceparent(
        tracer.UpstreamTraceparent(attempt, Headers(kUnsampledTraceparent)));
    ASSERT_TRUE(forwarded);
    EXPECT_FALSE(forwarded->m_sampled);
    EXPECT_EQ(observe::ToString(forwarded->m_trace),
              "0af7651916cd43dd8448eb211c80319c");
  }
  EXPECT_TRUE(ReadSpans().empty());
}

TEST_F(RequestSpans, NewTracesUseTheSampleRate) {
  m_settings.m_sample_permille = 0;
  observe::SpanExporter exporter(m_settings, "entry-1");
  Tracer never_sampling(exporter, m_settings, 1);
  EXPECT_FALSE(never_sampling.StartRequestSpan({}).IsSampled());
  m_settings.m_sample_permille = 1000;
  Tracer always_sampling(exporter, m_settings, 1);
  EXPECT_TRUE(
      always_sampling.StartRequestSpan(Headers("malformed")).IsSampled());
}

// Guards against upstream spans without a parent: with tracing disabled, this
// host exports no span that the upstream could refer to.
TEST(Tracer, DisabledTracingForwardsTraceparentUnchanged) {
  observe::SpanExporter exporter(TraceSettings{}, "entry-1");
  Tracer tracer(exporter, {}, 1);
  SpanScope request = tracer.StartRequestSpan(Headers(kCallerTraceparent));
  EXPECT_FALSE(request.IsSampled());
  EXPECT_EQ(tracer.UpstreamTraceparent(request.Child("attempt"),
                                       Headers(kCallerTraceparent)),
            kCallerTraceparent);
  EXPECT_EQ(tracer.UpstreamTraceparent(request, {}), "");
}

// Guards against refusals and denied retries that no metric counts.
TEST(RequestMetrics, RefusalsAndDeniedRetriesIncrementTheirCounters) {
  RequestMetrics metrics;
  const auto refused = [](std::string_view reason) {
    return observe::CounterOf(Metric::kRefused, reason).Value();
  };
  const auto slots_before = refused("slots_taken");
  const auto claim_before = refused("claim");
  metrics.CountRefusal(steering::AdmissionAnswer::kSlotsTaken);
  metrics.CountRefusal(steering::AdmissionAnswer::kAdmitted);
  metrics.CountRefusal(RefusalCause::kClaimNotGranted);
  EXPECT_EQ(refused("slots_taken"), slots_before + 1);
  EXPECT_EQ(refused("claim"), claim_before + 1);
  observe::Counter& denied =
      observe::CounterOf(Metric::kRetriesDenied, "budget_spent");
  const auto denied_before = denied.Value();
  metrics.CountDeniedRetry(steering::RetryAnswer::kBudgetSpent);
  EXPECT_EQ(denied.Value(), denied_before + 1);
  observe::Histogram& seconds =
      observe::HistogramOf(Metric::kRequestSeconds, "metrics-test");
  const auto count_before = seconds.Collect().m_count;
  metrics.ForService({"metrics-test"}).m_duration_seconds.Observe(0.01);
  EXPECT_EQ(seconds.Collect().m_count, count_before + 1);
}

}  // namespace
}  // namespace jujube::entry
