// HostDrain: progress of the planned stop of an entry host.
//
// The control thread advances the value on each tick and acts on its phase:
//
//   HostDrain drain = StartDrain(now);
//   drain = Advance(drain, inputs, settings);
//   // kLeavingLookups      serve; wait until all entry hosts omit this one
//   // kWaitingForLifetimes serve; look-up responses that name it still count
//   // kWaitingForRequests  refuse new requests (not run), finish the others
//   // kDone                close the listeners and exit
//
// Phases only move forward. An idle host whose lifetimes have passed leaves at
// once.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string_view>

#include "core/clock.h"

namespace jujube::request {

enum class DrainPhase : std::uint8_t {
  kLeavingLookups,
  kWaitingForLifetimes,
  kWaitingForRequests,
  kDone,
};

std::string_view ToString(DrainPhase phase);

struct DrainLimits {
  std::chrono::milliseconds m_lookup_lifetime{5000};  // longest of the services
  std::chrono::milliseconds m_requests{60000};        // setting drain_limit

  // Bound on the first phase if a peer cannot confirm: an accepted
  // configuration is in force everywhere within 18 s.
  std::chrono::milliseconds m_propagation{18000};

  friend auto operator<=>(const DrainLimits&, const DrainLimits&) = default;
};

struct DrainInputs {
  MonoTime m_now;
  bool m_is_omitted_everywhere = false;  // all entry hosts confirmed the drain
  std::uint32_t m_in_progress = 0;       // requests on this host

  friend auto operator<=>(const DrainInputs&, const DrainInputs&) = default;
};

struct HostDrain {
  DrainPhase m_phase = DrainPhase::kLeavingLookups;
  MonoTime m_phase_since;
  bool m_is_cut_short = false;  // done with requests still in progress

  friend auto operator<=>(const HostDrain&, const HostDrain&) = default;
};

HostDrain StartDrain(MonoTime now);

// Moves through as many phases as the inputs allow.
HostDrain Advance(const HostDrain& drain,
                  const DrainInputs& inputs,
                  const DrainLimits& limits);

}  // namespace jujube::request
