#include "steering/instance_counters.h"

#include <cassert>

namespace jujube::steering {
namespace {

constexpr std::int64_t kWhole = 1000;  // permille

// Two connections in a row that were neither taken nor refused reach
// EjectionLimits::m_failures_in_row: each costs a request the connect timeout.
constexpr std::uint32_t kUnreachableWeight = 3;

// The control hosts drop an instance that stopped to announce itself within
// this time. A false sign of its end is forgotten after it.
constexpr std::chrono::seconds kGoneMemory{10};

}  // namespace

bool InstanceCounters::TryAcquire(std::uint32_t limit) {
  std::uint32_t used = m_in_progress.load(std::memory_order_relaxed);
  while (used < limit) {
    if (m_in_progress.compare_exchange_weak(used, used + 1,
                                            std::memory_order_acq_rel))
      return true;
  }
  return false;
}

bool InstanceCounters::TryStartCold(MonoTime now,
                                    std::chrono::nanoseconds spacing) {
  MonoTime last = m_last_cold_start.load(std::memory_order_relaxed);
  if (now - last < spacing)
    return false;
  // Another thread that was faster has taken the turn.
  return m_last_cold_start.compare_exchange_strong(last, now,
                                                   std::memory_order_acq_rel);
}

void InstanceCounters::Release() {
  [[maybe_unused]] const std::uint32_t before =
      m_in_progress.fetch_sub(1, std::memory_order_acq_rel);
  assert(before > 0 && "Release without TryAcquire");
}

void InstanceCounters::Record(Outcome outcome,
                              std::chrono::nanoseconds latency,
                              MonoTime now) {
  if (outcome == Outcome::kSuccess) {
    m_latency_ns.Add(latency.count());
    m_failures_in_row.store(0, std::memory_order_relaxed);
  }
  if (outcome == Outcome::kFailure)
    m_failures_in_row.fetch_add(1, std::memory_order_relaxed);
  if (outcome == Outcome::kUnreachable) {
    m_failures_in_row.fetch_add(kUnreachableWeight, std::memory_order_relaxed);
  }
  if (outcome == Outcome::kGone)
    m_gone_until.store(now + kGoneMemory, std::memory_order_relaxed);
  const bool is_failure =
      outcome == Outcome::kFailure || outcome == Outcome::kUnreachable;
  m_failure_permille.Add(is_failure ? kWhole : 0);
  m_shed_permille.Add(outcome == Outcome::kShed ? kWhole : 0);
  m_outcomes.fetch_add(1, std::memory_order_relaxed);
  m_last_outcome.store(now, std::memory_order_relaxed);
}

void InstanceCounters::ReportLoad(std::uint32_t total, MonoTime now) {
  const std::uint32_t own = m_in_progress.load(std::memory_order_relaxed);
  m_others.store(total > own ? total - own : 0, std::memory_order_relaxed);
  m_others_at.store(now, std::memory_order_relaxed);
}

Observation InstanceCounters::Observe() const {
  Observation seen{
      .m_in_progress = m_in_progress.load(std::memory_order_relaxed),
      .m_failure_permille =
          static_cast<std::uint32_t>(m_failure_permille.Value().value_or(0)),
      .m_shed_permille =
          static_cast<std::uint32_t>(m_shed_permille.Value().value_or(0)),
      .m_failures_in_row = m_failures_in_row.load(std::memory_order_relaxed),
      .m_outcomes = m_outcomes.load(std::memory_order_relaxed),
      .m_last_outcome = m_last_outcome.load(std::memory_order_relaxed),
      .m_ejected_until = m_ejected_until.load(std::memory_order_acquire),
      .m_gone_until = m_gone_until.load(std::memory_order_relaxed),
      .m_drain_ended = m_drain_ended.load(std::memory_order_relaxed),
      .m_others = m_others.load(std::memory_order_relaxed),
      .m_others_at = m_others_at.load(std::memory_order_relaxed),
      .m_ejection_count = m_ejection_count.load(std::memory_order_relaxed)};
  if (const auto latency = m_latency_ns.Value())
    seen.m_latency = std::chrono::nanoseconds(*latency);
  return seen;
}

void InstanceCounters::SetDraining(bool is_draining, MonoTime now) {
  if (m_was_draining.exchange(is_draining, std::memory_order_relaxed) &&
      !is_draining)
    m_drain_ended.store(now, std::memory_order_relaxed);
}

void InstanceCounters::Eject(MonoTime until) {
  m_ejection_count.fetch_add(1, std::memory_order_relaxed);
  m_failures_in_row.store(0, std::memory_order_relaxed);
  m_outcomes.store(0, std::memory_order_relaxed);
  m_latency_ns.Reset();
  m_failure_permille.Reset();
  m_shed_permille.Reset();
  m_ejected_until.store(until, std::memory_order_release);
}

void InstanceCounters::ForgetEjection() {
  if (m_ejection_count.load(std::memory_order_relaxed) > 0)
    m_ejection_count.fetch_sub(1, std::memory_order_relaxed);
}

}  // namespace jujube::steering
