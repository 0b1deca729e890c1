// FeedLag: how far the feed of an entry host is behind the newest configuration
// that a control host has reported.

#pragma once

#include <compare>

#include "core/clock.h"

namespace jujube::entry {

struct FeedLag {
  MonoTime m_behind_since{};         // a newer configuration was first reported
  MonoTime m_advanced_at{};          // last configuration that arrived
  MonoTime m_parent_switched_at{};   // last switch of the parent
  bool m_parent_has_newest = false;  // the parent reported the newest one

  friend auto operator<=>(const FeedLag&, const FeedLag&) = default;
};

// True if another parent is likely to deliver the newest configuration sooner.
bool MustLeaveParent(const FeedLag& lag, MonoTime now);

}  // namespace jujube::entry
