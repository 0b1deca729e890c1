#include "overload/room_policy.h"

#include <algorithm>

#include "overload/rank_shares.h"

namespace jujube::overload {
namespace {

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
  const double reserved =
      inputs.m_reserved_above +
      (inputs.m_is_above_share ? RankShares::kMaxReserve : 0);
  const double part = std::max(kMinUsable, 1 - reserved);
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
