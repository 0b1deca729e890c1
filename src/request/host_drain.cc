#include "request/host_drain.h"

#include <algorithm>

namespace jujube::request {
namespace {

MonoTime LatestEnd(const HostDrain& drain, const DrainLimits& limits) {
  return limits.m_stop_limit ? drain.m_start + *limits.m_stop_limit
                             : MonoTime::max();
}

HostDrain AdvanceOnePhase(const HostDrain& drain,
                          const DrainInputs& inputs,
                          const DrainLimits& limits) {
  const auto elapsed = inputs.m_now - drain.m_phase_start;
  const bool is_overdue = inputs.m_now >= LatestEnd(drain, limits);
  const HostDrain next{
      .m_phase = static_cast<DrainPhase>(static_cast<int>(drain.m_phase) + 1),
      .m_start = drain.m_start,
      .m_phase_start = inputs.m_now};
  switch (drain.m_phase) {
    case DrainPhase::kWaitingForLookupRemoval:
      if (inputs.m_is_omitted_everywhere || is_overdue ||
          elapsed >= limits.m_propagation_timeout)
        return next;
      break;
    case DrainPhase::kWaitingForLookupExpiry:
      if (is_overdue || elapsed >= limits.m_lookup_lifetime)
        return next;
      break;
    case DrainPhase::kWaitingForRequests:
      if (inputs.m_in_progress == 0)
        return next;
      if (is_overdue || elapsed >= limits.m_request_timeout)
        return {.m_phase = next.m_phase,
                .m_start = next.m_start,
                .m_phase_start = next.m_phase_start,
                .m_is_cut_short = true};
      break;
    case DrainPhase::kDone:
      break;
  }
  return drain;
}

}  // namespace

std::string_view ToString(DrainPhase phase) {
  switch (phase) {
    case DrainPhase::kWaitingForLookupRemoval:
      return "leaving look-ups";
    case DrainPhase::kWaitingForLookupExpiry:
      return "waiting for look-up lifetimes";
    case DrainPhase::kWaitingForRequests:
      return "waiting for requests";
    case DrainPhase::kDone:
      return "done";
  }
  return "unknown";
}

HostDrain StartDrain(MonoTime now) {
  return {.m_phase = DrainPhase::kWaitingForLookupRemoval,
          .m_start = now,
          .m_phase_start = now};
}

MonoTime EarliestCut(const HostDrain& drain, const DrainLimits& limits) {
  const MonoTime last_phase_start =
      drain.m_phase < DrainPhase::kWaitingForRequests
          ? drain.m_phase_start + limits.m_lookup_lifetime
          : drain.m_phase_start;
  return std::min(last_phase_start + limits.m_request_timeout,
                  LatestEnd(drain, limits));
}

// The stop limit includes the phases in which requests are admitted, so the
// time that is left to a request depends on when it arrives.
MonoTime LatestFullAdmission(const HostDrain& drain,
                             const DrainLimits& limits) {
  return limits.m_stop_limit
             ? LatestEnd(drain, limits) - limits.m_request_timeout
             : MonoTime::max();
}

HostDrain Advance(const HostDrain& drain,
                  const DrainInputs& inputs,
                  const DrainLimits& limits) {
  HostDrain current = drain;
  while (true) {
    const HostDrain next = AdvanceOnePhase(current, inputs, limits);
    if (next == current)
      return current;
    current = next;
    // The count in `inputs` may miss a request that is being admitted: further
    // ones are refused only once the caller has acted on this phase.
    if (current.m_phase == DrainPhase::kWaitingForRequests)
      return current;
  }
}

}  // namespace jujube::request
