#include "overload/return_delay.h"

#include <algorithm>

namespace jujube::overload {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kRemainingTimeDivisor = 3;
// Shorter delays don't spread callers that were refused together; after longer
// ones the load is another one.
constexpr milliseconds kMinWindow{200};
constexpr milliseconds kMaxWindow{1000};
constexpr milliseconds kMinDelay{50};
// Ranks share the window: the highest returns in its first third, the next one
// in the second, all others in the last.
constexpr std::int64_t kRankParts = 3;

milliseconds WindowOf(const ReturnInputs& inputs) {
  auto window = std::clamp(
      std::chrono::duration_cast<milliseconds>(2 * inputs.m_expected_room),
      kMinWindow, kMaxWindow);
  if (inputs.m_until_latest_start > kMinDelay) {
    window = std::min(window, std::chrono::duration_cast<milliseconds>(
                                  inputs.m_until_latest_start));
  }
  return std::min(window, std::chrono::duration_cast<milliseconds>(
                              inputs.m_remaining / kRemainingTimeDivisor));
}

}  // namespace

milliseconds ReturnDelay(const ReturnInputs& inputs) {
  const milliseconds part = WindowOf(inputs) / kRankParts;
  const std::int64_t first_part =
      std::min<std::int64_t>(inputs.m_ranks_above, kRankParts - 1);
  const auto spread = static_cast<std::int64_t>(
      inputs.m_draw %
      static_cast<std::uint64_t>(std::max<std::int64_t>(part.count(), 0) + 1));
  return std::max(kMinDelay, part * first_part + milliseconds(spread));
}

}  // namespace jujube::overload
