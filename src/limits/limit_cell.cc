#include "limits/limit_cell.h"

#include <algorithm>
#include <cassert>

namespace jujube::limits {

namespace {

// Adopt() takes nanoseconds, so the second attempt nearly always succeeds.
constexpr int kMaxReadAttempts = 3;

constexpr std::int64_t kBurstDurationNs =
    std::chrono::nanoseconds(LimitCell::kBurstDuration).count();

std::int64_t ToNanoseconds(MonoTime time) {
  return time.time_since_epoch().count();
}

MonoTime FromNanoseconds(std::int64_t count) {
  return MonoTime(MonoClock::duration(count));
}

// Time to send the bytes at a rate. 1 kbit/s is one bit per millisecond.
std::int64_t TransmitTimeNs(std::uint64_t bytes, std::uint64_t kbit_s) {
  constexpr double kNsPerMs = 1e6;
  constexpr double kBitsPerByte = 8;
  return static_cast<std::int64_t>(static_cast<double>(bytes) * kBitsPerByte *
                                   kNsPerMs / static_cast<double>(kbit_s));
}

void RaiseToAtLeast(std::atomic<std::uint64_t>& value, std::uint64_t minimum) {
  std::uint64_t current = value.load();
  while (current < minimum && !value.compare_exchange_weak(current, minimum)) {
  }
}

}  // namespace

void LimitCell::Adopt(const Grant& grant) {
  m_version.fetch_add(1);
  // Stored first: during the change, readers may use m_safe alone.
  m_safe.store(grant.m_safe);
  m_leased.store(grant.m_leased);
  m_expires_ns.store(ToNanoseconds(grant.m_expires));
  m_version.fetch_add(1);
}

LimitCell::UsableSnapshot LimitCell::ReadUsable(MonoTime now) const {
  UsableSnapshot snapshot;
  for (int i = 0; i < kMaxReadAttempts; ++i) {
    snapshot.m_version = m_version.load();
    snapshot.m_usable = m_safe.load();
    const std::uint64_t leased = m_leased.load();
    if (ToNanoseconds(now) < m_expires_ns.load())
      snapshot.m_usable += leased;
    const bool is_stable = snapshot.m_version % 2 == 0;
    if (is_stable && m_version.load() == snapshot.m_version)
      return snapshot;
  }
  snapshot.m_usable = m_safe.load();
  return snapshot;
}

std::uint64_t LimitCell::Usable(MonoTime now) const {
  return ReadUsable(now).m_usable;
}

bool LimitCell::TryAcquire(std::uint64_t units, MonoTime now) {
  const UsableSnapshot snapshot = ReadUsable(now);
  std::uint64_t in_use = m_in_use.load();
  do {
    if (units > snapshot.m_usable || in_use > snapshot.m_usable - units) {
      m_refused_amount.fetch_add(units);
      return false;
    }
  } while (!m_in_use.compare_exchange_weak(in_use, in_use + units));
  // The grant may have been replaced by a smaller one since the snapshot. The
  // control thread reports the units in use after Adopt(): either that report
  // includes these units, or the new version is visible here and they are
  // checked again.
  if (m_version.load() != snapshot.m_version && in_use + units > Usable(now)) {
    Release(units);
    m_refused_amount.fetch_add(units);
    return false;
  }
  RaiseToAtLeast(m_peak_in_use, in_use + units);
  return true;
}

void LimitCell::Release(std::uint64_t units) {
  [[maybe_unused]] const std::uint64_t in_use = m_in_use.fetch_sub(units);
  assert(in_use >= units && "released more units than were acquired");
}

SpendResult LimitCell::TrySpend(std::uint64_t bytes, MonoTime now) {
  const std::uint64_t rate_kbit_s = Usable(now);
  if (rate_kbit_s == 0) {
    m_refused_amount.fetch_add(bytes);
    return {.m_allowed = false, .m_retry_at = now + kZeroRateRetryDelay};
  }
  const std::int64_t cost_ns = TransmitTimeNs(bytes, rate_kbit_s);
  const std::int64_t now_ns = ToNanoseconds(now);
  std::int64_t full_at_ns = m_bucket_full_at_ns.load();
  std::int64_t new_full_at_ns = 0;
  do {
    new_full_at_ns = std::max(full_at_ns, now_ns) + cost_ns;
    // Each chunk delays the time at which the bucket is full by its transmit
    // time. A bucket that needs kBurstDuration to fill is empty. A chunk larger
    // than the burst requires a full bucket and leaves a deficit.
    const std::int64_t max_full_at_ns =
        now_ns + std::max(kBurstDurationNs, cost_ns);
    if (new_full_at_ns > max_full_at_ns) {
      m_refused_amount.fetch_add(bytes);
      return {.m_allowed = false,
              .m_retry_at =
                  now + MonoClock::duration(new_full_at_ns - max_full_at_ns)};
    }
  } while (
      !m_bucket_full_at_ns.compare_exchange_weak(full_at_ns, new_full_at_ns));
  m_spent_bytes.fetch_add(bytes);
  return {.m_allowed = true, .m_retry_at = FromNanoseconds(now_ns)};
}

Usage LimitCell::TakeUnitUsage() {
  const std::uint64_t in_use = m_in_use.load();
  const std::uint64_t peak = m_peak_in_use.exchange(in_use);
  const std::uint64_t refused = m_refused_amount.exchange(0);
  return {.m_in_use = in_use, .m_wanted = std::max(peak, in_use) + refused};
}

Usage LimitCell::TakeRateUsage(std::chrono::nanoseconds elapsed) {
  const std::uint64_t spent_bytes = m_spent_bytes.exchange(0);
  const std::uint64_t refused = m_refused_amount.exchange(0);
  if (elapsed.count() <= 0)
    return {};
  const auto to_kbit_s = [&](std::uint64_t bytes) {
    constexpr double kMsPerNs = 1e-6;
    return static_cast<std::uint64_t>(
        static_cast<double>(bytes) * 8.0 /
        (static_cast<double>(elapsed.count()) * kMsPerNs));
  };
  return {.m_in_use = to_kbit_s(spent_bytes),
          .m_wanted = to_kbit_s(spent_bytes + refused)};
}

}  // namespace jujube::limits
