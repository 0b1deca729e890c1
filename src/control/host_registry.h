// Registry of entry hosts with their incarnations and sessions.
//
// A session begins when a host registers and ends when the host registers under
// a higher incarnation, loses its lease or is removed. The session ID is the
// log index of the command that began the session, so it is unique. An
// unfinished claim belongs to a session; after the session ends, the claim
// stays at "may have run" unless its outcome "ran" arrives late.

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

  // Returns the status of the host and starts a session if the host or the
  // incarnation is new or the lease was lost. Returns nullptr if the
  // incarnation is stale or was removed, or if the registry is full. The
  // pointer is valid until the next change. `index` is the log index and
  // `time_ms` the replicated time of the command.
  const EntryHostStatus* Register(const HostId& host,
                                  std::uint64_t incarnation,
                                  std::uint64_t index,
                                  std::uint64_t time_ms);

  // Registers the host as Register() does and records the values of the
  // renewal. Returns nullptr also if the sequence number does not exceed the
  // last one of the incarnation.
  const EntryHostStatus* Renew(const HostRenewal& renewal,
                               std::uint64_t index,
                               std::uint64_t time_ms);

  // Ends the session of a host that did not renew in time, if the incarnation
  // is its current one.
  void MarkLost(const LostHost& lost);

  // Ends the session. The current incarnation cannot register again as long as
  // the document contains the host: PruneInactive() erases the record
  // otherwise. Returns false if the host is not registered.
  bool Remove(const HostId& host);

  // Erases the hosts without a lease for which `keep` returns false.
  template <class Predicate>
  void PruneInactive(Predicate keep) {
    std::erase_if(m_hosts, [&](const auto& entry) {
      return !entry.second.m_alive && !keep(entry.first);
    });
  }

  bool Contains(const HostId& host) const { return m_hosts.contains(host); }

  // True if `session` is the current session of the host and its lease is
  // valid.
  bool IsCurrentSession(const HostId& host, std::uint64_t session) const;

  std::vector<EntryHostStatus> All() const;

  friend bool operator==(const HostRegistry&, const HostRegistry&) = default;

 private:
  std::map<HostId, EntryHostStatus> m_hosts;
};

}  // namespace jujube::control
