// Tests of the decisions about idle connections, connects and bodies.

#include <vector>

#include <gtest/gtest.h>

#include "entry/body_share.h"
#include "entry/connect_limit.h"
#include "entry/connection_reuse.h"

namespace jujube::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a request that runs at most once on a connection that the
// upstream may have forgotten, and against new connections where an idle one is
// safe.
TEST(ConnectionReuse, Table) {
  struct Row {
    bool m_is_repeatable;
    bool m_is_setting_on;
    milliseconds m_idle;
    std::optional<seconds> m_stated;
    bool m_is_forgotten;
    ReuseAnswer m_answer;
  };
  using enum ReuseAnswer;
  const std::optional<seconds> none;
  const std::vector<Row> rows = {
      // Without the setting: repeatable requests only, for 4 s.
      {true, false, milliseconds(3999), none, false, kReuse},
      {true, false, milliseconds(3999), seconds(2), true, kReuse},
      {true, false, milliseconds(4000), seconds(10), false, kExpire},
      {false, false, milliseconds(0), seconds(10), false, kKeep},
      {false, false, milliseconds(4000), none, false, kExpire},
      // No stated timeout.
      {true, true, milliseconds(3999), none, false, kReuse},
      {true, true, milliseconds(4000), none, false, kExpire},
      {false, true, milliseconds(999), none, false, kReuse},
      {false, true, milliseconds(1000), none, false, kKeep},
      // Stated timeouts.
      {true, true, milliseconds(8499), seconds(10), false, kReuse},
      {true, true, milliseconds(8500), seconds(10), false, kExpire},
      {false, true, milliseconds(4999), seconds(10), false, kReuse},
      {false, true, milliseconds(5000), seconds(10), false, kKeep},
      {true, true, milliseconds(999), seconds(2), false, kReuse},
      {true, true, milliseconds(1000), seconds(2), false, kExpire},
      {false, true, milliseconds(999), seconds(2), false, kReuse},
      {false, true, milliseconds(1000), seconds(2), false, kExpire},
      {true, true, milliseconds(0), seconds(0), false, kExpire},
      {false, true, milliseconds(30001), seconds(4000000000), false, kKeep},
      // Other idle connections were forgotten.
      {true, true, milliseconds(8499), seconds(10), true, kReuse},
      {false, true, milliseconds(1), seconds(10), true, kKeep},
  };
  for (const Row& row : rows) {
    EXPECT_EQ(DecideReuse({.m_is_repeatable = row.m_is_repeatable,
                           .m_reuses_for_at_most_once = row.m_is_setting_on},
                          {.m_idle_for = row.m_idle,
                           .m_stated_timeout = row.m_stated,
                           .m_is_forgotten_elsewhere = row.m_is_forgotten}),
              row.m_answer)
        << "row " << &row - rows.data();
  }
}

TEST(ConnectionReuse, KeepAliveTimeoutIsParsed) {
  EXPECT_EQ(ParseKeepAliveTimeout("timeout=10"), seconds(10));
  EXPECT_EQ(ParseKeepAliveTimeout("max=100, timeout=5"), seconds(5));
  EXPECT_EQ(ParseKeepAliveTimeout("timeout=5, max=100"), seconds(5));
  for (const char* text : {"", "max=5", "timeout=", "timeout=x", "timeout=-1",
                           "timeout=99999999999999999999"})
    EXPECT_EQ(ParseKeepAliveTimeout(text), std::nullopt) << text;
}

// Guards against connects that use up the time limit of the request, and
// against a busy link that is taken for a lost upstream.
TEST(ConnectLimit, CountsTheLinkAndLeavesTimeForAnotherUpstream) {
  const ConnectWait idle{.m_timeout = milliseconds(250),
                         .m_one_way_delay = milliseconds(12),
                         .m_remaining = milliseconds(3000)};
  EXPECT_EQ(ConnectLimit(idle), milliseconds(298));
  ConnectWait busy = idle;
  busy.m_link_backlog = milliseconds(400);
  EXPECT_EQ(ConnectLimit(busy), milliseconds(698));
  busy.m_link_backlog = seconds(60);
  EXPECT_EQ(ConnectLimit(busy), milliseconds(1000));
  busy.m_remaining = seconds(30);
  EXPECT_EQ(ConnectLimit(busy), milliseconds(1298));
  // With little time left, the limit is that of an idle link.
  busy.m_remaining = milliseconds(600);
  EXPECT_EQ(ConnectLimit(busy), milliseconds(298));
}

// Guards against an upstream that is set aside because of this host's link.
TEST(ConnectLimit, ExpiryOnABusyLinkIsNoSignOfALostUpstream) {
  EXPECT_TRUE(IsSignOfLostUpstream({}));
  EXPECT_FALSE(IsSignOfLostUpstream({.m_was_link_busy = true}));
  EXPECT_TRUE(IsSignOfLostUpstream(
      {.m_was_link_busy = true, .m_did_other_succeed = true}));
}

// Guards against a busy upstream that is set aside because it accepts late, and
// against a lost one whose last report keeps it in use.
TEST(ConnectLimit, ReportedLoadExplainsALateAccept) {
  const UpstreamLoad full{
      .m_in_progress = 9, .m_slots = 9, .m_report_age = milliseconds(1999)};
  EXPECT_TRUE(IsUpstreamFull(full));
  UpstreamLoad other = full;
  other.m_in_progress = 8;
  EXPECT_FALSE(IsUpstreamFull(other));
  other = full;
  other.m_report_age = milliseconds(2000);
  EXPECT_FALSE(IsUpstreamFull(other));
  other = full;
  other.m_slots = 0;
  EXPECT_FALSE(IsUpstreamFull(other));
}

// Guards against an upstream that gets the bodies of all hosts at once.
TEST(BodyShare, BodiesUnderWayStayWithinTheShare) {
  const std::uint64_t share = BodyShareOfThread(8U << 20U, 34, 1);
  EXPECT_EQ(share, (8U << 20U) / 34U);
  EXPECT_EQ(BodyShareOfThread(1000, 0, 0), 1000U);
  BodyShare bodies;
  const InstanceId first{"u1"};
  const InstanceId second{"u2"};
  // A body beyond the share may be sent alone.
  EXPECT_TRUE(bodies.HasRoom(first, 360000, share));
  {
    const BodyShare::Sending sending(bodies, first, 360000);
    EXPECT_FALSE(bodies.HasRoom(first, 1, share));
    EXPECT_TRUE(bodies.HasRoom(second, 360000, share));
  }
  EXPECT_TRUE(bodies.HasRoom(first, 360000, share));
  const BodyShare::Sending small(bodies, first, 60000);
  EXPECT_TRUE(bodies.HasRoom(first, share - 60000, share));
  EXPECT_FALSE(bodies.HasRoom(first, share - 59999, share));
  EXPECT_FALSE(bodies.HasRoom(first, UINT64_MAX, share));
}

}  // namespace
}  // namespace jujube::entry
