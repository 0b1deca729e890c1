// Compares ways to send large bodies over the link of a host: how long small
// messages wait on the link, and how long bodies take. A model of a first-in,
// first-out link, with the arrivals of one host of the users' platform.
//
//   at once   each body is written as a whole
//   bucket    chunks ask a token bucket (limits::LimitCell) and ask again later
//   in turn   chunks reserve the link (limits::HostLink)

#include <algorithm>
#include <cstdint>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

#include <benchmark/benchmark.h>

#include "limits/host_link.h"
#include "limits/limit_cell.h"

namespace jujube::limits {
namespace {

constexpr std::uint64_t kRateKbit = 2600;
constexpr std::size_t kChunkBytes = 3900;
constexpr std::size_t kSmallBytes = 600;
constexpr double kSmallPerSecond = 60;
constexpr std::size_t kMaxBodyBytes = 360000;
constexpr double kSeconds = 2000;
constexpr MonoTime kStart{std::chrono::hours(1)};

MonoClock::duration Seconds(double seconds) {
  return std::chrono::duration_cast<MonoClock::duration>(
      std::chrono::duration<double>(seconds));
}

double ToMs(MonoClock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Each way returns when a chunk may be written, or nullopt to ask again at
// RetryAt().
struct AtOnce {
  static constexpr std::size_t kChunk = kMaxBodyBytes;
  std::optional<MonoTime> Ask(std::size_t, MonoTime now) { return now; }
  MonoTime RetryAt() const { return {}; }
};

struct Bucket {
  static constexpr std::size_t kChunk = kChunkBytes;
  Bucket() {
    m_cell.Adopt(
        {.m_safe = kRateKbit * 95 / 100, .m_leased = 0, .m_expires = {}});
  }
  std::optional<MonoTime> Ask(std::size_t bytes, MonoTime now) {
    const SpendResult result = m_cell.TrySpend(bytes, now);
    m_retry_at = result.m_retry_at;
    return result.m_allowed ? std::optional(now) : std::nullopt;
  }
  MonoTime RetryAt() const { return m_retry_at; }

  LimitCell m_cell;
  MonoTime m_retry_at;
};

struct InTurn {
  static constexpr std::size_t kChunk = kChunkBytes;
  std::optional<MonoTime> Ask(std::size_t bytes, MonoTime now) {
    return m_link.Reserve(LinkSide::kOut, bytes, now);
  }
  void Small(std::size_t bytes, MonoTime now) {
    m_link.Record(LinkSide::kOut, bytes, now);
  }
  MonoTime RetryAt() const { return {}; }

  HostLink m_link{kRateKbit};
};

struct Event {
  MonoTime m_time;
  std::uint64_t m_order = 0;
  std::size_t m_left = 0;  // bytes of the body; 0: a small message
  MonoTime m_arrived;
  bool m_may_write = false;

  bool operator>(const Event& other) const {
    return std::tie(m_time, m_order) > std::tie(other.m_time, other.m_order);
  }
};

double Percentile(std::vector<double>& values, double part) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0
                        : values[static_cast<std::size_t>(
                              part * static_cast<double>(values.size() - 1))];
}

template <class Way>
void RunHostLink(benchmark::State& state) {
  const double bodies_per_second = static_cast<double>(state.range(0)) / 100;
  std::vector<double> small_waits;
  std::vector<double> body_times;
  for (auto _ : state) {
    small_waits.clear();
    body_times.clear();
    std::mt19937_64 random(7);
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t order = 0;
    const auto add_arrivals = [&](double rate, bool is_body) {
      std::exponential_distribution<double> gap(rate);
      std::lognormal_distribution<double> size(10.82, 0.6);  // mean 60 KB
      for (double time = gap(random); time < kSeconds; time += gap(random)) {
        const std::size_t bytes =
            is_body
                ? std::min<std::size_t>(
                      static_cast<std::size_t>(size(random)) + 1, kMaxBodyBytes)
                : 0;
        events.push(
            {kStart + Seconds(time), order++, bytes, kStart + Seconds(time)});
      }
    };
    add_arrivals(bodies_per_second, true);
    add_arrivals(kSmallPerSecond, false);
    Way way;
    MonoTime free_at = kStart;
    const auto transmit = [&](std::size_t bytes, MonoTime now) {
      const MonoTime begin = std::max(free_at, now);
      free_at = begin + Seconds(static_cast<double>(bytes) * 8 /
                                (static_cast<double>(kRateKbit) * 1000));
      return begin;
    };
    while (!events.empty()) {
      Event event = events.top();
      events.pop();
      const MonoTime now = event.m_time;
      if (event.m_left == 0) {
        if constexpr (requires { way.Small(kSmallBytes, now); })
          way.Small(kSmallBytes, now);
        small_waits.push_back(ToMs(transmit(kSmallBytes, now) - now));
        continue;
      }
      const std::size_t chunk = std::min(event.m_left, Way::kChunk);
      if (!event.m_may_write) {
        const std::optional<MonoTime> turn = way.Ask(chunk, now);
        event.m_may_write = turn.has_value();
        event.m_time = turn.value_or(way.RetryAt());
        event.m_order = order++;
        events.push(event);
        continue;
      }
      transmit(chunk, now);
      event.m_left -= chunk;
      event.m_may_write = false;
      if (event.m_left > 0)
        events.push(event);
      else
        body_times.push_back(ToMs(free_at - event.m_arrived));
    }
  }
  const auto mean = [](const std::vector<double>& values) {
    double sum = 0;
    for (const double value : values)
      sum += value;
    return sum / static_cast<double>(std::max<std::size_t>(values.size(), 1));
  };
  state.counters["small_ms"] = mean(small_waits);
  state.counters["small_p99"] = Percentile(small_waits, 0.99);
  state.counters["small_max"] = Percentile(small_waits, 1);
  state.counters["body_ms"] = mean(body_times);
  state.counters["body_p99"] = Percentile(body_times, 0.99);
}

// Bodies per 100 s: an ordinary second, and floods that take 0.46, 0.69 and
// 0.83 of the link.
BENCHMARK(RunHostLink<AtOnce>)->Arg(125)->Arg(250)->Arg(375)->Arg(450);
BENCHMARK(RunHostLink<Bucket>)->Arg(125)->Arg(250)->Arg(375)->Arg(450);
BENCHMARK(RunHostLink<InTurn>)->Arg(125)->Arg(250)->Arg(375)->Arg(450);

void RunReserve(benchmark::State& state) {
  HostLink link(kRateKbit);
  MonoTime now = kStart;
  for (auto _ : state) {
    now += std::chrono::milliseconds(20);
    benchmark::DoNotOptimize(link.Reserve(LinkSide::kOut, kChunkBytes, now));
  }
}
BENCHMARK(RunReserve);

}  // namespace
}  // namespace jujube::limits
