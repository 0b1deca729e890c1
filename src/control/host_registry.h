// Entry hosts as the control state knows them: incarnations and sessions.
//
// A session begins when a host registers and ends when it registers under a
// higher incarnation, loses its lease or is removed. It is named by the log
// index of the command that began it, so no two are equal. An unfinished claim
// belongs to a session; once that has ended, the claim may have run for ever.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "gen/control.h"

namespace jujube::control {

class HostRegistry {
 public:
  HostRegistry() = default;
  explicit HostRegistry(const std::vector<EntryHostStatus>& hosts);

  // Registers the host if its incarnation is new, unknown or has lost its
  // lease. Nullptr if the incarnation is stale or removed, or the registry is
  // full. Valid until the next change.
  const EntryHostStatus* Register(const HostId& host,
                                  std::uint64_t incarnation,
                                  std::uint64_t index,
                                  std::uint64_t time);

  // Register(), and the sequence has to rise within the incarnation. Records
  // what the renewal reports.
  const EntryHostStatus* Renew(const HostRenewal& renewal,
                               std::uint64_t index,
                               std::uint64_t time);

  // Ends the session of a host that did not renew, if this is its incarnation.
  void Lose(const LostHost& lost);

  // Ends the session; the known incarnation does not come back. False if the
  // host is unknown.
  bool Remove(const HostId& host);

  // Drops hosts without a lease that the predicate does not keep.
  template <class Keep>
  void Retain(Keep keep) {
    std::erase_if(m_hosts, [&](const auto& entry) {
      return !entry.second.m_alive && !keep(entry.first);
    });
  }

  bool IsKnown(const HostId& host) const { return m_hosts.contains(host); }

  // Whether the session is the current one of its host and has a lease.
  bool IsCurrent(const HostId& host, std::uint64_t session) const;

  std::vector<EntryHostStatus> All() const;

  friend bool operator==(const HostRegistry&, const HostRegistry&) = default;

 private:
  std::map<HostId, EntryHostStatus> m_hosts;
};

}  // namespace jujube::control
