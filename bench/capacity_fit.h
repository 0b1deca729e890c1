// Measures costs at several sizes and fits a line to them.
//
//   const double cpu_us = MinCpuMicros([&] { Lookup(); });
//   series.m_points.push_back({size, cpu_us});
//   const LinearFit fit = FitLine(series.m_points);

#pragma once

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jujube::bench {

struct DataPoint {
  double m_size = 0;
  double m_value = 0;
};

// Least-squares fit: value = m_intercept + m_slope * size.
struct LinearFit {
  double m_slope = 0;
  double m_intercept = 0;
  // Root mean square error relative to the mean value; 0 for an exact fit.
  double m_residual = 0;
};

struct Series {
  std::string m_group;      // for example "lookup"
  std::string m_measure;    // measured quantity, for example "build"
  std::string m_unit;       // unit of the values
  std::string m_size_unit;  // for example "blocks"
  std::vector<DataPoint> m_points;
};

inline LinearFit FitLine(const std::vector<DataPoint>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const DataPoint& point : points) {
    mean_size += point.m_size / count;
    mean_value += point.m_value / count;
  }
  double covariance_sum = 0;
  double variance_sum = 0;
  for (const DataPoint& point : points) {
    covariance_sum += (point.m_size - mean_size) * (point.m_value - mean_value);
    variance_sum += (point.m_size - mean_size) * (point.m_size - mean_size);
  }
  LinearFit fit;
  fit.m_slope = variance_sum > 0 ? covariance_sum / variance_sum : 0;
  fit.m_intercept = mean_value - fit.m_slope * mean_size;
  double mean_squared_error = 0;
  for (const DataPoint& point : points) {
    const double error =
        point.m_value - fit.m_intercept - fit.m_slope * point.m_size;
    mean_squared_error += error * error / count;
  }
  fit.m_residual =
      mean_value != 0 ? std::sqrt(mean_squared_error) / mean_value : 0;
  return fit;
}

// CPU time of the calling thread; excludes the time used by other processes.
inline std::int64_t ThreadCpuNs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::int64_t{1'000'000'000} * time.tv_sec + time.tv_nsec;
}

// CPU time of one call in microseconds: the minimum over kRounds rounds of at
// least kRoundNs each, because interference can only add time.
inline double MinCpuMicros(const std::function<void()>& call) {
  constexpr int kRounds = 5;
  constexpr std::int64_t kRoundNs = 10'000'000;
  double min_micros = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::int64_t started = ThreadCpuNs();
    std::int64_t elapsed = 0;
    std::int64_t calls = 0;
    while (elapsed < kRoundNs) {
      call();
      ++calls;
      elapsed = ThreadCpuNs() - started;
    }
    const double micros =
        static_cast<double>(elapsed) / 1000 / static_cast<double>(calls);
    min_micros = round == 0 ? micros : std::min(min_micros, micros);
  }
  return min_micros;
}

// Bytes allocated from the heap, including blocks allocated with mmap.
inline double AllocatedHeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace jujube::bench
