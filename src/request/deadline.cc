#include "request/deadline.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace jujube::request {
namespace {

constexpr std::size_t kMaxDigits = 9;

}  // namespace

Result<std::chrono::milliseconds> ParseDeadlineMs(std::string_view text) {
  std::uint32_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.size() > kMaxDigits || error != std::errc() ||
      end != text.data() + text.size()) {
    return MakeError(ErrorCode::kInvalidInput,
                     "Jujube-Deadline-Ms: expected 1 to 9 digits");
  }
  return std::chrono::milliseconds(value);
}

Deadline StartDeadline(MonoTime received,
                       std::optional<std::chrono::milliseconds> requested,
                       std::chrono::milliseconds default_deadline) {
  const auto duration = requested.value_or(default_deadline);
  return {.m_time =
              received +
              std::clamp(duration, std::chrono::milliseconds(0), kMaxDeadline)};
}

std::chrono::nanoseconds Remaining(const Deadline& deadline, MonoTime now) {
  return std::max(deadline.m_time - now, std::chrono::nanoseconds(0));
}

std::optional<std::chrono::milliseconds> RemainingForUpstream(
    const Deadline& deadline,
    MonoTime now,
    std::chrono::milliseconds one_way_delay) {
  const auto remaining = std::chrono::floor<std::chrono::milliseconds>(
      Remaining(deadline, now) - 2 * one_way_delay);
  if (remaining < std::chrono::milliseconds(1))
    return std::nullopt;
  return remaining;
}

}  // namespace jujube::request
