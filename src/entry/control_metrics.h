// ControlMetrics: metrics that the control thread of an entry daemon updates.
//
// Gauges are sampled about once per second. Not thread-safe.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "core/clock.h"
#include "gen/allotments.h"
#include "limits/limit_table.h"
#include "membership/merge_outcome.h"
#include "net/frame_metrics.h"
#include "steering/ejection_change.h"
#include "steering/upstream_view.h"

namespace jujube::entry {

// State of the daemon at one update of the gauges.
struct ControlMetricsSample {
  MonoTime m_now;
  std::chrono::milliseconds m_feed_age{0};
  std::chrono::milliseconds m_lease_left{0};
  std::size_t m_subscribers = 0;
  std::uint64_t m_snapshots_started = 0;  // total since the daemon started
};

class ControlMetrics {
 public:
  static constexpr std::chrono::milliseconds kInterval{1000};

  // Counts the outcome of an announcement, and logs it unless it is routine.
  void OnAnnouncement(const Announcement& announcement,
                      membership::MergeOutcome outcome);
  // Counts and logs the result of one outlier evaluation of a service. An
  // instance whose ejection stays suppressed is logged only the first time.
  void OnEjections(const ServiceId& service,
                   const std::vector<steering::EjectionChange>& changes);
  // Sets the gauges of links and regions from the renewal request to be sent.
  void OnRenewal(const AllotmentRequest& request,
                 const limits::LimitTable& table,
                 MonoTime now);

  bool IsDue(MonoTime now) const { return now >= m_next_update; }
  void Update(const ControlMetricsSample& sample,
              const steering::UpstreamView& view,
              const net::FrameCounters& frames);

 private:
  void UpdateServices(const steering::UpstreamView& view, MonoTime now);

  MonoTime m_next_update;
  std::uint64_t m_counted_snapshots = 0;
  net::FrameMetrics m_frames;
  std::map<ServiceId, std::set<InstanceId>> m_suppressed_ejections;
  std::set<ServiceId> m_reported_services;  // services in the last update
};

}  // namespace jujube::entry
