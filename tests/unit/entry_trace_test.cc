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

constexpr std::string_view kCallerTrace =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
constexpr std::string_view kUnsampledTrace =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";

std::vector<Header> Headers(std::string_view traceparent) {
  return {{"Traceparent", std::string(traceparent)}};
}

class SpansOfRequests : public testing::Test {
 protected:
  SpansOfRequests()
      : m_settings{.m_file = testing::TempDir() + "jujube-entry-spans-" +
                             std::to_string(getpid())} {
    std::filesystem::remove(m_settings.m_file);
  }
  ~SpansOfRequests() override { std::filesystem::remove(m_settings.m_file); }

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

// Guards against a trace that breaks between the caller and the upstream.
TEST_F(SpansOfRequests, StepsAndUpstreamContinueTheTraceOfTheCaller) {
  std::string outgoing;
  {
    observe::SpanExporter exporter(m_settings, "entry-1");
    Tracer tracer(exporter, m_settings, 1);
    SpanScope request = tracer.StartRequest(Headers(kCallerTrace));
    SpanScope attempt = request.Child("attempt");
    SpanScope connect = attempt.Child("connect");
    connect.Set("reused", true);
    connect.Fail();
    connect.End();
    outgoing = tracer.Outgoing(attempt, Headers(kCallerTrace));
    attempt.End();
    attempt.End();  // ending twice exports once
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
  const auto passed = observe::ParseTraceparent(outgoing);
  ASSERT_TRUE(passed);
  EXPECT_EQ(observe::ToString(passed->m_span),
            attempt.at("spanId").as_string());
  EXPECT_TRUE(passed->m_sampled);
}

// Guards against spans, and their cost, for traces that are not sampled.
TEST_F(SpansOfRequests, UnsampledTraceIsPassedOnAndNotExported) {
  {
    observe::SpanExporter exporter(m_settings, "entry-1");
    Tracer tracer(exporter, m_settings, 1);
    SpanScope request = tracer.StartRequest(Headers(kUnsampledTrace));
    SpanScope attempt = request.Child("attempt");
    EXPECT_FALSE(attempt.IsSampled());
    const auto passed = observe::ParseTraceparent(
        tracer.Outgoing(attempt, Headers(kUnsampledTrace)));
    ASSERT_TRUE(passed);
    EXPECT_FALSE(passed->m_sampled);
    EXPECT_EQ(observe::ToString(passed->m_trace),
              "0af7651916cd43dd8448eb211c80319c");
  }
  EXPECT_TRUE(ReadSpans().empty());
}

TEST_F(SpansOfRequests, NewTracesFollowTheSampledPart) {
  m_settings.m_sample_permille = 0;
  observe::SpanExporter exporter(m_settings, "entry-1");
  Tracer none(exporter, m_settings, 1);
  EXPECT_FALSE(none.StartRequest({}).IsSampled());
  m_settings.m_sample_permille = 1000;
  Tracer all(exporter, m_settings, 1);
  EXPECT_TRUE(all.StartRequest(Headers("malformed")).IsSampled());
}

// Guards against upstream spans whose parent no host exports.
TEST(Tracer, WithoutAFileTheHeaderOfTheCallerIsPassedUnchanged) {
  observe::SpanExporter exporter(TraceSettings{}, "entry-1");
  Tracer tracer(exporter, {}, 1);
  SpanScope request = tracer.StartRequest(Headers(kCallerTrace));
  EXPECT_FALSE(request.IsSampled());
  EXPECT_EQ(tracer.Outgoing(request.Child("attempt"), Headers(kCallerTrace)),
            kCallerTrace);
  EXPECT_EQ(tracer.Outgoing(request, {}), "");
}

// Guards against refusals and retries that no metric shows.
TEST(RequestMetrics, RefusalsAndRetriesMoveTheirLabels) {
  RequestMetrics metrics;
  const auto refused = [](std::string_view reason) {
    return observe::CounterOf(Metric::kRefused, reason).Value();
  };
  const auto slots_before = refused("slots_taken");
  const auto claim_before = refused("claim");
  metrics.Refused(steering::AdmissionAnswer::kSlotsTaken);
  metrics.Refused(steering::AdmissionAnswer::kAdmitted);
  metrics.Refused(RefusalCause::kClaim);
  EXPECT_EQ(refused("slots_taken"), slots_before + 1);
  EXPECT_EQ(refused("claim"), claim_before + 1);
  observe::Counter& denied =
      observe::CounterOf(Metric::kRetriesDenied, "budget_spent");
  const auto denied_before = denied.Value();
  metrics.RetryDenied(steering::RetryAnswer::kBudgetSpent);
  EXPECT_EQ(denied.Value(), denied_before + 1);
  observe::Histogram& seconds =
      observe::HistogramOf(Metric::kRequestSeconds, "metrics-test");
  const auto count_before = seconds.Collect().m_count;
  metrics.Of({"metrics-test"}).m_seconds.Observe(0.01);
  EXPECT_EQ(seconds.Collect().m_count, count_before + 1);
}

}  // namespace
}  // namespace jujube::entry
