#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "observe/metrics.h"

namespace jujube::observe {
namespace {

bool RenderedMetricsContain(std::string_view line) {
  return ("\n" + RenderMetrics()).find("\n" + std::string(line) + "\n") !=
         std::string::npos;
}

TEST(Metrics, MetricWithoutLabelIsListedBeforeItsFirstUse) {
  EXPECT_TRUE(RenderedMetricsContain("# TYPE jujube_config_index gauge"));
  EXPECT_TRUE(RenderedMetricsContain("jujube_config_index 0"));
}

TEST(Metrics, GaugeAddsNegativeAmounts) {
  Gauge& gauge = GaugeOf(Metric::kInProgress);
  gauge.Set(5);
  gauge.Add(-2);
  EXPECT_TRUE(RenderedMetricsContain("jujube_requests_in_progress 3"));
  gauge.Set(0);
}

// Guards against lost increments and against a shard that is not summed.
TEST(Metrics, CounterKeepsEveryIncrementOfManyThreads) {
  Counter counter;
  std::vector<std::thread> threads;
  constexpr int kThreads = static_cast<int>(kShardCount) + 2;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i)
    threads.emplace_back([&counter] {
      for (int n = 0; n < 1000; ++n)
        counter.Add();
    });
  for (std::thread& thread : threads)
    thread.join();
  EXPECT_EQ(counter.Value(), 1000U * kThreads);
}

// Guards against a bucket that excludes its upper bound, and against exported
// buckets that are not cumulative.
TEST(Metrics, HistogramBucketsAreCumulativeAndInclusive) {
  Histogram& histogram = HistogramOf(Metric::kRequestSeconds, "tankview");
  histogram.Observe(0.001);
  histogram.Observe(0.002);
  histogram.Observe(60);
  const std::string name = "jujube_request_seconds_";
  const std::string bucket = name + "bucket{service=\"tankview\",le=\"";
  EXPECT_TRUE(RenderedMetricsContain(bucket + "0.0005\"} 0"));
  EXPECT_TRUE(RenderedMetricsContain(bucket + "0.001\"} 1"));
  EXPECT_TRUE(RenderedMetricsContain(bucket + "10\"} 2"));
  EXPECT_TRUE(RenderedMetricsContain(bucket + "+Inf\"} 3"));
  EXPECT_TRUE(RenderedMetricsContain(name + "count{service=\"tankview\"} 3"));
  EXPECT_TRUE(
      RenderedMetricsContain(name + "sum{service=\"tankview\"} 60.003"));
}

TEST(Metrics, ReferenceForALabelValueIsStable) {
  Counter& first = CounterOf(Metric::kRequests, "Ran");
  EXPECT_EQ(&first, &CounterOf(Metric::kRequests, "Ran"));
  EXPECT_NE(&first, &CounterOf(Metric::kRequests, "NotRun"));
}

// Guards against unbounded memory when untrusted input is used as a label
// value.
TEST(Metrics, LabelValuesAreBounded) {
  for (std::size_t i = 0; i < kMaxLabelValues; ++i)
    CounterOf(Metric::kRequests, "value-" + std::to_string(i));
  Counter& overflow = CounterOf(Metric::kRequests, "one-too-many");
  EXPECT_EQ(&overflow, &CounterOf(Metric::kRequests, "another"));
  EXPECT_EQ(&overflow, &CounterOf(Metric::kRequests, kOtherLabel));
}

}  // namespace
}  // namespace jujube::observe
