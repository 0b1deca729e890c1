#include "request/stop_window.h"

namespace jujube::request {

// A repeatable request whose deadline is shortened gets a final answer before
// the host stops, and its caller may send it again. If little time is left, it
// would be given up while its upstream works on it; after a refusal the caller
// can still use another host.
StopFit FitIntoStop(const StopWindow& window, const StopFitInputs& inputs) {
  if (inputs.m_deadline <= window.m_requests_end_by)
    return StopFit::kWhole;
  return inputs.m_is_repeatable && inputs.m_now <= window.m_shortening_ends_at
             ? StopFit::kShortened
             : StopFit::kRefused;
}

}  // namespace jujube::request
