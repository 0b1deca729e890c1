#include "request/host_drain.h"

namespace jujube::request {
namespace {

HostDrain AdvanceOnePhase(const HostDrain& drain,
                          const DrainInputs& inputs,
                          const DrainLimits& limits) {
  const auto elapsed = inputs.m_now - drain.m_phase_start;
  const HostDrain next{
      .m_phase = static_cast<DrainPhase>(static_cast<int>(drain.m_phase) + 1),
      .m_phase_start = inputs.m_now};
  switch (drain.m_phase) {
    case DrainPhase::kWaitingForLookupRemoval:
      if (inputs.m_is_omitted_everywhere ||
          elapsed >= limits.m_propagation_timeout)
        return next;
      break;
    case DrainPhase::kWaitingForLookupExpiry:
      if (elapsed >= limits.m_lookup_lifetime)
        return next;
      break;
    case DrainPhase::kWaitingForRequests:
      if (inputs.m_in_progress == 0)
        return next;
      if (elapsed >= limits.m_request_timeout)
        return {.m_phase = next.m_phase,
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
          .m_phase_start = now};
}

MonoTime EarliestCut(const HostDrain& drain, const DrainLimits& limits) {
  const MonoTime last_phase_start =
      drain.m_phase < DrainPhase::kWaitingForRequests
          ? drain.m_phase_start + limits.m_lookup_lifetime
          : drain.m_phase_start;
  return last_phase_start + limits.m_request_timeout;
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
  }
}

}  // namespace jujube::request
