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
};

}  // namespace jujube::steering
