// WaitByRank: a request waits where room is expected in time, and is refused at
// once otherwise.

#pragma once

#include "overload/room_policy.h"

namespace jujube::overload {

struct WaitByRank {
  static RoomDecision Decide(const RoomRequest& request,
                             const RoomInputs& inputs);
};

static_assert(RoomPolicy<WaitByRank>);

}  // namespace jujube::overload
