// StopWindow: what a planned stop of this host leaves to a request.
//
//   const StopFit fit = FitIntoStop(window, {.m_deadline = deadline, ...});
//   if (fit == StopFit::kShortened)
//     deadline = window.m_requests_end_by;

#pragma once

#include <compare>
#include <cstdint>

#include "core/clock.h"

namespace jujube::request {

struct StopWindow {
  MonoTime m_requests_end_by;     // admitted requests end by then
  MonoTime m_shortening_ends_at;  // later, no deadline is shortened

  friend auto operator<=>(const StopWindow&, const StopWindow&) = default;
};

struct StopFitInputs {
  MonoTime m_deadline;
  MonoTime m_now;
  bool m_is_repeatable = true;

  friend auto operator<=>(const StopFitInputs&, const StopFitInputs&) = default;
};

enum class StopFit : std::uint8_t {
  kWhole,      // the request ends before the stop
  kShortened,  // it may outlast the stop, and its deadline is shortened
  kRefused,    // it may outlast the stop, and is refused unsent
};

StopFit FitIntoStop(const StopWindow& window, const StopFitInputs& inputs);

}  // namespace jujube::request
