// Deadline: the time at which the caller of a request stops waiting.
//
//   JUJUBE_TRY(auto requested, ParseDeadlineMs(header));
//   Deadline deadline =
//       StartDeadline(now, requested, service.m_default_deadline);
//   auto remaining = RemainingForUpstream(deadline, now, one_way_delay);
//   if (!remaining) ...answer kTimeout with the verdict so far
//   else send "Jujube-Deadline-Ms: " + std::to_string(remaining->count())

#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/result.h"

namespace jujube::request {

// Maximum deadline, equal to the maximum of Service::m_default_deadline. Longer
// deadlines are shortened to it.
inline constexpr std::chrono::milliseconds kMaxDeadline{600000};

struct Deadline {
  MonoTime m_time;

  friend auto operator<=>(const Deadline&, const Deadline&) = default;
};

// Value of Jujube-Deadline-Ms: 1 to 9 digits, no sign. kInvalidInput otherwise.
// Zero is valid and means that the caller has stopped waiting.
Result<std::chrono::milliseconds> ParseDeadlineMs(std::string_view text);

// The deadline that the caller requested, or the default if it requested none,
// clamped to 0...kMaxDeadline after the time at which the request was received.
Deadline StartDeadline(MonoTime received,
                       std::optional<std::chrono::milliseconds> requested,
                       std::chrono::milliseconds default_deadline);

// Time until the deadline; zero once it has passed.
std::chrono::nanoseconds Remaining(const Deadline& deadline, MonoTime now);

// Time until the deadline that an upstream may use: the remaining time less the
// round trip to it, rounded down. Empty if less than 1 ms remains.
std::optional<std::chrono::milliseconds> RemainingForUpstream(
    const Deadline& deadline,
    MonoTime now,
    std::chrono::milliseconds one_way_delay);

}  // namespace jujube::request
