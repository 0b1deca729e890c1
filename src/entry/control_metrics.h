// ControlMetrics: what the control thread of an entry daemon counts.
//
// Gauges are set about once a second from the state at that time. Belongs to
// one thread.

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

// State of the daemon at the time of an update.
struct ControlFacts {
  MonoTime m_now;
  std::chrono::milliseconds m_feed_age{0};
  std::chrono::milliseconds m_lease_left{0};
  std::size_t m_subscribers = 0;
  std::uint64_t m_snapshots_started = 0;  // for subscribers, since the start
};

class ControlMetrics {
 public:
  static constexpr std::chrono::milliseconds kInterval{1000};

  // Logs and counts the outcome of an announcement.
  void OnAnnouncement(const Announcement& announcement,
                      membership::MergeOutcome outcome);
  // Logs and counts the steps of an evaluation of one service. A bound that
  // lasts is logged when it starts.
  void OnEjections(const ServiceId& service,
                   const std::vector<steering::EjectionChange>& changes);
  // Use of links and regions, as the next renewal reports it.
  void OnRenewal(const AllotmentRequest& request,
                 const limits::LimitTable& table,
                 MonoTime now);

  bool IsDue(MonoTime now) const { return now >= m_next; }
  void Update(const ControlFacts& facts,
              const steering::UpstreamView& view,
              const net::FrameCounters& frames);

 private:
  void UpdateServices(const steering::UpstreamView& view, MonoTime now);

  MonoTime m_next;
  std::uint64_t m_snapshots = 0;
  net::FrameMetrics m_frames;
  std::map<ServiceId, std::set<InstanceId>> m_bounded;
  std::set<ServiceId> m_services;  // that have gauges
};

}  // namespace jujube::entry
