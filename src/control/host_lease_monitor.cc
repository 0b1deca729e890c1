#include "control/host_lease_monitor.h"

namespace jujube::control {

void HostLeaseMonitor::OnElected(const std::vector<EntryHostStatus>& hosts,
                                 MonoTime now) {
  m_last_renewals.clear();
  for (const EntryHostStatus& host : hosts) {
    if (host.m_alive)
      OnRenewal(host.m_host, host.m_incarnation, now);
  }
}

void HostLeaseMonitor::OnRenewal(const HostId& host,
                                 std::uint64_t incarnation,
                                 MonoTime now) {
  LastRenewal& last_renewal = m_last_renewals[host];
  if (incarnation >= last_renewal.m_incarnation)
    last_renewal = {.m_incarnation = incarnation, .m_time = now};
}

std::vector<LostHost> HostLeaseMonitor::LostHosts(MonoTime now) const {
  std::vector<LostHost> lost;
  for (const auto& [host, last_renewal] : m_last_renewals) {
    if (now - last_renewal.m_time >= kHostLease)
      lost.push_back(
          {.m_host = host, .m_incarnation = last_renewal.m_incarnation});
  }
  return lost;
}

}  // namespace jujube::control
