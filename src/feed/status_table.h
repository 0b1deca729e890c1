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
  std::size_t m_max_hosts = 2048;  // as in FeedStatus; others are ignored
  std::chrono::milliseconds m_full_report_interval{5000};
  std::chrono::milliseconds m_host_expiry{20000};  // after its last report

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
    MonoTime m_last_reported;     // last report that contains the host
    bool m_is_unreported = true;  // changed since the last report to the parent
  };

  void Expire(MonoTime now);

  StatusLimits m_limits;
  std::map<HostId, HostRecord> m_hosts;
  bool m_report_all = true;
  MonoTime m_last_full_report;
};

}  // namespace jujube::feed
