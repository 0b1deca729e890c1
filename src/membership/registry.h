// Registry of upstream instances.
//
// Performs no I/O and reads no clock. Not thread-safe; an entry daemon uses it
// on its control thread.
//
//   Registry registry({});
//   // For each announcement from an upstream (age 0) or relayed by a peer:
//   if (IsChange(registry.Merge({.m_announcement = a}, clock.Now())))
//     ...publish a view of registry.Snapshot()
//   // About every 100 ms:
//   if (!registry.Expire(clock.Now()).empty())
//     ...publish a view of registry.Snapshot()
//   // For each peer, with one cursor per peer:
//   DeltaPage page = registry.DeltaSince(cursor, own_id, incarnation, now);
//   cursor = page.m_end_version;
//
// Rules:
// - An announcement replaces the stored one only if its (incarnation, leaving,
//   sequence) is higher. Hosts that received the same announcements in any
//   order therefore agree.
// - A lease starts at the time of receipt minus the stated age. Readers also
//   compare Member::m_expires with the current time, because a process that
//   resumes after a suspension may serve a request before Expire runs.
// - After a Leaving announcement, other states of that incarnation are refused.
// - An announcement whose lease has expired is refused unless it is Leaving.
// - The record of an expired instance is retained for m_expired_retention.

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

  // Announcements received from the instance itself have age 0. A negative age
  // is treated as 0.
  MergeOutcome Merge(const RegistryEntry& entry, MonoTime received);

  // Removes members whose lease has expired, and deletes their records after
  // the retention time. Returns the instances that this call removed.
  std::vector<InstanceKey> Expire(MonoTime now);

  // Returns the current announcements of instances changed after version
  // `since`, without expired ones unless they are Leaving. They are in the
  // order of their last change, oldest first, and within the entry and byte
  // limits of RegistryDelta. Ages are relative to `now`.
  DeltaPage DeltaSince(std::uint64_t since,
                       const HostId& host,
                       std::uint64_t incarnation,
                       MonoTime now) const;

  RegistrySnapshot Snapshot() const;

  std::uint64_t Version() const { return m_version; }

 private:
  struct Record {
    Member m_member;
    std::uint64_t m_version = 0;  // registry version of its last change
    bool m_is_present = false;    // included in snapshots
  };

  MergeOutcome Store(Record& record, const RegistryEntry& entry, MonoTime now);

  RegistryLimits m_limits;
  std::uint64_t m_version = 0;
  std::map<InstanceKey, Record> m_records;
  std::map<std::uint64_t, InstanceKey> m_keys_by_version;
};

}  // namespace jujube::membership
