#include "tenants/key_lease.h"

#include <chrono>
#include <cstdint>
#include <limits>

#include <gtest/gtest.h>

namespace jujube::tenants {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLength{4000};
constexpr std::uint64_t kIndex = 7;

// Time since the boot of the host.
MonoTime At(std::int64_t ms) {
  return MonoTime(milliseconds(ms));
}

// Statement of the leader about a message that this host sent at `sent_ms`.
ConfigLease Statement(std::int64_t sent_ms,
                      std::int64_t age_ms = 0,
                      std::uint64_t index = kIndex) {
  return {.m_echoed_clock = KeyLease::ClockOf(At(sent_ms)),
          .m_age = milliseconds(age_ms),
          .m_feed_index = index};
}

// Guards against a host that accepts keys before the leader has confirmed that
// its configuration is the newest: a key may have been taken away while the
// host was down.
TEST(TenantKeyLease, AStartedHostHasNoLease) {
  KeyLease lease(kLength);
  EXPECT_EQ(lease.EndAt(kIndex), MonoTime{});
  EXPECT_LT(lease.EndAt(kIndex), At(1));
}

TEST(TenantKeyLease, WithoutALengthItNeverEnds) {
  KeyLease lease(std::nullopt);
  EXPECT_EQ(lease.EndAt(kIndex), MonoTime::max());
  lease.OnStatement(Statement(1000), At(1000));
  EXPECT_EQ(lease.EndAt(kIndex), MonoTime::max());
}

// Guards against a lease that counts from the arrival of a statement. One that
// was held up on its way, or whose host was suspended before it read it, is as
// old as the message that it echoes.
TEST(TenantKeyLease, CountsFromTheEchoedMessage) {
  for (const std::int64_t received_ms : {1020, 4000, 60000}) {
    KeyLease lease(kLength);
    lease.OnStatement(Statement(1000), At(received_ms));
    EXPECT_EQ(lease.EndAt(kIndex), At(1000) + kLength) << received_ms;
  }
}

// Guards against a leader that was suspended between its read barrier and its
// statement.
TEST(TenantKeyLease, TheAgeOfTheStatementIsSubtracted) {
  KeyLease lease(kLength);
  lease.OnStatement(Statement(10000, 300), At(10020));
  EXPECT_EQ(lease.EndAt(kIndex), At(9700) + kLength);
  KeyLease expired(kLength);
  expired.OnStatement(Statement(10000, 9000), At(10020));
  EXPECT_LT(expired.EndAt(kIndex), At(10020));
}

// Guards against a late statement that shortens a lease, for example one of an
// earlier leader.
TEST(TenantKeyLease, AnOlderStatementChangesNothing) {
  KeyLease lease(kLength);
  lease.OnStatement(Statement(2000), At(2010));
  lease.OnStatement(Statement(1000), At(2020));
  EXPECT_EQ(lease.EndAt(kIndex), At(2000) + kLength);
  lease.OnStatement(Statement(1500, 0, kIndex - 1), At(2030));
  EXPECT_EQ(lease.EndAt(kIndex), At(2000) + kLength);
}

// Guards against a host that keeps using keys that a document which it does not
// have yet takes away.
TEST(TenantKeyLease, AStatementCountsOnceItsIndexIsInForce) {
  KeyLease lease(kLength);
  lease.OnStatement(Statement(1000, 0, 7), At(1010));
  lease.OnStatement(Statement(2000, 0, 8), At(2010));
  lease.OnStatement(Statement(3000, 0, 9), At(3010));
  EXPECT_EQ(lease.EndAt(7), At(1000) + kLength);
  EXPECT_EQ(lease.EndAt(8), At(2000) + kLength);
  EXPECT_EQ(lease.EndAt(9), At(3000) + kLength);
}

// Guards against two documents in quick succession that leave a host without a
// lease: the statement about the first one also confirms the second one, which
// was accepted later.
TEST(TenantKeyLease, AStatementAboutAnEarlierIndexCounts) {
  KeyLease lease(kLength);
  lease.OnStatement(Statement(1000, 0, 8), At(1010));
  EXPECT_EQ(lease.EndAt(9), At(1000) + kLength);
}

// Guards against a statement that this host cannot have caused, or whose value
// overflows, and that makes the lease longer than it is.
TEST(TenantKeyLease, ImplausibleStatementsAreIgnored) {
  constexpr auto kMaxAge = std::numeric_limits<std::int64_t>::max() / 2;
  KeyLease lease(kLength);
  const MonoTime now = At(5000);
  lease.OnStatement({.m_echoed_clock = 0, .m_feed_index = kIndex}, now);
  lease.OnStatement(Statement(5001), now);
  lease.OnStatement(Statement(4000, -1), now);
  lease.OnStatement(Statement(4000, kMaxAge), now);
  for (const std::uint64_t clock :
       {std::uint64_t{1} << 63U, std::numeric_limits<std::uint64_t>::max()}) {
    lease.OnStatement({.m_echoed_clock = clock,
                       .m_age = milliseconds(1000),
                       .m_feed_index = kIndex},
                      now);
  }
  EXPECT_EQ(lease.EndAt(kIndex), MonoTime{});
  // The age reaches back before the boot of this host.
  lease.OnStatement(Statement(4000, 4001), now);
  EXPECT_EQ(lease.EndAt(kIndex), MonoTime{});
}

// Guards against memory that grows with each document while the feed of a host
// does not advance, and against the loss of the newest statement.
TEST(TenantKeyLease, StatementsAboutManyIndexesAreBounded) {
  KeyLease lease(kLength);
  constexpr std::uint64_t kDocuments = 10000;
  for (std::uint64_t i = 1; i <= kDocuments; ++i) {
    const auto sent_ms = static_cast<std::int64_t>(100 * i);
    lease.OnStatement(Statement(sent_ms, 0, kIndex + i), At(sent_ms));
  }
  EXPECT_EQ(lease.EndAt(kIndex), MonoTime{});
  EXPECT_EQ(lease.EndAt(kIndex + kDocuments), At(100 * kDocuments) + kLength);
}

}  // namespace
}  // namespace jujube::tenants
