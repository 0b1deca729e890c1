// Registry of upstream instances.
//
// Owned by the control thread of an entry daemon. It has no I/O and reads no
// clock.
//
//   Registry registry({});
//   // An upstream announced itself (age 0), or a peer relayed announcements:
//   if (IsChange(registry.Merge({.m_announcement = a}, clock.Now())))
//     ...publish a view of registry.Snapshot()
//   // Every 100 ms or so:
//   if (!registry.Expire(clock.Now()).empty())
//     ...publish a view of registry.Snapshot()
//   // For each peer, which keeps its own cursor:
//   DeltaPage page = registry.DeltaSince(cursor, own_id, incarnation, now);
//   cursor = page.m_upto;
//
// Rules:
// - Only a higher (incarnation, sequence) replaces what is known.
// - A lease starts at receipt minus the stated age. Readers compare
//   Member::m_expires with the time themselves, because a resumed process may
//   serve a request before Expire runs.
// - Leaving is final for an incarnation. It needs no lease: a late Leaving is
//   accepted, any other late announcement is not.
// - What is known about an absent instance is remembered for m_memory.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "gen/membership.h"
#include "membership/delta_page.h"
#include "membership/instance_key.h"
#include "membership/merge_outcome.h"
#include "membership/registry_limits.h"
#include "membership/registry_snapshot.h"

namespace jujube::membership {

class Registry {
 public:
  explicit Registry(const RegistryLimits& limits) : m_limits(limits) {}

  // Direct announcements have age 0. A negative age counts as 0.
  MergeOutcome Merge(const RegistryEntry& entry, MonoTime received);

  // Removes members whose lease is over and forgets old absent ones. Returns
  // the instances that this call removed.
  std::vector<InstanceKey> Expire(MonoTime now);

  // Changes after version `since`, oldest first, within the entry and byte
  // bounds of RegistryDelta. Ages are those at `now`.
  DeltaPage DeltaSince(std::uint64_t since,
                       const HostId& host,
                       std::uint64_t incarnation,
                       MonoTime now) const;

  RegistrySnapshot Snapshot() const;

  std::uint64_t Version() const { return m_version; }

 private:
  struct Record {
    Member m_member;
    std::uint64_t m_version = 0;  // registry version that accepted it
    bool m_is_present = false;    // part of snapshots
  };

  MergeOutcome Accept(Record& record, const RegistryEntry& entry, MonoTime now);

  RegistryLimits m_limits;
  std::uint64_t m_version = 0;
  std::map<InstanceKey, Record> m_records;
  std::map<std::uint64_t, InstanceKey> m_changes;  // by version
};

}  // namespace jujube::membership
