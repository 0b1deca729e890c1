// Metrics of the process (docs/reference/metrics.md).
//
//   // Once, when the object that counts is made:
//   Counter& lookups = CounterOf(Metric::kLookups);
//   Histogram& seconds = HistogramOf(Metric::kRequestSeconds, "tankview");
//   // On the path of a request: a relaxed atomic addition, no lock.
//   lookups.Add();
//   seconds.Observe(0.012);
//   // At the operator listener, content type kMetricsContentType:
//   std::string body = RenderMetrics();
//
// Declare a metric in schema/metrics/<module>.json and run
// tools/generate.py; its kind decides which of the three functions to call,
// and calling another one is a programming error (assert). A metric has one
// label or none. The reference that a function returns stays valid until the
// process ends. The functions take a lock: keep the reference.

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

// Label values of one metric; further ones are counted together under
// kOtherLabel. A deployment has at most 1,024 services and 2,048 entry hosts;
// the bound keeps foreign input that reaches a label from filling the memory.
inline constexpr std::size_t kMaxLabelValues = 2048;
inline constexpr std::string_view kOtherLabel = "other";

// Precondition for each: the metric is of the kind; `label` is empty exactly
// if the metric has no label in the schema.
Counter& CounterOf(Metric metric, std::string_view label = {});
Gauge& GaugeOf(Metric metric, std::string_view label = {});
Histogram& HistogramOf(Metric metric, std::string_view label = {});

// All metrics of the catalogue in the Prometheus text format. Metrics without
// a label are listed from the start; values of a label once they are asked for.
std::string RenderMetrics();

}  // namespace jujube::observe
