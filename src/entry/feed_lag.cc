#include "entry/feed_lag.h"

#include <algorithm>
#include <chrono>

namespace jujube::entry {

using std::chrono::milliseconds;

namespace {

// Time for a change that the parent has already sent to arrive.
constexpr milliseconds kFeedLagAllowance{150};
// Connecting, the handshake and the subscription take four round trips,
// 300 ms between regions. Switching again earlier would restart them.
constexpr milliseconds kMinParentSwitchInterval{800};
// Time for a parent that has the newest state to deliver the next change. The
// feed client leaves a parent whose heartbeats stop much earlier, so this ends
// only a subscription that is alive and delivers nothing.
constexpr milliseconds kDeliveryTimeout{5000};

}  // namespace

bool MustLeaveParent(const FeedLag& lag, MonoTime now) {
  if (now - lag.m_behind_since < kFeedLagAllowance ||
      now - lag.m_parent_switched_at < kMinParentSwitchInterval)
    return false;
  // A parent that has the newest state is sending it. On a link with a long
  // queue, repeated switches would start the transfer again each time and never
  // complete it.
  const MonoTime last_progress = std::max(
      {lag.m_behind_since, lag.m_advanced_at, lag.m_parent_switched_at});
  return !lag.m_parent_has_newest || now - last_progress >= kDeliveryTimeout;
}

}  // namespace jujube::entry
