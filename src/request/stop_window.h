// StopWindow: what a planned stop of this host leaves to a request.
//
//   switch (FitIntoStop(window, {.m_deadline = request.m_deadline.m_time,
//   ...}))
//   // kWhole      the request ends before the stop
//   // kShortened  admitted; its deadline becomes window.m_requests_end_by
//   // kRefused    it might be cut, so it is refused unsent

#pragma once

#include <compare>
#include <cstdint>

#include "core/clock.h"

namespace jujube::request {

struct StopWindow {
  MonoTime m_requests_end_by;     // admitted requests have to end by then
  MonoTime m_shortening_ends_at;  // later, no deadline is shortened

  friend auto operator<=>(const StopWindow&, const StopWindow&) = default;
};

struct StopFitInputs {
  MonoTime m_deadline;
  MonoTime m_now;
  bool m_is_repeatable = true;

  friend auto operator<=>(const StopFitInputs&, const StopFitInputs&) = default;
};

enum class StopFit : std::uint8_t { kWhole, kShortened, kRefused };

StopFit FitIntoStop(const StopWindow& window, const StopFitInputs& inputs);

}  // namespace jujube::request
