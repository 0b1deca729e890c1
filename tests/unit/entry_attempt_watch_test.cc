// Tests of the cancellation of pending attempts.

#include <memory>

#include <gtest/gtest.h>

#include "entry/attempt_watch.h"
#include "unit/net_support.h"

namespace jujube::entry {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using steering::InstanceCounters;

// Guards against an attempt that waits until its deadline for an instance that
// is gone, and against one that is cancelled because of the ejection of its
// instance.
TEST(AttemptWatch, OnlyTheReplacementOfAnInstanceCancelsItsAttempts) {
  net::test::IoThread thread;
  InstanceCounters ejected;
  InstanceCounters replaced;
  bool is_cancelled_at_ejected = false;
  bool is_cancelled_at_replaced = false;
  std::unique_ptr<AttemptWatch> watch;
  std::unique_ptr<AttemptWatch::Registration> at_ejected;
  std::unique_ptr<AttemptWatch::Registration> at_replaced;
  thread.Run([&] {
    watch = std::make_unique<AttemptWatch>(thread.Context().get_executor());
    at_ejected = std::make_unique<AttemptWatch::Registration>(
        *watch, ejected, [&] { is_cancelled_at_ejected = true; });
    at_replaced = std::make_unique<AttemptWatch::Registration>(
        *watch, replaced, [&] { is_cancelled_at_replaced = true; });
    ejected.Eject(MonoClock::now() + hours(1));
    replaced.Record(steering::Outcome::kGone, milliseconds(1),
                    MonoClock::now());
  });
  // Both attempts are checked at the same time.
  thread.WaitUntil([&] { return is_cancelled_at_replaced; });
  thread.Run([&] {
    EXPECT_FALSE(is_cancelled_at_ejected);
    at_ejected.reset();
    at_replaced.reset();
    watch.reset();
  });
}

}  // namespace
}  // namespace jujube::entry
