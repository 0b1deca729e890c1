// QueueAtUpstream: for comparison; every request goes to an upstream and queues
// there.

#pragma once

#include "overload/room_policy.h"

namespace jujube::overload {

struct QueueAtUpstream {
  static RoomDecision Decide(const RoomRequest& /*request*/,
                             const RoomInputs& /*inputs*/) {
    return {.m_answer = RoomAnswer::kGo};
  }
};

static_assert(RoomPolicy<QueueAtUpstream>);

}  // namespace jujube::overload
