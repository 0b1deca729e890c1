#include "steering/rate_limiter.h"

#include <gtest/gtest.h>

namespace jujube::steering {
namespace {

using std::chrono::milliseconds;

MonoTime At(int ms) {
  return MonoTime(std::chrono::hours(1) + milliseconds(ms));
}

// Requests that the limiter allows if one is tried every millisecond.
int CountStarts(RateLimiter& limiter, int from_ms, int to_ms) {
  int count = 0;
  for (int ms = from_ms; ms < to_ms; ++ms)
    count += limiter.TryStart(At(ms)) ? 1 : 0;
  return count;
}

TEST(RateLimiter, WithoutALimitEverythingIsAllowed) {
  RateLimiter limiter;
  EXPECT_EQ(CountStarts(limiter, 0, 100), 100);
  EXPECT_FALSE(limiter.SetLimit(std::nullopt, At(100)));
}

// Guards against hosts that together send more than an instance takes.
TEST(RateLimiter, HostsTogetherKeepTheLimit) {
  constexpr int kHosts = 7;
  constexpr std::uint64_t kLimit = 6400;
  constexpr int kWindowMs = 4000;
  constexpr int kWindowRequests = 6400 * kWindowMs / 1000000;
  int steady = 0;
  int after_pause = 0;
  for (int host = 0; host < kHosts; ++host) {
    RateLimiter limiter;
    limiter.SetShare(1.0 / kHosts);
    EXPECT_TRUE(limiter.SetLimit(kLimit, At(0)));
    CountStarts(limiter, 0, kWindowMs);
    steady += CountStarts(limiter, kWindowMs, 2 * kWindowMs);
    // What accumulated in a long pause is a second's worth at most.
    after_pause += CountStarts(limiter, 100000, 100000 + kWindowMs);
  }
  EXPECT_GE(steady, kWindowRequests - kHosts);
  EXPECT_LE(steady, kWindowRequests + kHosts);
  EXPECT_LE(after_pause, kWindowRequests * 5 / 4 + kHosts);
}

// Guards against a limit that holds on after the instance stopped stating it,
// and against one of 0 that can never end, since nothing is sent any more.
TEST(RateLimiter, LimitEndsWhenItIsNotStatedAnyMore) {
  RateLimiter limiter;
  limiter.SetLimit(0, At(0));
  EXPECT_EQ(CountStarts(limiter, 0, 10000), 5);
  EXPECT_FALSE(limiter.MayStart(At(10000 - 1)));
  EXPECT_TRUE(limiter.SetLimit(std::nullopt, At(10000)));
  EXPECT_EQ(CountStarts(limiter, 10000, 10100), 100);
}

// Guards against a host whose share is so small that it never sends again.
TEST(RateLimiter, TinyShareStillSends) {
  RateLimiter limiter;
  limiter.SetShare(1e-12);
  limiter.SetLimit(1, At(0));
  EXPECT_TRUE(limiter.TryStart(At(0)));
  EXPECT_FALSE(limiter.TryStart(At(59999)));
  EXPECT_TRUE(limiter.TryStart(At(60000)));
}

}  // namespace
}  // namespace jujube::steering
