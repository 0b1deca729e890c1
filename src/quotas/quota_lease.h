// QuotaLease: time until which this entry host may spend its quota tokens, and
// whether requests wait for more.

#pragma once

#include <atomic>

#include "core/clock.h"

namespace jujube::quotas {

// The end is set by the control thread and read by any thread.
class QuotaLease {
 public:
  void SetEnd(MonoTime end) { m_end.store(end, std::memory_order_release); }
  MonoTime End() const { return m_end.load(std::memory_order_acquire); }
  // Time at which the last report that was answered was sent.
  void SetAnsweredAt(MonoTime at) {
    m_answered_at.store(at, std::memory_order_relaxed);
  }
  MonoTime AnsweredAt() const {
    return m_answered_at.load(std::memory_order_relaxed);
  }

  // A request waits for a token. Called by any thread.
  void Want() { m_is_wanted.store(true, std::memory_order_relaxed); }
  bool IsWanted() const { return m_is_wanted.load(std::memory_order_relaxed); }
  void ClearWanted() { m_is_wanted.store(false, std::memory_order_relaxed); }

 private:
  std::atomic<MonoTime> m_end{MonoTime{}};
  std::atomic<MonoTime> m_answered_at{MonoTime{}};
  std::atomic<bool> m_is_wanted = false;
};

}  // namespace jujube::quotas
