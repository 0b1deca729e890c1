// SlotGuard: owns a slot of an instance from selection to the end of the
// request.

#pragma once

#include <memory>
#include <utility>

#include "steering/instance_counters.h"

namespace jujube::steering {

// Move-only. Releases the slot on destruction.
class SlotGuard {
 public:
  SlotGuard() = default;
  // Takes ownership of a slot acquired with TryAcquire.
  explicit SlotGuard(std::shared_ptr<InstanceCounters> counters)
      : m_counters(std::move(counters)) {}
  SlotGuard(SlotGuard&&) noexcept = default;
  SlotGuard& operator=(SlotGuard&& other) noexcept {
    std::swap(m_counters, other.m_counters);
    return *this;
  }
  SlotGuard(const SlotGuard&) = delete;
  SlotGuard& operator=(const SlotGuard&) = delete;
  ~SlotGuard() {
    if (m_counters)
      m_counters->Release();
  }

  // For Record. Null if default-constructed or moved from.
  InstanceCounters* Counters() const { return m_counters.get(); }

 private:
  std::shared_ptr<InstanceCounters> m_counters;
};

}  // namespace jujube::steering
