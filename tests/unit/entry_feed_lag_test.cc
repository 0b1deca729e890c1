#include "entry/feed_lag.h"

#include <chrono>

#include <gtest/gtest.h>

namespace jujube::entry {
namespace {

using std::chrono::milliseconds;

constexpr MonoTime kStart{std::chrono::hours(1)};

// Guards against an entry host that never gets a change over a link with a long
// queue, because it starts the transfer again at another parent every second.
TEST(FeedLag, ParentThatHasTheNewestStateIsKept) {
  const FeedLag lag{.m_behind_since = kStart,
                    .m_parent_switched_at = kStart - milliseconds(10000),
                    .m_parent_has_newest = true};
  EXPECT_FALSE(MustLeaveParent(lag, kStart + milliseconds(200)));
  EXPECT_FALSE(MustLeaveParent(lag, kStart + milliseconds(4000)));
}

// Guards against leaving a parent that delivers one change after the other
// while newer ones are made.
TEST(FeedLag, ParentThatDeliversIsKept) {
  const FeedLag lag{.m_behind_since = kStart,
                    .m_advanced_at = kStart + milliseconds(9000),
                    .m_parent_has_newest = true};
  EXPECT_FALSE(MustLeaveParent(lag, kStart + milliseconds(10000)));
}

// Guards against waiting for a parent that is parted from the majority.
TEST(FeedLag, ParentWithoutTheNewestStateIsLeftSoon) {
  FeedLag lag{.m_behind_since = kStart};
  EXPECT_FALSE(MustLeaveParent(lag, kStart + milliseconds(100)));
  EXPECT_TRUE(MustLeaveParent(lag, kStart + milliseconds(150)));
  lag.m_parent_switched_at = kStart;
  EXPECT_FALSE(MustLeaveParent(lag, kStart + milliseconds(700)));
  EXPECT_TRUE(MustLeaveParent(lag, kStart + milliseconds(800)));
}

// Guards against a subscription that is alive, delivers nothing and is kept for
// good.
TEST(FeedLag, ParentThatDeliversNothingIsLeft) {
  const FeedLag lag{.m_behind_since = kStart, .m_parent_has_newest = true};
  EXPECT_TRUE(MustLeaveParent(lag, kStart + milliseconds(5000)));
}

}  // namespace
}  // namespace jujube::entry
