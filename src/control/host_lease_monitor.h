// Detects entry hosts that do not renew in time. Used by the leader; not part
// of the replicated state.
//
//   monitor.OnElected(state.Hosts().All(), now);
//   monitor.OnRenewal(host, incarnation, now);  // each AllotmentRequest
//   command.m_lost = monitor.LostHosts(now);    // each RenewCommand
//
// A new leader starts the timeout of every host at its own election, so an
// outage that affects only the control hosts does not expire any entry host.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "core/clock.h"
#include "gen/control.h"

namespace jujube::control {

// Twice limits::kLeaseDuration, which is ten consecutive missed renewals at one
// per second. The loss of a host leaves its unfinished claims at "may have
// run", so a short outage must not cause it.
inline constexpr std::chrono::milliseconds kHostLease{10000};

class HostLeaseMonitor {
 public:
  void OnElected(const std::vector<EntryHostStatus>& hosts, MonoTime now);
  void OnRenewal(const HostId& host, std::uint64_t incarnation, MonoTime now);

  // Hosts without a renewal for at least kHostLease. A host is returned on
  // every call until it renews, because the command that reports it may be
  // lost.
  std::vector<LostHost> LostHosts(MonoTime now) const;

 private:
  struct LastRenewal {
    std::uint64_t m_incarnation = 0;
    MonoTime m_time;
  };

  std::map<HostId, LastRenewal> m_last_renewals;
};

}  // namespace jujube::control
