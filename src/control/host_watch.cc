#include "control/host_watch.h"

namespace jujube::control {

void HostWatch::OnElected(const std::vector<EntryHostStatus>& hosts,
                          MonoTime now) {
  m_seen.clear();
  for (const EntryHostStatus& host : hosts) {
    if (host.m_alive)
      OnRenewal(host.m_host, host.m_incarnation, now);
  }
}

void HostWatch::OnRenewal(const HostId& host,
                          std::uint64_t incarnation,
                          MonoTime now) {
  Seen& seen = m_seen[host];
  if (incarnation >= seen.m_incarnation)
    seen = {.m_incarnation = incarnation, .m_time = now};
}

std::vector<LostHost> HostWatch::Lost(MonoTime now) const {
  std::vector<LostHost> lost;
  for (const auto& [host, seen] : m_seen) {
    if (now - seen.m_time >= kHostLease)
      lost.push_back({.m_host = host, .m_incarnation = seen.m_incarnation});
  }
  return lost;
}

}  // namespace jujube::control
