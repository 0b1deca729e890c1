// StatusTable: which configuration each host below this one runs.
//
// Each process of the feed keeps one, merges the reports of its subscribers,
// and reports it to its parent. Not thread-safe.

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <vector>

#include "core/clock.h"
#include "gen/feed.h"

namespace jujube::feed {

struct StatusLimits {
  std::size_t m_max_hosts = 2048;  // as in FeedStatus; more are dropped
  std::chrono::milliseconds m_full_report{5000};  // interval of whole reports
  std::chrono::milliseconds m_expiry{20000};  // a host without reports is gone

  friend auto operator<=>(const StatusLimits&, const StatusLimits&) = default;
};

class StatusTable {
 public:
  explicit StatusTable(const StatusLimits& limits = {});

  // Takes a report. For each host the higher (incarnation, index) stays, so a
  // report that was delayed on another path changes nothing.
  void Merge(const FeedStatus& report, MonoTime now);

  // Report for the parent: the lines that changed since the last call, and from
  // time to time all of them. At most one FeedStatus in size.
  FeedStatus Report(MonoTime now);

  // Makes the next report a whole one. Call it after a change of the parent.
  void ReportAll();

  // All hosts that have not expired.
  std::vector<HostVersion> Hosts(MonoTime now) const;

 private:
  struct Line {
    HostVersion m_version;
    MonoTime m_heard;  // last report that names it
    bool m_changed = true;
  };

  void Expire(MonoTime now);

  StatusLimits m_limits;
  std::map<HostId, Line> m_lines;
  bool m_all = true;
  MonoTime m_last_full;
};

}  // namespace jujube::feed
