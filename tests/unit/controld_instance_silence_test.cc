#include "controld/instance_silence.h"

#include <gtest/gtest.h>

namespace jujube::controld {
namespace {

constexpr std::chrono::milliseconds kInterval{1500};
constexpr MonoTime kStart{std::chrono::hours(1)};

TEST(InstanceSilence, FourMissedAnnouncementsAreSilence) {
  const InstanceContact contact{.m_sent_at = kStart + std::chrono::minutes(1),
                                .m_leading_since = kStart,
                                .m_announcement_interval = kInterval};
  EXPECT_FALSE(IsSilent(contact, contact.m_sent_at + 3 * kInterval));
  EXPECT_TRUE(IsSilent(contact, contact.m_sent_at + 4 * kInterval));
}

// Guards against a new leader that takes most upstreams out of use at once:
// they had announced themselves to the previous leader alone, and needed up to
// 7 s to find another control host.
TEST(InstanceSilence, UpstreamsOfAnEarlierLeaderHaveTimeToReachTheNewOne) {
  const InstanceContact contact{.m_sent_at = kStart - std::chrono::seconds(8),
                                .m_leading_since = kStart,
                                .m_announcement_interval = kInterval};
  EXPECT_FALSE(IsSilent(contact, kStart + std::chrono::seconds(7)));
  EXPECT_TRUE(IsSilent(contact, kStart + 8 * kInterval));
}

}  // namespace
}  // namespace jujube::controld
