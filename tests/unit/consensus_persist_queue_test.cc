#include <gtest/gtest.h>

#include "consensus/persist_queue.h"

namespace jujube::consensus {
namespace {

// Guards against a follower that confirms entries which were replaced: their
// index was durable, but with the contents of another term.
TEST(ConsensusPersistQueue, ReplacedEntriesAreNotDurable) {
  PersistQueue queue(0);
  queue.Done(queue.Issue(5));
  ASSERT_EQ(queue.SyncedIndex(), 5U);
  queue.TruncateFrom(3);
  EXPECT_EQ(queue.SyncedIndex(), 2U);
  EXPECT_EQ(queue.NextIndex(), 3U);
}

// Guards against a sync that was under way when its entries were replaced.
TEST(ConsensusPersistQueue, SyncOfReplacedEntriesCountsUpToTheReplacement) {
  PersistQueue queue(0);
  const std::uint64_t number = queue.Issue(5);
  queue.TruncateFrom(3);
  queue.Done(number);
  EXPECT_EQ(queue.SyncedIndex(), 2U);
}

}  // namespace
}  // namespace jujube::consensus
