#include "observe/metrics.h"

#include <array>
#include <cassert>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <tuple>
#include <utility>
#include <vector>

#include <prometheus/collectable.h>
#include <prometheus/text_serializer.h>

namespace jujube::observe {

namespace {

prometheus::ClientMetric ToClientMetric(const Counter& counter) {
  prometheus::ClientMetric metric;
  metric.counter.value = static_cast<double>(counter.Value());
  return metric;
}

prometheus::ClientMetric ToClientMetric(const Gauge& gauge) {
  prometheus::ClientMetric metric;
  metric.gauge.value = static_cast<double>(gauge.Value());
  return metric;
}

prometheus::ClientMetric ToClientMetric(const Histogram& histogram) {
  const Histogram::Snapshot snapshot = histogram.Collect();
  prometheus::ClientMetric metric;
  metric.histogram.sample_count = snapshot.m_count;
  metric.histogram.sample_sum = snapshot.m_sum_seconds;
  std::uint64_t cumulative = 0;
  for (std::size_t i = 0; i < kHistogramBuckets; ++i) {
    cumulative += snapshot.m_bucket_counts[i];
    const double bound = i < kHistogramBoundsSeconds.size()
                             ? kHistogramBoundsSeconds[i]
                             : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back(
        {.cumulative_count = cumulative, .upper_bound = bound});
  }
  return metric;
}

// All time series of one metric kind, by metric and label value.
template <class Series>
class SeriesMap {
 public:
  Series& Get(Metric metric, std::string_view label) {
    auto& by_label = m_series[static_cast<std::size_t>(metric)];
    auto found = by_label.find(label);
    if (found == by_label.end() && by_label.size() >= kMaxLabelValues) {
      label = kOtherLabel;
      found = by_label.find(label);
    }
    if (found == by_label.end())
      found = by_label.emplace(label, std::make_unique<Series>()).first;
    return *found->second;
  }

  void AppendTo(std::size_t index,
                std::vector<prometheus::ClientMetric>& out) const {
    for (const auto& [label, series] : m_series[index]) {
      prometheus::ClientMetric metric = ToClientMetric(*series);
      if (!label.empty())
        metric.label.push_back(
            {.name = std::string(kMetrics[index].m_label), .value = label});
      out.push_back(std::move(metric));
    }
  }

 private:
  using ByLabel = std::map<std::string, std::unique_ptr<Series>, std::less<>>;

  std::array<ByLabel, kMetrics.size()> m_series;
};

prometheus::MetricType TypeOf(MetricKind kind) {
  switch (kind) {
    case MetricKind::kCounter:
      return prometheus::MetricType::Counter;
    case MetricKind::kGauge:
      return prometheus::MetricType::Gauge;
    case MetricKind::kHistogram:
      return prometheus::MetricType::Histogram;
  }
  return prometheus::MetricType::Untyped;
}

// The virtual interface comes from prometheus-cpp, which collects through it.
class MetricRegistry : public prometheus::Collectable {
 public:
  MetricRegistry() {
    for (std::size_t i = 0; i < kMetrics.size(); ++i)
      if (kMetrics[i].m_label.empty())
        CreateUnlabelledSeries(i);
  }

  template <class Series>
  Series& Get([[maybe_unused]] MetricKind kind,
              Metric metric,
              std::string_view label) {
    [[maybe_unused]] const MetricInfo& info =
        kMetrics[static_cast<std::size_t>(metric)];
    assert(info.m_kind == kind && "call the function for the metric's kind");
    assert(info.m_label.empty() == label.empty() &&
           "pass a label value if and only if the schema declares a label");
    const std::lock_guard lock(m_mutex);
    return std::get<SeriesMap<Series>>(m_series).Get(metric, label);
  }

  std::vector<prometheus::MetricFamily> Collect() const override {
    const std::lock_guard lock(m_mutex);
    std::vector<prometheus::MetricFamily> families;
    for (std::size_t i = 0; i < kMetrics.size(); ++i) {
      prometheus::MetricFamily family{.name = std::string(kMetrics[i].m_name),
                                      .help = std::string(kMetrics[i].m_help),
                                      .type = TypeOf(kMetrics[i].m_kind)};
      std::apply(
          [&](const auto&... maps) { (maps.AppendTo(i, family.metric), ...); },
          m_series);
      families.push_back(std::move(family));
    }
    return families;
  }

 private:
  void CreateUnlabelledSeries(std::size_t index) {
    const auto metric = static_cast<Metric>(index);
    switch (kMetrics[index].m_kind) {
      case MetricKind::kCounter:
        Get<Counter>(MetricKind::kCounter, metric, {});
        break;
      case MetricKind::kGauge:
        Get<Gauge>(MetricKind::kGauge, metric, {});
        break;
      case MetricKind::kHistogram:
        Get<Histogram>(MetricKind::kHistogram, metric, {});
        break;
    }
  }

  mutable std::mutex m_mutex;
  std::tuple<SeriesMap<Counter>, SeriesMap<Gauge>, SeriesMap<Histogram>>
      m_series;
};

// Never destroyed: threads may update metrics while static objects are
// destroyed.
MetricRegistry& GlobalMetricRegistry() {
  static MetricRegistry& registry = *new MetricRegistry;
  return registry;
}

}  // namespace

Counter& CounterOf(Metric metric, std::string_view label) {
  return GlobalMetricRegistry().Get<Counter>(MetricKind::kCounter, metric,
                                             label);
}

Gauge& GaugeOf(Metric metric, std::string_view label) {
  return GlobalMetricRegistry().Get<Gauge>(MetricKind::kGauge, metric, label);
}

Histogram& HistogramOf(Metric metric, std::string_view label) {
  return GlobalMetricRegistry().Get<Histogram>(MetricKind::kHistogram, metric,
                                               label);
}

std::string RenderMetrics() {
  return prometheus::TextSerializer().Serialize(
      GlobalMetricRegistry().Collect());
}

}  // namespace jujube::observe
