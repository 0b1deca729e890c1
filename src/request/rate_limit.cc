#include "request/rate_limit.h"

#include <algorithm>

#include "core/decimal.h"

namespace jujube::request {
namespace {

// Not reached by any instance; keeps the result far from overflow.
constexpr double kMaxPerSecond = 1e9;
constexpr double kSeconds = 1000;

}  // namespace

std::optional<std::uint64_t> ParseRateLimit(std::string_view text) {
  const std::optional<double> per_second = ParseDecimal(text);
  if (!per_second)
    return std::nullopt;
  return static_cast<std::uint64_t>(std::min(*per_second, kMaxPerSecond) *
                                    kSeconds);
}

}  // namespace jujube::request
