// SlotGrants: the slots of instances that the last adopted reply grants.

#pragma once

#include <map>

#include "core/clock.h"
#include "gen/allotments.h"
#include "membership/instance_key.h"
#include "steering/slot_grant.h"

namespace jujube::entry {

using SlotGrants = std::map<membership::InstanceKey, steering::SlotGrant>;

// Lines of other limits are left out. `lease_end` counts from when the request
// was sent.
SlotGrants ReadSlotGrants(const AllotmentReply& reply, MonoTime lease_end);

}  // namespace jujube::entry
