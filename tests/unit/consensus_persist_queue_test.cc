#include <gtest/gtest.h>

#include "consensus/persist_queue.h"

namespace jujube::consensus {
namespace {

// Guards against a follower that acknowledges replaced entries: the index was
// durable, but with an entry of another term.
TEST(ConsensusPersistQueue, ReplacedEntriesAreNotDurable) {
  PersistQueue queue(0);
  queue.CompleteUpTo(queue.Issue(5));
  ASSERT_EQ(queue.SyncedIndex(), 5U);
  queue.TruncateFrom(3);
  EXPECT_EQ(queue.SyncedIndex(), 2U);
  EXPECT_EQ(queue.NextIndex(), 3U);
}

// Guards against counting replaced entries as durable when a sync completes
// that was in progress during the replacement.
TEST(ConsensusPersistQueue, SyncOfReplacedEntriesCountsUpToTheReplacement) {
  PersistQueue queue(0);
  const std::uint64_t number = queue.Issue(5);
  queue.TruncateFrom(3);
  queue.CompleteUpTo(number);
  EXPECT_EQ(queue.SyncedIndex(), 2U);
}

}  // namespace
}  // namespace jujube::consensus
