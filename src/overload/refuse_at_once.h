// RefuseAtOnce: for comparison; a request without room is refused.

#pragma once

#include "overload/room_policy.h"

namespace jujube::overload {

struct RefuseAtOnce {
  static RoomDecision Decide(const RoomRequest& /*request*/,
                             const RoomInputs& inputs) {
    if (!inputs.m_is_short || inputs.m_in_progress < UsableRoom(inputs))
      return {.m_answer = RoomAnswer::kGo};
    return {.m_answer = RoomAnswer::kTooLate,
            .m_expected_room = ExpectedRoom(inputs)};
  }
};

static_assert(RoomPolicy<RefuseAtOnce>);

}  // namespace jujube::overload
