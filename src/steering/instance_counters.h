// InstanceCounters: counters of one incarnation of an instance, shared by all
// threads.
//
// The counters outlive the views that refer to them: a request holds a
// shared_ptr from its selection to its end. All functions are thread-safe, but
// Eject, DecrementEjectionCount and SetDraining are for the control thread
// only.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include "core/clock.h"
#include "gen/instance_report.h"
#include "steering/atomic_average.h"
#include "steering/observation.h"
#include "steering/rate_limiter.h"
#include "steering/report_changes.h"
#include "steering/reported_load.h"

namespace jujube::steering {

class InstanceCounters {
 public:
  // Acquires a slot if this host uses fewer than `limit`.
  bool TryAcquire(std::uint32_t limit);

  // Precondition: the caller had a successful TryAcquire.
  void Release();

  // Records the start of a request to a cold instance and returns true if at
  // least `min_interval` has passed since the previous one.
  bool TryStartColdRequest(MonoTime now, std::chrono::nanoseconds min_interval);
  bool MayStartColdRequest(MonoTime now,
                           std::chrono::nanoseconds min_interval) const {
    return now - m_last_cold_request_at.load(std::memory_order_relaxed) >=
           min_interval;
  }

  // `latency` is recorded for successes only: a fast refusal must not make an
  // instance look fast.
  void Record(Outcome outcome, std::chrono::nanoseconds latency, MonoTime now);

  // Records what the instance stated in a response. Returns what is new.
  ReportChanges RecordReport(const InstanceReport& report, MonoTime now);

  // The fields are read separately and may belong to different points in time.
  Observation Observe() const;

  // Load as last reported.
  ReportedLoad Load() const;

  // Ejected or replaced: no requests may be sent to the instance. Requests
  // already sent to it may still be answered.
  bool IsSetAside(MonoTime now) const {
    return now < m_ejected_until.load(std::memory_order_acquire) ||
           IsReplaced(now);
  }
  // Another instance responds at the address: requests already sent to this one
  // are lost.
  bool IsReplaced(MonoTime now) const {
    return now < m_replaced_until.load(std::memory_order_relaxed);
  }

  // False if the instance wants no request now, as it stated itself. To be
  // asked again right before a request is sent: the statement may arrive after
  // the instance was selected.
  bool AcceptsRequests(MonoTime now) const {
    return !m_is_leaving.load(std::memory_order_relaxed) &&
           now >= m_paused_until.load(std::memory_order_relaxed);
  }

  // Keeps the rate limit that the instance states.
  RateLimiter& Limiter() { return m_rate_limiter; }
  const RateLimiter& Limiter() const { return m_rate_limiter; }

  // Time of the first response that stated that the instance is leaving; the
  // epoch if there was none.
  MonoTime LeaveStatedAt() const {
    return m_leave_stated_at.load(std::memory_order_relaxed);
  }

  // Records the time at which a drain of the instance ends. Called for each new
  // view. Control thread only.
  void SetDraining(bool is_draining, MonoTime now);

  // Excludes the instance from selection until `until` and resets its averages.
  void Eject(MonoTime until);

  // Decrements the ejection count, so that the next backoff is shorter.
  void DecrementEjectionCount();

 private:
  // Records the load if the instance stated the requests in progress there,
  // which include those of this host.
  void RecordLoad(const InstanceReport& report, MonoTime now);
  // Extends the pause. A later response does not shorten it.
  void RecordPause(MonoTime until);

  std::atomic<std::uint32_t> m_in_progress = 0;
  std::atomic<std::uint32_t> m_consecutive_failures = 0;
  std::atomic<std::uint32_t> m_connect_timeouts = 0;
  std::atomic<std::uint32_t> m_outcome_count = 0;
  std::atomic<std::uint32_t> m_ejection_count = 0;
  std::atomic<MonoTime> m_last_cold_request_at{MonoTime{}};
  std::atomic<std::uint32_t> m_others_in_progress = 0;
  std::atomic<MonoTime> m_others_reported_at{MonoTime{}};
  // Waiting requests, slots and time of work, 16 bits each, so that the values
  // of different reports are not mixed.
  std::atomic<std::uint64_t> m_reported_load = 0;
  std::atomic<MonoTime> m_last_outcome_at{MonoTime{}};
  std::atomic<MonoTime> m_ejected_until{MonoTime{}};
  std::atomic<MonoTime> m_replaced_until{MonoTime{}};
  std::atomic<MonoTime> m_drain_ended_at{MonoTime{}};
  std::atomic<bool> m_was_draining = false;
  std::atomic<bool> m_is_leaving = false;
  std::atomic<MonoTime> m_leave_stated_at{MonoTime{}};
  std::atomic<MonoTime> m_paused_until{MonoTime{}};
  RateLimiter m_rate_limiter;
  AtomicAverage m_latency_ns;
  AtomicAverage m_failure_permille;
  AtomicAverage m_shed_permille;
};

}  // namespace jujube::steering
