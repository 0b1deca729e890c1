// Deadline: the time at which a request's caller stops waiting.
//
//   JUJUBE_TRY(auto stated, ParseDeadlineMs(header));
//   Deadline deadline = StartDeadline(now, stated, service.m_default_deadline);
//   auto left = RemainingFor(deadline, now, one_way_delay);
//   if (!left) ...answer kTimeout with the verdict so far
//   else send "Jujube-Deadline-Ms: " + std::to_string(left->count())

#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/result.h"

namespace jujube::request {

// Longest deadline, the same as the greatest Service::m_default_deadline. A
// request that states more is held to it.
inline constexpr std::chrono::milliseconds kMaxDeadline{600000};

struct Deadline {
  MonoTime m_at;

  friend auto operator<=>(const Deadline&, const Deadline&) = default;
};

// Value of Jujube-Deadline-Ms: 1 to 9 digits, no sign. kInvalidInput otherwise.
// Zero is valid and means that the caller has stopped waiting.
Result<std::chrono::milliseconds> ParseDeadlineMs(std::string_view text);

Deadline StartDeadline(MonoTime received,
                       std::optional<std::chrono::milliseconds> stated,
                       std::chrono::milliseconds default_deadline);

// Zero once the deadline has passed.
std::chrono::nanoseconds Remaining(const Deadline& deadline, MonoTime now);

// Time to grant an upstream behind a link: the answer needs the link twice.
// Rounded down; nothing if less than 1 ms is left.
std::optional<std::chrono::milliseconds> RemainingFor(
    const Deadline& deadline,
    MonoTime now,
    std::chrono::milliseconds one_way_delay);

}  // namespace jujube::request
