// Selection: the selected instance, with a slot acquired for the request.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "gen/types.h"
#include "steering/slot_guard.h"
#include "steering/work_forecast.h"

namespace jujube::steering {

// All values are copies, so a Selection outlives the read section and the view.
// Move-only; the slot is released on destruction.
struct Selection {
  InstanceId m_instance;                 // add it to m_tried before a retry
  std::uint64_t m_incarnation = 0;       // of the instance
  Endpoint m_endpoint;                   // where to connect
  RegionId m_region;                     // for the caps of the region and link
  std::chrono::milliseconds m_delay{0};  // one-way network delay
  SlotGuard m_slot;                      // call Counters()->Record at the end
  std::optional<WorkForecast> m_forecast;  // empty: not selected by cost
};

}  // namespace jujube::steering
