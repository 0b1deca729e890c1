#include "entry/connect_limit.h"

#include <algorithm>

namespace jujube::entry {

namespace {

// The TCP handshake takes two one-way delays; the other two are for a busy
// instance that accepts late.
constexpr int kConnectOneWayDelays = 4;

// A longer queue would not leave the request time to run.
constexpr std::chrono::milliseconds kMaxLinkAllowance{1000};

// Part of the remaining time that one connect may take, so that another
// upstream can be tried.
constexpr int kRemainingDivisor = 3;

// An upstream that was lost reports nothing more, so an old report must not
// explain its silence for long.
constexpr std::chrono::seconds kMaxReportAge{2};

}  // namespace

MonoClock::duration ConnectLimit(const ConnectWait& wait) {
  const MonoClock::duration unloaded =
      wait.m_timeout + kConnectOneWayDelays * wait.m_one_way_delay;
  const MonoClock::duration with_link =
      unloaded +
      std::min<MonoClock::duration>(wait.m_link_backlog, kMaxLinkAllowance);
  return std::min(with_link,
                  std::max(unloaded, wait.m_remaining / kRemainingDivisor));
}

bool IsUpstreamFull(const UpstreamLoad& load) {
  return load.m_slots > 0 && load.m_in_progress >= load.m_slots &&
         load.m_report_age < kMaxReportAge;
}

bool IsSignOfLostUpstream(const ConnectExpiry& expiry) {
  return !expiry.m_was_link_busy || expiry.m_did_other_succeed;
}

}  // namespace jujube::entry
