// SelectionContext: what a selection depends on besides the service.

#pragma once

#include <span>

#include "core/clock.h"
#include "gen/deployment.h"
#include "gen/types.h"

namespace jujube::steering {

struct SelectionContext {
  MonoTime m_now;
  Weights m_weights;                    // UpstreamView::m_weights
  std::span<const InstanceId> m_tried;  // by earlier attempts of the request
  std::span<const RegionId> m_closed;   // regions whose cap is taken
  std::span<const RegionId> m_allowed;  // regions that may serve; empty: all
  std::uint64_t m_object = 0;           // hash of the object; 0: none
};

}  // namespace jujube::steering
