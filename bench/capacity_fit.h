// Measurements at several sizes, and the straight line through them.

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

struct Point {
  double m_size = 0;
  double m_value = 0;
};

// value = m_intercept + m_slope * size, by least squares.
struct Fit {
  double m_slope = 0;
  double m_intercept = 0;
  double m_residual = 0;  // root mean square over the mean value; 0: exact
};

struct Series {
  std::string m_group;  // for example "lookup"
  std::string m_name;   // what is measured
  std::string m_unit;   // of the value
  std::string m_size_unit;
  std::vector<Point> m_points;
};

inline Fit FitLine(const std::vector<Point>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const Point& point : points) {
    mean_size += point.m_size / count;
    mean_value += point.m_value / count;
  }
  double products = 0;
  double squares = 0;
  for (const Point& point : points) {
    products += (point.m_size - mean_size) * (point.m_value - mean_value);
    squares += (point.m_size - mean_size) * (point.m_size - mean_size);
  }
  Fit fit;
  fit.m_slope = squares > 0 ? products / squares : 0;
  fit.m_intercept = mean_value - fit.m_slope * mean_size;
  double errors = 0;
  for (const Point& point : points) {
    const double error =
        point.m_value - fit.m_intercept - fit.m_slope * point.m_size;
    errors += error * error / count;
  }
  fit.m_residual = mean_value != 0 ? std::sqrt(errors) / mean_value : 0;
  return fit;
}

// Processor time of the thread; time that other processes take on a busy
// machine is not part of it.
inline std::int64_t ThreadCpuNs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::int64_t{1'000'000'000} * time.tv_sec + time.tv_nsec;
}

// Microseconds of processor time of one call: the least of five rounds, each of
// at least 10 ms, since a disturbance only adds.
inline double CpuMicros(const std::function<void()>& call) {
  constexpr int kRounds = 5;
  constexpr std::int64_t kRoundNs = 10'000'000;
  double least = 0;
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
    least = round == 0 ? micros : std::min(least, micros);
  }
  return least;
}

// Bytes that the heap has given out, large blocks included.
inline double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace jujube::bench
