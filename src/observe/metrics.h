// Metrics of the process (docs/reference/metrics.md).
//
//   // Once, when the object that updates them is constructed:
//   Counter& lookups = CounterOf(Metric::kLookups);
//   Histogram& seconds = HistogramOf(Metric::kRequestSeconds, "tankview");
//   // On the path of a request: a relaxed atomic addition, no lock.
//   lookups.Add();
//   seconds.Observe(0.012);
//   // At the operator listener, content type kMetricsContentType:
//   std::string body = RenderMetrics();
//
// Declare a metric in schema/metrics/<module>.json and run
// tools/generate.py. The kind of a metric decides which of the three functions
// returns it; calling another one is a programming error (assert). A metric has
// one label or none. The functions take a lock, so callers keep the returned
// reference, which stays valid until the process ends.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "gen/metrics.h"
#include "observe/counter.h"
#include "observe/gauge.h"
#include "observe/histogram.h"

namespace jujube::observe {

inline constexpr std::string_view kMetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

// Maximum number of label values of one metric; further values are counted
// together under kOtherLabel. A deployment has at most 1,024 services and 2,048
// entry hosts; the limit bounds the memory if untrusted input reaches a label.
inline constexpr std::size_t kMaxLabelValues = 2048;
inline constexpr std::string_view kOtherLabel = "other";

// Precondition: the metric is of the kind that the function names, and `label`
// is empty if and only if the metric has no label in the schema.
Counter& CounterOf(Metric metric, std::string_view label = {});
Gauge& GaugeOf(Metric metric, std::string_view label = {});
Histogram& HistogramOf(Metric metric, std::string_view label = {});

// All metrics of the catalogue in the Prometheus text format. Metrics without
// a label are listed from the start, a label value after the first call for it.
std::string RenderMetrics();

}  // namespace jujube::observe
