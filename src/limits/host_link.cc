#include "limits/host_link.h"

#include <algorithm>

namespace jujube::limits {

namespace {

// A chunk takes this time on the link, and a small message waits as long for
// it. Shorter chunks would need more system calls per body.
constexpr std::chrono::milliseconds kChunkTime{12};
constexpr std::size_t kMinChunkBytes = 2048;
constexpr std::size_t kMaxChunkBytes = 16384;

// Part of the rate that is given to messages. The rest is for the headers of
// packets and for messages between the processes of the system, which are not
// recorded.
constexpr double kUsableFraction = 0.95;

constexpr std::uint32_t kBusyPermille = 800;
constexpr std::chrono::milliseconds kBusyBacklog{50};

constexpr std::uint64_t kPermille = 1000;
constexpr std::uint64_t kBitsPerByte = 8;
constexpr double kNsPerMs = 1e6;

std::int64_t ToNanoseconds(MonoTime time) {
  return time.time_since_epoch().count();
}

std::int64_t PeriodOf(MonoTime time) {
  return time.time_since_epoch() / MonoClock::duration(HostLink::kPeriod);
}

}  // namespace

std::size_t HostLink::ChunkBytes() const {
  if (!HasRate())
    return kMaxChunkBytes;
  // 1 kbit/s is one bit per millisecond.
  return std::clamp<std::size_t>(m_kbit_s * kChunkTime.count() / kBitsPerByte,
                                 kMinChunkBytes, kMaxChunkBytes);
}

std::int64_t HostLink::TransmitTimeNs(std::uint64_t bytes) const {
  return static_cast<std::int64_t>(
      static_cast<double>(bytes * kBitsPerByte) * kNsPerMs /
      (static_cast<double>(m_kbit_s) * kUsableFraction));
}

void HostLink::Record(LinkSide side, std::uint64_t bytes, MonoTime now) {
  (void)Reserve(side, bytes, now);
}

MonoTime HostLink::Reserve(LinkSide side, std::uint64_t bytes, MonoTime now) {
  if (!HasRate() || bytes == 0)
    return now;
  Side& state = Of(side);
  Count(state, bytes, now);
  const std::int64_t now_ns = ToNanoseconds(now);
  const std::int64_t cost_ns = TransmitTimeNs(bytes);
  std::int64_t free_at_ns = state.m_free_at_ns.load(std::memory_order_relaxed);
  std::int64_t start_ns = 0;
  do {
    start_ns = std::max(free_at_ns, now_ns);
  } while (!state.m_free_at_ns.compare_exchange_weak(free_at_ns,
                                                     start_ns + cost_ns));
  return MonoTime(MonoClock::duration(start_ns));
}

MonoClock::duration HostLink::Backlog(LinkSide side, MonoTime now) const {
  const std::int64_t free_at_ns =
      Of(side).m_free_at_ns.load(std::memory_order_relaxed);
  return MonoClock::duration(
      std::max<std::int64_t>(free_at_ns - ToNanoseconds(now), 0));
}

// Threads that change the period at the same time may attribute the bytes of
// one call to the wrong period, which does not matter to a measurement.
void HostLink::Count(Side& side, std::uint64_t bytes, MonoTime now) {
  const std::int64_t period = PeriodOf(now);
  std::int64_t current = side.m_period.load(std::memory_order_relaxed);
  if (current < period &&
      side.m_period.compare_exchange_strong(current, period)) {
    const std::uint64_t counted = side.m_bytes.exchange(0);
    side.m_last_bytes.store(current + 1 == period ? counted : 0);
  }
  side.m_bytes.fetch_add(bytes, std::memory_order_relaxed);
}

std::uint32_t HostLink::UtilizationPermille(LinkSide side, MonoTime now) const {
  if (!HasRate())
    return 0;
  const Side& state = Of(side);
  const std::int64_t age =
      PeriodOf(now) - state.m_period.load(std::memory_order_relaxed);
  std::uint64_t bytes = 0;
  if (age == 0)
    bytes = state.m_last_bytes.load(std::memory_order_relaxed);
  else if (age == 1)
    bytes = state.m_bytes.load(std::memory_order_relaxed);
  const std::uint64_t period_ms = kPeriod.count();
  return static_cast<std::uint32_t>(bytes * kBitsPerByte * kPermille /
                                    (m_kbit_s * period_ms));
}

bool HostLink::IsBusy(MonoTime now) const {
  const auto is_busy = [&](LinkSide side) {
    return UtilizationPermille(side, now) > kBusyPermille ||
           Backlog(side, now) > kBusyBacklog;
  };
  return is_busy(LinkSide::kOut) || is_busy(LinkSide::kIn);
}

}  // namespace jujube::limits
