#include "steering/instance_counters.h"

#include <algorithm>
#include <cassert>

namespace jujube::steering {
namespace {

constexpr std::int64_t kFullPermille = 1000;

// Two consecutive connect timeouts reach
// EjectionLimits::m_consecutive_failures. They weigh more than other failures
// because each one costs a request the whole timeout.
constexpr std::uint32_t kUnreachableFailureWeight = 3;

// Within this time, the control hosts remove an instance that no longer
// announces itself. An instance that was taken for replaced by mistake is used
// again afterwards.
constexpr std::chrono::seconds kReplacedDuration{10};

// A longer pause is taken for an error of the instance, which must not keep
// requests away for good.
constexpr std::chrono::milliseconds kMaxPause = std::chrono::minutes(10);

constexpr unsigned kLoadFieldBits = 16;
constexpr std::uint32_t kMaxLoadField = (1U << kLoadFieldBits) - 1;

std::uint64_t PackLoad(std::uint32_t waiting,
                       std::uint32_t slots,
                       std::uint32_t work_time_permille) {
  std::uint64_t packed = 0;
  for (const std::uint32_t field : {work_time_permille, slots, waiting})
    packed = (packed << kLoadFieldBits) | std::min(field, kMaxLoadField);
  return packed;
}

std::uint32_t UnpackLoadField(std::uint64_t packed, unsigned index) {
  return static_cast<std::uint32_t>(packed >> (index * kLoadFieldBits)) &
         kMaxLoadField;
}

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

bool InstanceCounters::TryStartColdRequest(
    MonoTime now,
    std::chrono::nanoseconds min_interval) {
  MonoTime last_request_at =
      m_last_cold_request_at.load(std::memory_order_relaxed);
  if (now - last_request_at < min_interval)
    return false;
  // Fails if another thread has started a request since the load.
  return m_last_cold_request_at.compare_exchange_strong(
      last_request_at, now, std::memory_order_acq_rel);
}

void InstanceCounters::Release() {
  [[maybe_unused]] const std::uint32_t previous =
      m_in_progress.fetch_sub(1, std::memory_order_acq_rel);
  assert(previous > 0 && "Release without TryAcquire");
}

void InstanceCounters::Record(Outcome outcome,
                              std::chrono::nanoseconds latency,
                              MonoTime now) {
  if (outcome == Outcome::kSuccess) {
    m_latency_ns.Add(latency.count());
    m_consecutive_failures.store(0, std::memory_order_relaxed);
    m_connect_timeouts.store(0, std::memory_order_relaxed);
  }
  if (outcome == Outcome::kFailure)
    m_consecutive_failures.fetch_add(1, std::memory_order_relaxed);
  if (outcome == Outcome::kUnreachable) {
    m_consecutive_failures.fetch_add(kUnreachableFailureWeight,
                                     std::memory_order_relaxed);
    m_connect_timeouts.fetch_add(1, std::memory_order_relaxed);
  }
  if (outcome == Outcome::kGone)
    m_replaced_until.store(now + kReplacedDuration, std::memory_order_relaxed);
  const bool is_failure =
      outcome == Outcome::kFailure || outcome == Outcome::kUnreachable;
  m_failure_permille.Add(is_failure ? kFullPermille : 0);
  m_shed_permille.Add(outcome == Outcome::kShed ? kFullPermille : 0);
  m_outcome_count.fetch_add(1, std::memory_order_relaxed);
  m_last_outcome_at.store(now, std::memory_order_relaxed);
}

ReportChanges InstanceCounters::RecordReport(const InstanceReport& report,
                                             MonoTime now) {
  RecordLoad(report, now);
  if (report.m_pause)
    RecordPause(now + std::clamp(*report.m_pause, {}, kMaxPause));
  const bool has_begun_to_leave =
      report.m_is_leaving &&
      !m_is_leaving.exchange(true, std::memory_order_relaxed);
  if (has_begun_to_leave)
    m_leave_stated_at.store(now, std::memory_order_relaxed);
  return {.m_has_begun_to_leave = has_begun_to_leave,
          .m_has_other_limit =
              m_rate_limiter.SetLimit(report.m_requests_per_1000s, now)};
}

void InstanceCounters::RecordPause(MonoTime until) {
  MonoTime old = m_paused_until.load(std::memory_order_relaxed);
  while (old < until && !m_paused_until.compare_exchange_weak(
                            old, until, std::memory_order_relaxed)) {
  }
}

void InstanceCounters::RecordLoad(const InstanceReport& report, MonoTime now) {
  if (!report.m_in_progress)
    return;
  const std::uint32_t total_in_progress = *report.m_in_progress;
  const std::uint32_t own_in_progress =
      m_in_progress.load(std::memory_order_relaxed);
  m_others_in_progress.store(total_in_progress > own_in_progress
                                 ? total_in_progress - own_in_progress
                                 : 0,
                             std::memory_order_relaxed);
  m_reported_load.store(
      PackLoad(report.m_waiting.value_or(0), report.m_slots.value_or(0),
               report.m_work_time_permille.value_or(0)),
      std::memory_order_relaxed);
  m_others_reported_at.store(now, std::memory_order_relaxed);
}

ReportedLoad InstanceCounters::Load() const {
  const std::uint64_t packed = m_reported_load.load(std::memory_order_relaxed);
  return {.m_others_in_progress =
              m_others_in_progress.load(std::memory_order_relaxed),
          .m_waiting = UnpackLoadField(packed, 0),
          .m_slots = UnpackLoadField(packed, 1),
          .m_work_time_permille =
              std::max(UnpackLoadField(packed, 2), kUsualWorkTimePermille),
          .m_at = m_others_reported_at.load(std::memory_order_relaxed)};
}

Observation InstanceCounters::Observe() const {
  Observation observation{
      .m_in_progress = m_in_progress.load(std::memory_order_relaxed),
      .m_failure_permille =
          static_cast<std::uint32_t>(m_failure_permille.Value().value_or(0)),
      .m_shed_permille =
          static_cast<std::uint32_t>(m_shed_permille.Value().value_or(0)),
      .m_consecutive_failures =
          m_consecutive_failures.load(std::memory_order_relaxed),
      .m_connect_timeouts = m_connect_timeouts.load(std::memory_order_relaxed),
      .m_outcome_count = m_outcome_count.load(std::memory_order_relaxed),
      .m_last_outcome_at = m_last_outcome_at.load(std::memory_order_relaxed),
      .m_ejected_until = m_ejected_until.load(std::memory_order_acquire),
      .m_replaced_until = m_replaced_until.load(std::memory_order_relaxed),
      .m_drain_ended_at = m_drain_ended_at.load(std::memory_order_relaxed),
      .m_others_in_progress =
          m_others_in_progress.load(std::memory_order_relaxed),
      .m_others_reported_at =
          m_others_reported_at.load(std::memory_order_relaxed),
      .m_ejection_count = m_ejection_count.load(std::memory_order_relaxed),
      .m_is_leaving = m_is_leaving.load(std::memory_order_relaxed),
      .m_paused_until = m_paused_until.load(std::memory_order_relaxed)};
  if (const auto latency = m_latency_ns.Value())
    observation.m_latency = std::chrono::nanoseconds(*latency);
  return observation;
}

void InstanceCounters::SetDraining(bool is_draining, MonoTime now) {
  if (m_was_draining.exchange(is_draining, std::memory_order_relaxed) &&
      !is_draining)
    m_drain_ended_at.store(now, std::memory_order_relaxed);
}

void InstanceCounters::Eject(MonoTime until) {
  m_ejection_count.fetch_add(1, std::memory_order_relaxed);
  m_consecutive_failures.store(0, std::memory_order_relaxed);
  m_connect_timeouts.store(0, std::memory_order_relaxed);
  m_outcome_count.store(0, std::memory_order_relaxed);
  m_latency_ns.Reset();
  m_failure_permille.Reset();
  m_shed_permille.Reset();
  m_ejected_until.store(until, std::memory_order_release);
}

void InstanceCounters::DecrementEjectionCount() {
  if (m_ejection_count.load(std::memory_order_relaxed) > 0)
    m_ejection_count.fetch_sub(1, std::memory_order_relaxed);
}

}  // namespace jujube::steering
