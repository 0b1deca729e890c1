// InstanceCounters: what all threads share about one incarnation of an
// instance.
//
// The counters outlive the views that refer to them: a request holds a
// shared_ptr from its selection to its end. All functions may be called from
// any thread, but Eject and ForgetEjection only from the control thread.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

#include "core/clock.h"
#include "steering/atomic_average.h"
#include "steering/observation.h"

namespace jujube::steering {

class InstanceCounters {
 public:
  // Takes a slot if fewer than `limit` are in use by this host.
  bool TryAcquire(std::uint32_t limit);

  // Precondition: a successful TryAcquire of the caller.
  void Release();

  // Starts a request to a cold instance if `spacing` has passed since the last
  // one.
  bool TryStartCold(MonoTime now, std::chrono::nanoseconds spacing);
  bool MayStartCold(MonoTime now, std::chrono::nanoseconds spacing) const {
    return now - m_last_cold_start.load(std::memory_order_relaxed) >= spacing;
  }

  // `latency` counts for successes only: a fast refusal must not make an
  // instance look fast.
  void Record(Outcome outcome, std::chrono::nanoseconds latency, MonoTime now);

  // A response stated how many requests the instance has, this host's included.
  void ReportLoad(std::uint32_t total, MonoTime now);

  // The fields are read one by one and may belong to different instants.
  Observation Observe() const;

  // Ejected or gone: nothing may be sent there, and what was sent is lost.
  bool IsSetAside(MonoTime now) const {
    return now < m_ejected_until.load(std::memory_order_acquire) ||
           now < m_gone_until.load(std::memory_order_relaxed);
  }

  // Notes whether the instance is drained; only from the control thread.
  void SetDraining(bool is_draining, MonoTime now);

  // Keeps the instance out of selections and starts its averages afresh.
  void Eject(MonoTime until);

  // Forgets one ejection, so that the next backoff is shorter.
  void ForgetEjection();

 private:
  std::atomic<std::uint32_t> m_in_progress = 0;
  std::atomic<std::uint32_t> m_failures_in_row = 0;
  std::atomic<std::uint32_t> m_outcomes = 0;
  std::atomic<std::uint32_t> m_ejection_count = 0;
  std::atomic<MonoTime> m_last_cold_start{MonoTime{}};
  std::atomic<std::uint32_t> m_others = 0;
  std::atomic<MonoTime> m_others_at{MonoTime{}};
  std::atomic<MonoTime> m_last_outcome{MonoTime{}};
  std::atomic<MonoTime> m_ejected_until{MonoTime{}};
  std::atomic<MonoTime> m_gone_until{MonoTime{}};
  std::atomic<MonoTime> m_drain_ended{MonoTime{}};
  std::atomic<bool> m_was_draining = false;
  AtomicAverage m_latency_ns;
  AtomicAverage m_failure_permille;
  AtomicAverage m_shed_permille;
};

}  // namespace jujube::steering
