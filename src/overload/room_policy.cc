#include "overload/room_policy.h"

#include <algorithm>

namespace jujube::overload {
namespace {

// A small host has room for about ten requests, so this is two of them. With
// 0.12, 0.83 of the highest rank were in time at 1.5 of the room instead of
// 0.85 (bench/overload_bench, refusing at once).
constexpr double kReservedPerRank = 0.2;
// A lower rank keeps at least this part, however many ranks are above it.
constexpr double kMinUsable = 0.5;

}  // namespace

std::string_view ToString(RoomAnswer answer) {
  switch (answer) {
    case RoomAnswer::kGo:
      return "started";
    case RoomAnswer::kWait:
      return "waiting";
    case RoomAnswer::kTooLate:
      return "room_too_late";
    case RoomAnswer::kRankTooLow:
      return "rank_too_low";
    case RoomAnswer::kRepeat:
      return "early_repeat";
    case RoomAnswer::kQueueFull:
      return "queue_full";
    case RoomAnswer::kWaitedTooLong:
      return "waited_too_long";
    case RoomAnswer::kHostStops:
      return "host_stops";
  }
  return "unknown";
}

double UsableRoom(const RoomInputs& inputs) {
  if (inputs.m_is_owed && !inputs.m_is_above_share)
    return std::max(inputs.m_room, 1.0);
  const std::uint32_t levels_below_first =
      inputs.m_ranks_above + (inputs.m_is_above_share ? 1 : 0);
  const double part =
      std::max(kMinUsable, 1 - kReservedPerRank * levels_below_first);
  return std::max(inputs.m_room * part, 1.0);
}

std::chrono::nanoseconds ExpectedRoom(const RoomInputs& inputs) {
  const double in_progress = std::max<double>(inputs.m_in_progress, 1);
  const double ends_needed =
      inputs.m_waiting_ahead + 1 +
      std::max(0.0, inputs.m_in_progress - UsableRoom(inputs));
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(inputs.m_mean_response.count()) * ends_needed /
      in_progress));
}

}  // namespace jujube::overload
