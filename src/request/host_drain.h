// HostDrain: progress of the planned shutdown of an entry host.
//
// The control thread advances the value on each tick and acts on its phase:
//
//   HostDrain drain = StartDrain(now);
//   drain = Advance(drain, inputs, limits);
//   // kWaitingForLookupRemoval  serve, until all entry hosts omit this host
//   //                           from their look-up responses
//   // kWaitingForLookupExpiry   serve, until the look-up responses that name
//   //                           this host have expired at the callers
//   // kWaitingForRequests       refuse new requests (not run) and finish those
//   //                           in progress
//   // kDone                     close the listeners and exit
//
// Phases only move forward. A host without requests in progress stops as soon
// as the look-up responses that name it have expired.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.h"

namespace jujube::request {

enum class DrainPhase : std::uint8_t {
  kWaitingForLookupRemoval,
  kWaitingForLookupExpiry,
  kWaitingForRequests,
  kDone,
};

std::string_view ToString(DrainPhase phase);

struct DrainLimits {
  std::chrono::milliseconds m_lookup_lifetime{5000};  // maximum of all services
  std::chrono::milliseconds m_request_timeout{60000};  // setting drain_limit

  // Timeout of kWaitingForLookupRemoval if a peer does not confirm: an accepted
  // configuration is in force on all hosts within 18 s.
  std::chrono::milliseconds m_propagation_timeout{18000};

  // Of all phases together: setting stop_limit. Without it, a slow phase delays
  // the end, and a host that is killed after a fixed time loses its requests.
  std::optional<std::chrono::milliseconds> m_stop_limit;

  friend auto operator<=>(const DrainLimits&, const DrainLimits&) = default;
};

struct DrainInputs {
  MonoTime m_now;
  // All entry hosts have confirmed that they omit this host from their look-up
  // responses.
  bool m_is_omitted_everywhere = false;
  std::uint32_t m_in_progress = 0;  // requests on this host

  friend auto operator<=>(const DrainInputs&, const DrainInputs&) = default;
};

struct HostDrain {
  DrainPhase m_phase = DrainPhase::kWaitingForLookupRemoval;
  MonoTime m_start;
  MonoTime m_phase_start;
  bool m_is_cut_short = false;  // timed out with requests in progress

  friend auto operator<=>(const HostDrain&, const HostDrain&) = default;
};

HostDrain StartDrain(MonoTime now);

// Advances through every phase whose condition is met, but always stops at the
// beginning of kWaitingForRequests.
HostDrain Advance(const HostDrain& drain,
                  const DrainInputs& inputs,
                  const DrainLimits& limits);

// Earliest time at which a planned stop may end although requests are in
// progress. A request that is admitted during the stop has to end before it.
MonoTime EarliestCut(const HostDrain& drain, const DrainLimits& limits);

// Latest time at which a request can be admitted that still gets
// m_request_timeout. Without a stop limit, that is any time before
// kWaitingForRequests.
MonoTime LatestFullAdmission(const HostDrain& drain, const DrainLimits& limits);

}  // namespace jujube::request
