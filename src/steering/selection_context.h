// SelectionContext: parameters of a selection besides the service.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

#include "core/clock.h"
#include "gen/deployment.h"
#include "gen/types.h"

namespace jujube::steering {

struct SelectionContext {
  MonoTime m_now;
  Weights m_weights;                    // UpstreamView::m_weights
  std::span<const InstanceId> m_tried;  // used by earlier attempts
  std::span<const RegionId> m_closed;   // regions at their cap
  std::span<const RegionId> m_allowed;  // permitted regions; empty: all
  std::uint64_t m_object = 0;           // hash of the requested object; 0: none
  std::uint64_t m_route = 0;            // hash of the route
  // Time until the deadline; empty: none.
  std::optional<std::chrono::nanoseconds> m_remaining = {};
};

}  // namespace jujube::steering
