#include "feed/status_table.h"

#include <utility>

namespace jujube::feed {

namespace {

auto VersionOrder(const HostVersion& version) {
  return std::pair(version.m_incarnation, version.m_index);
}

}  // namespace

StatusTable::StatusTable(const StatusLimits& limits) : m_limits(limits) {}

void StatusTable::Merge(const FeedStatus& report, MonoTime now) {
  for (const HostVersion& version : report.m_hosts) {
    const auto found = m_hosts.find(version.m_host);
    if (found == m_hosts.end()) {
      if (m_hosts.size() >= m_limits.m_max_hosts)
        Expire(now);
      if (m_hosts.size() < m_limits.m_max_hosts)
        m_hosts[version.m_host] = {.m_version = version,
                                   .m_last_reported = now};
      continue;
    }
    HostRecord& record = found->second;
    if (VersionOrder(version) < VersionOrder(record.m_version))
      continue;
    record.m_is_unreported =
        record.m_is_unreported || version != record.m_version;
    record.m_version = version;
    record.m_last_reported = now;
  }
}

FeedStatus StatusTable::Report(MonoTime now) {
  Expire(now);
  const bool is_full = m_report_all || now - m_last_full_report >=
                                           m_limits.m_full_report_interval;
  if (is_full)
    m_last_full_report = now;
  m_report_all = false;
  FeedStatus report;
  for (auto& [host, record] : m_hosts) {
    if (is_full || record.m_is_unreported)
      report.m_hosts.push_back(record.m_version);
    record.m_is_unreported = false;
  }
  return report;
}

void StatusTable::RequestFullReport() {
  m_report_all = true;
}

std::vector<HostVersion> StatusTable::Hosts(MonoTime now) const {
  std::vector<HostVersion> hosts;
  for (const auto& [host, record] : m_hosts) {
    if (now - record.m_last_reported < m_limits.m_host_expiry)
      hosts.push_back(record.m_version);
  }
  return hosts;
}

void StatusTable::Expire(MonoTime now) {
  std::erase_if(m_hosts, [&](const auto& entry) {
    return now - entry.second.m_last_reported >= m_limits.m_host_expiry;
  });
}

}  // namespace jujube::feed
