// PriorityLimiter: limits the requests in progress under a cap that services
// share, such as the cap of a region, and reserves part of it for high
// priorities.

#pragma once

#include <atomic>
#include <cstdint>

namespace jujube::steering {

// Part of `cap` that requests of `priority` (Service::m_priority, 0 to 9) may
// use. Each level below 9 leaves 3% free for the levels above it, so priority 0
// is refused from 73% on. At least 1 if `cap` is not zero, so that a small cap
// never excludes a service permanently.
std::uint32_t CapForPriority(std::uint32_t cap, std::uint8_t priority);

class PriorityLimiter {
 public:
  // `cap` is the current allotment and may change between calls.
  bool TryAcquire(std::uint32_t cap, std::uint8_t priority);

  // Precondition: the caller had a successful TryAcquire.
  void Release();

  std::uint32_t InProgress() const {
    return m_in_progress.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint32_t> m_in_progress = 0;
};

}  // namespace jujube::steering
