// SlotGrants: the slots of each instance that the control leader has granted to
// this host.

#pragma once

#include <map>

#include "core/clock.h"
#include "gen/allotments.h"
#include "membership/instance_key.h"
#include "steering/slot_grant.h"

namespace jujube::entry {

using SlotGrants = std::map<membership::InstanceKey, steering::SlotGrant>;

// Extracts the instance slots from a reply and skips other kinds of limits.
// `lease_end` is the end of the lease, which starts when the request is sent.
SlotGrants ReadSlotGrants(const AllotmentReply& reply, MonoTime lease_end);

}  // namespace jujube::entry
