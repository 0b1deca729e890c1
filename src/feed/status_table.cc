#include "feed/status_table.h"

#include <utility>

namespace jujube::feed {

namespace {

auto Order(const HostVersion& version) {
  return std::pair(version.m_incarnation, version.m_index);
}

}  // namespace

StatusTable::StatusTable(const StatusLimits& limits) : m_limits(limits) {}

void StatusTable::Merge(const FeedStatus& report, MonoTime now) {
  for (const HostVersion& version : report.m_hosts) {
    const auto found = m_lines.find(version.m_host);
    if (found == m_lines.end()) {
      if (m_lines.size() >= m_limits.m_max_hosts)
        Expire(now);
      if (m_lines.size() < m_limits.m_max_hosts)
        m_lines[version.m_host] = {.m_version = version, .m_heard = now};
      continue;
    }
    Line& line = found->second;
    if (Order(version) < Order(line.m_version))
      continue;
    line.m_changed = line.m_changed || version != line.m_version;
    line.m_version = version;
    line.m_heard = now;
  }
}

FeedStatus StatusTable::Report(MonoTime now) {
  Expire(now);
  const bool all = m_all || now - m_last_full >= m_limits.m_full_report;
  if (all)
    m_last_full = now;
  m_all = false;
  FeedStatus report;
  for (auto& [host, line] : m_lines) {
    if (all || line.m_changed)
      report.m_hosts.push_back(line.m_version);
    line.m_changed = false;
  }
  return report;
}

void StatusTable::ReportAll() {
  m_all = true;
}

std::vector<HostVersion> StatusTable::Hosts(MonoTime now) const {
  std::vector<HostVersion> hosts;
  for (const auto& [host, line] : m_lines) {
    if (now - line.m_heard < m_limits.m_expiry)
      hosts.push_back(line.m_version);
  }
  return hosts;
}

void StatusTable::Expire(MonoTime now) {
  std::erase_if(m_lines, [&](const auto& entry) {
    return now - entry.second.m_heard >= m_limits.m_expiry;
  });
}

}  // namespace jujube::feed
