#include "limits/limit_cell.h"

#include <algorithm>
#include <cassert>

namespace jujube::limits {

namespace {

// A change takes nanoseconds, so a second look nearly always succeeds.
constexpr int kLooks = 3;

constexpr std::int64_t kBurstNs =
    std::chrono::nanoseconds(LimitCell::kBurst).count();

std::int64_t Nanoseconds(MonoTime time) {
  return time.time_since_epoch().count();
}

MonoTime FromNanoseconds(std::int64_t count) {
  return MonoTime(MonoClock::duration(count));
}

// Time that the bytes take at a rate; kbit/s is bits in a millisecond.
std::int64_t CostNs(std::uint64_t bytes, std::uint64_t kbit_s) {
  constexpr double kNsPerMs = 1e6;
  constexpr double kBitsPerByte = 8;
  return static_cast<std::int64_t>(static_cast<double>(bytes) * kBitsPerByte *
                                   kNsPerMs / static_cast<double>(kbit_s));
}

void RaiseTo(std::atomic<std::uint64_t>& value, std::uint64_t floor) {
  std::uint64_t current = value.load();
  while (current < floor && !value.compare_exchange_weak(current, floor)) {
  }
}

}  // namespace

void LimitCell::Adopt(const Grant& grant) {
  m_version.fetch_add(1);
  // While the grant changes, spenders may count m_safe alone.
  m_safe.store(grant.m_safe);
  m_leased.store(grant.m_leased);
  m_expires_ns.store(Nanoseconds(grant.m_expires));
  m_version.fetch_add(1);
}

LimitCell::View LimitCell::Look(MonoTime now) const {
  View view;
  for (int i = 0; i < kLooks; ++i) {
    view.m_version = m_version.load();
    view.m_usable = m_safe.load();
    const std::uint64_t leased = m_leased.load();
    if (Nanoseconds(now) < m_expires_ns.load())
      view.m_usable += leased;
    const bool whole = view.m_version % 2 == 0;
    if (whole && m_version.load() == view.m_version)
      return view;
  }
  view.m_usable = m_safe.load();
  return view;
}

std::uint64_t LimitCell::Usable(MonoTime now) const {
  return Look(now).m_usable;
}

bool LimitCell::TryAcquire(std::uint64_t units, MonoTime now) {
  const View view = Look(now);
  std::uint64_t held = m_in_use.load();
  do {
    if (units > view.m_usable || held > view.m_usable - units) {
      m_refused.fetch_add(units);
      return false;
    }
  } while (!m_in_use.compare_exchange_weak(held, held + units));
  // The thread that adopted a smaller grant reports the units in use after it.
  // Either that report includes these units, or the change is seen here.
  if (m_version.load() != view.m_version && held + units > Usable(now)) {
    Release(units);
    m_refused.fetch_add(units);
    return false;
  }
  RaiseTo(m_peak, held + units);
  return true;
}

void LimitCell::Release(std::uint64_t units) {
  [[maybe_unused]] const std::uint64_t held = m_in_use.fetch_sub(units);
  assert(held >= units && "released more units than were acquired");
}

SpendResult LimitCell::TrySpend(std::uint64_t bytes, MonoTime now) {
  const std::uint64_t rate = Usable(now);
  if (rate == 0) {
    m_refused.fetch_add(bytes);
    return {.m_allowed = false, .m_retry_at = now + kZeroRateWait};
  }
  const std::int64_t cost = CostNs(bytes, rate);
  const std::int64_t now_ns = Nanoseconds(now);
  std::int64_t full_at = m_full_at_ns.load();
  std::int64_t after = 0;
  do {
    after = std::max(full_at, now_ns) + cost;
    // The tokens of kBurst are there, less what has to fill up until full_at.
    const std::int64_t allowed_after = now_ns + std::max(kBurstNs, cost);
    if (after > allowed_after) {
      m_refused.fetch_add(bytes);
      return {.m_allowed = false,
              .m_retry_at = now + MonoClock::duration(after - allowed_after)};
    }
  } while (!m_full_at_ns.compare_exchange_weak(full_at, after));
  m_spent_bytes.fetch_add(bytes);
  return {.m_allowed = true, .m_retry_at = FromNanoseconds(now_ns)};
}

Usage LimitCell::TakeUnitUsage() {
  const std::uint64_t in_use = m_in_use.load();
  const std::uint64_t peak = m_peak.exchange(in_use);
  const std::uint64_t refused = m_refused.exchange(0);
  return {.m_in_use = in_use, .m_wanted = std::max(peak, in_use) + refused};
}

Usage LimitCell::TakeRateUsage(std::chrono::nanoseconds elapsed) {
  const std::uint64_t spent = m_spent_bytes.exchange(0);
  const std::uint64_t refused = m_refused.exchange(0);
  if (elapsed.count() <= 0)
    return {};
  const auto kbit_s = [&](std::uint64_t bytes) {
    constexpr double kMsPerNs = 1e-6;
    return static_cast<std::uint64_t>(
        static_cast<double>(bytes) * 8.0 /
        (static_cast<double>(elapsed.count()) * kMsPerNs));
  };
  return {.m_in_use = kbit_s(spent), .m_wanted = kbit_s(spent + refused)};
}

}  // namespace jujube::limits
