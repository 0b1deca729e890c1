// Selection: an instance with a slot held for the request.

#pragma once

#include <chrono>
#include <cstdint>

#include "gen/types.h"
#include "steering/slot_guard.h"

namespace jujube::steering {

// All values are copies, so a Selection outlives the read section and the view.
// Move-only; the slot returns when it is destroyed.
struct Selection {
  InstanceId m_instance;                 // add it to m_tried for a retry
  std::uint64_t m_incarnation = 0;       // of the instance
  Endpoint m_endpoint;                   // where to connect
  RegionId m_region;                     // for the region's and link's caps
  std::chrono::milliseconds m_delay{0};  // one way
  SlotHold m_slot;                       // Counters()->Record at the end
};

}  // namespace jujube::steering
