// CapacityGate: counts the requests under a cap shared by services, such as the
// requests in progress in a region, and keeps room for important ones.

#pragma once

#include <atomic>
#include <cstdint>

namespace jujube::steering {

// Part of a cap that a priority (Service::m_priority, 0 to 9) may fill. Each
// level below 9 leaves 3% free for the levels above it, so that priority 0 is
// refused from 73% on. At least 1, so that a small cap does not shut out a
// service for good.
std::uint32_t UsableCap(std::uint32_t cap, std::uint8_t priority);

class CapacityGate {
 public:
  // `cap` is the allotment in force at this moment; it may change between
  // calls.
  bool TryEnter(std::uint32_t cap, std::uint8_t priority);

  // Precondition: a successful TryEnter of the caller.
  void Leave();

  std::uint32_t InProgress() const {
    return m_in_progress.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint32_t> m_in_progress = 0;
};

}  // namespace jujube::steering
