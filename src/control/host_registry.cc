#include "control/host_registry.h"

namespace jujube::control {

namespace {

// Maximum number of elements of ControlSnapshotHead.hosts in the schema.
constexpr std::size_t kMaxHosts = 4096;

}  // namespace

HostRegistry::HostRegistry(const std::vector<EntryHostStatus>& hosts) {
  for (const EntryHostStatus& host : hosts)
    m_hosts.emplace(host.m_host, host);
}

const EntryHostStatus* HostRegistry::Register(const HostId& host,
                                              std::uint64_t incarnation,
                                              std::uint64_t index,
                                              std::uint64_t time_ms) {
  const auto it = m_hosts.find(host);
  if (it == m_hosts.end() && m_hosts.size() >= kMaxHosts)
    return nullptr;
  EntryHostStatus& status = it != m_hosts.end() ? it->second : m_hosts[host];
  const bool is_stale = incarnation < status.m_incarnation;
  const bool is_removed =
      status.m_removed && incarnation == status.m_incarnation;
  if (is_stale || is_removed)
    return nullptr;
  if (incarnation == status.m_incarnation && status.m_alive)
    return &status;
  const bool is_same_incarnation = incarnation == status.m_incarnation;
  status = {.m_host = host,
            .m_incarnation = incarnation,
            .m_sequence = is_same_incarnation ? status.m_sequence : 0,
            .m_session = index,
            .m_alive = true,
            .m_index_in_force = status.m_index_in_force,
            .m_renewed = time_ms};
  return &status;
}

const EntryHostStatus* HostRegistry::Renew(const HostRenewal& renewal,
                                           std::uint64_t index,
                                           std::uint64_t time_ms) {
  const auto it = m_hosts.find(renewal.m_host);
  // A delayed or duplicate renewal must not register the host again.
  if (it != m_hosts.end() &&
      it->second.m_incarnation == renewal.m_incarnation &&
      renewal.m_sequence <= it->second.m_sequence) {
    return nullptr;
  }
  if (Register(renewal.m_host, renewal.m_incarnation, index, time_ms) ==
      nullptr)
    return nullptr;
  EntryHostStatus& status = m_hosts[renewal.m_host];
  status.m_sequence = renewal.m_sequence;
  status.m_index_in_force = renewal.m_index_in_force;
  status.m_renewed = time_ms;
  return &status;
}

void HostRegistry::MarkLost(const LostHost& lost) {
  const auto it = m_hosts.find(lost.m_host);
  if (it != m_hosts.end() && it->second.m_incarnation == lost.m_incarnation)
    it->second.m_alive = false;
}

bool HostRegistry::Remove(const HostId& host) {
  const auto it = m_hosts.find(host);
  if (it == m_hosts.end())
    return false;
  it->second.m_alive = false;
  it->second.m_removed = true;
  return true;
}

bool HostRegistry::IsCurrentSession(const HostId& host,
                                    std::uint64_t session) const {
  const auto it = m_hosts.find(host);
  return it != m_hosts.end() && it->second.m_alive &&
         it->second.m_session == session;
}

std::vector<EntryHostStatus> HostRegistry::All() const {
  std::vector<EntryHostStatus> hosts;
  hosts.reserve(m_hosts.size());
  for (const auto& [host, status] : m_hosts)
    hosts.push_back(status);
  return hosts;
}

}  // namespace jujube::control
