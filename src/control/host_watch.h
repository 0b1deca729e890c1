// Tells the leader which entry hosts did not renew in time. Not replicated.
//
//   watch.OnElected(state.Hosts().All(), now);
//   watch.OnRenewal(host, incarnation, now);   // each AllotmentRequest
//   command.m_lost = watch.Lost(now);          // each RenewCommand
//
// A new leader counts from its own election, so an outage of the control hosts
// alone makes no host lost.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "gen/control.h"

namespace jujube::control {

// Twice the lease: renewals each second would have to fail ten times. Claims of
// a lost host may have run for ever, so a short outage should not cause it.
inline constexpr std::chrono::milliseconds kHostLease{10000};

class HostWatch {
 public:
  void OnElected(const std::vector<EntryHostStatus>& hosts, MonoTime now);
  void OnRenewal(const HostId& host, std::uint64_t incarnation, MonoTime now);

  // Hosts that have been silent for kHostLease. They are returned until they
  // renew, since the command that reports them may be lost.
  std::vector<LostHost> Lost(MonoTime now) const;

 private:
  struct Seen {
    std::uint64_t m_incarnation = 0;
    MonoTime m_time;
  };

  std::map<HostId, Seen> m_seen;
};

}  // namespace jujube::control
