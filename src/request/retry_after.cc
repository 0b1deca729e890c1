#include "request/retry_after.h"

#include <cmath>
#include <cstdint>

#include "core/decimal.h"

namespace jujube::request {
namespace {

// Far larger numbers do not fit into 64-bit milliseconds.
constexpr double kMaxSeconds = 1e9;
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

std::optional<std::chrono::milliseconds> ParseRetryAfter(
    std::string_view text) {
  const std::optional<double> seconds = ParseDecimal(text);
  if (!seconds || *seconds > kMaxSeconds)
    return std::nullopt;
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::ceil(*seconds * kMillisecondsPerSecond)));
}

}  // namespace jujube::request
