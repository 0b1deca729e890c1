// StatusTable: the configuration version of each host downstream in the feed.
//
// Each process in the feed merges the reports of its subscribers into its table
// and reports the table to its parent. Not thread-safe.

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "core/clock.h"
#include "gen/feed.h"

namespace jujube::feed {

struct StatusLimits {
  // As in FeedStatus; further hosts are ignored.
  std::size_t m_max_hosts = 2048;
  std::chrono::milliseconds m_full_report_interval{5000};
  // Time after the last received report that contains the host. A relay reports
  // a host until it expires there, so the times of successive relays add up.
  std::chrono::milliseconds m_host_expiry{20000};

  friend auto operator<=>(const StatusLimits&, const StatusLimits&) = default;
};

class StatusTable {
 public:
  explicit StatusTable(const StatusLimits& limits = {});

  // Merges a report. For each host the higher (incarnation, index) is kept, so
  // a report that was delayed on another path has no effect.
  void Merge(const FeedStatus& report, MonoTime now);

  // Returns the report for the parent: the hosts that changed since the last
  // call, or all hosts once per full report interval. It is within the limits
  // of FeedStatus.
  FeedStatus Report(MonoTime now);

  // Makes the next report include all hosts. Call it after a change of the
  // parent.
  void RequestFullReport();

  // All hosts that have not expired.
  std::vector<HostVersion> Hosts(MonoTime now) const;

 private:
  struct HostRecord {
    HostVersion m_version;
    // Receipt of the last report that contains the host and is not older than
    // m_version.
    MonoTime m_last_reported;
    // True if m_version has not been included in a report to the parent.
    bool m_is_unreported = true;
  };

  void Expire(MonoTime now);

  StatusLimits m_limits;
  std::map<HostId, HostRecord> m_hosts;
  bool m_report_all = true;
  MonoTime m_last_full_report;
};

}  // namespace jujube::feed
