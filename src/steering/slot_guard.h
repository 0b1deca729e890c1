// SlotHold: a slot of an instance, from selection to the end of the request.

#pragma once

#include <memory>
#include <utility>

#include "steering/instance_counters.h"

namespace jujube::steering {

// Move-only. Returns the slot when destroyed.
class SlotHold {
 public:
  SlotHold() = default;
  // Takes over a slot that TryAcquire granted.
  explicit SlotHold(std::shared_ptr<InstanceCounters> counters)
      : m_counters(std::move(counters)) {}
  SlotHold(SlotHold&&) noexcept = default;
  SlotHold& operator=(SlotHold&& other) noexcept {
    std::swap(m_counters, other.m_counters);
    return *this;
  }
  SlotHold(const SlotHold&) = delete;
  SlotHold& operator=(const SlotHold&) = delete;
  ~SlotHold() {
    if (m_counters)
      m_counters->Release();
  }

  // For Record. Null only after a move.
  InstanceCounters* Counters() const { return m_counters.get(); }

 private:
  std::shared_ptr<InstanceCounters> m_counters;
};

}  // namespace jujube::steering
