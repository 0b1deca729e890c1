#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "gen/membership_wire.h"
#include "membership/registry.h"
#include "unit/property.h"

namespace jujube::membership {
namespace {

using std::chrono::milliseconds;

MonoTime TimeAt(int ms) {
  return MonoTime(milliseconds(1000000 + ms));
}

RegistryEntry MakeEntry(std::uint64_t incarnation,
                        std::uint64_t sequence,
                        UpstreamState state = UpstreamState::kServing,
                        int age_ms = 0,
                        std::string instance = "tankview-1") {
  return {.m_announcement = {.m_service = {"tankview"},
                             .m_instance = {std::move(instance)},
                             .m_incarnation = incarnation,
                             .m_sequence = sequence,
                             .m_state = state,
                             .m_availability_zone = {"luz-caloocan"},
                             .m_slots = 3},
          .m_age = milliseconds(age_ms)};
}

// Guards against a reordered or replayed announcement replacing a newer one.
TEST(Registry, OnlyAHigherIncarnationAndSequenceReplaces) {
  Registry registry({});
  EXPECT_EQ(registry.Merge(MakeEntry(2, 5), TimeAt(0)),
            MergeOutcome::kAppeared);
  EXPECT_EQ(registry.Merge(MakeEntry(2, 6), TimeAt(1)),
            MergeOutcome::kRefreshed);
  const RegistrySnapshot before = registry.Snapshot();
  EXPECT_EQ(registry.Merge(MakeEntry(2, 6), TimeAt(2)), MergeOutcome::kOlder);
  EXPECT_EQ(registry.Merge(MakeEntry(2, 5), TimeAt(2)), MergeOutcome::kOlder);
  EXPECT_EQ(registry.Merge(MakeEntry(1, 99), TimeAt(2)), MergeOutcome::kOlder);
  EXPECT_EQ(registry.Snapshot(), before);
  EXPECT_EQ(registry.Merge(MakeEntry(3, 0), TimeAt(3)),
            MergeOutcome::kAppeared);
}

// Guards against new work for a leaving instance whose leave was recorded by a
// host that knows only an old announcement of it.
TEST(Registry, LeaveWithAnOldSequenceReplacesOtherStates) {
  Registry registry({});
  registry.Merge(MakeEntry(1, 40), TimeAt(0));
  EXPECT_EQ(
      registry.Merge(MakeEntry(1, 31, UpstreamState::kLeaving), TimeAt(1)),
      MergeOutcome::kLeft);
  EXPECT_EQ(registry.Merge(MakeEntry(1, 42), TimeAt(2)), MergeOutcome::kFinal);
  EXPECT_EQ(
      registry.Merge(MakeEntry(0, 50, UpstreamState::kLeaving), TimeAt(3)),
      MergeOutcome::kOlder);
  EXPECT_EQ(registry.Merge(MakeEntry(2, 0), TimeAt(4)),
            MergeOutcome::kAppeared);
}

// Guards against hosts that disagree about an instance for as long as it lives,
// because they received the same announcements in different orders.
TEST(Registry, OrderOfDeliveryDoesNotMatter) {
  EXPECT_TRUE(CheckWithSeed(1, [] {
    std::vector<RegistryEntry> entries;
    const int count = *rc::gen::inRange(1, 8);
    for (int i = 0; i < count; ++i) {
      // Announcements with the same incarnation and sequence are the same.
      const auto incarnation = *rc::gen::inRange<std::uint64_t>(1, 3);
      const auto sequence = *rc::gen::inRange<std::uint64_t>(1, 6);
      const bool is_leaving = (incarnation * 7 + sequence) % 3 == 0;
      entries.push_back(MakeEntry(
          incarnation, sequence,
          is_leaving ? UpstreamState::kLeaving : UpstreamState::kServing));
    }
    std::vector<Announcement> results;
    for (int round = 0; round < 2; ++round) {
      Registry registry({});
      for (const RegistryEntry& entry : entries)
        registry.Merge(entry, TimeAt(0));
      results.push_back(registry.Snapshot().m_members.at(0).m_announcement);
      std::reverse(entries.begin(), entries.end());
    }
    RC_ASSERT(results[0] == results[1]);
  }));
}

// Guards against new work for a leaving instance after a later announcement of
// the same incarnation.
TEST(Registry, LeavingIsFinalForItsIncarnation) {
  Registry registry({});
  registry.Merge(MakeEntry(1, 1), TimeAt(0));
  EXPECT_EQ(registry.Merge(MakeEntry(1, 2, UpstreamState::kLeaving), TimeAt(1)),
            MergeOutcome::kLeft);
  EXPECT_EQ(registry.Merge(MakeEntry(1, 3), TimeAt(2)), MergeOutcome::kFinal);
  EXPECT_EQ(registry.Snapshot().m_members[0].m_announcement.m_state,
            UpstreamState::kLeaving);
  EXPECT_EQ(registry.Merge(MakeEntry(2, 0), TimeAt(3)),
            MergeOutcome::kAppeared);
}

// Guards against a Leaving announcement being ignored because it was relayed
// late.
TEST(Registry, LateLeavingIsAcceptedAndOtherLateAnnouncementsAreNot) {
  Registry registry({});
  registry.Merge(MakeEntry(1, 1), TimeAt(0));
  EXPECT_EQ(
      registry.Merge(MakeEntry(1, 3, UpstreamState::kServing, 2000), TimeAt(1)),
      MergeOutcome::kTooLate);
  EXPECT_EQ(
      registry.Merge(MakeEntry(1, 2, UpstreamState::kLeaving, 9000), TimeAt(2)),
      MergeOutcome::kLeft);
  EXPECT_TRUE(registry.Snapshot().m_members.empty());
}

// Guards against the extension of a lease by the delay of a relay.
TEST(Registry, LeaseStartsAtReceiptMinusAge) {
  Registry registry({});
  registry.Merge(MakeEntry(1, 1, UpstreamState::kServing, 1500), TimeAt(0));
  EXPECT_TRUE(registry.Expire(TimeAt(499)).empty());
  EXPECT_EQ(registry.Expire(TimeAt(500)).size(), 1U);
  EXPECT_TRUE(registry.Snapshot().m_members.empty());
}

// Guards against a delayed message from a suspended peer restoring an expired
// instance, and against records of expired instances that are never deleted.
TEST(Registry, ExpiredInstanceIsRetainedThenDeleted) {
  Registry registry({.m_expired_retention = milliseconds(10000)});
  registry.Merge(MakeEntry(4, 7), TimeAt(0));
  registry.Expire(TimeAt(2000));
  EXPECT_EQ(registry.Merge(MakeEntry(4, 6), TimeAt(2500)),
            MergeOutcome::kOlder);
  EXPECT_EQ(registry.Merge(MakeEntry(3, 9), TimeAt(2500)),
            MergeOutcome::kOlder);
  registry.Expire(TimeAt(12000));
  EXPECT_EQ(registry.Merge(MakeEntry(3, 9), TimeAt(12001)),
            MergeOutcome::kAppeared);
}

TEST(Registry, FullRegistryRefusesNewInstances) {
  Registry registry({.m_max_instances = 1});
  registry.Merge(MakeEntry(1, 1), TimeAt(0));
  EXPECT_EQ(registry.Merge(MakeEntry(1, 1, UpstreamState::kServing, 0, "other"),
                           TimeAt(0)),
            MergeOutcome::kFull);
}

// Guards against a missing load report being read as a report of zero load.
TEST(Registry, AnnouncementsWithoutALoadReportKeepThePreviousOne) {
  Registry registry({});
  RegistryEntry with_report = MakeEntry(1, 1);
  with_report.m_announcement.m_in_progress = 2;
  registry.Merge(with_report, TimeAt(0));
  registry.Merge(MakeEntry(1, 2), TimeAt(500));
  const Member member = registry.Snapshot().m_members.at(0);
  EXPECT_EQ(member.m_reported_in_progress, 2);
  EXPECT_EQ(member.m_reported_at, TimeAt(0));
  registry.Merge(MakeEntry(2, 0), TimeAt(600));
  EXPECT_EQ(registry.Snapshot().m_members.at(0).m_reported_in_progress,
            std::nullopt);
}

// Guards against a delta that exceeds the limits of its receiver, and against
// changes that are lost between two pages.
TEST(Registry, DeltaPagesAreBoundedAndContainAllChanges) {
  Registry registry({});
  constexpr int kInstances = 9000;
  for (int i = 0; i < kInstances; ++i) {
    registry.Merge(MakeEntry(1, 1, UpstreamState::kServing, 0,
                             "instance-" + std::to_string(i)),
                   TimeAt(0));
  }
  Registry peer({});
  std::uint64_t cursor = 0;
  bool is_complete = false;
  while (!is_complete) {
    const DeltaPage page = registry.DeltaSince(cursor, {"e1"}, 1, TimeAt(100));
    ASSERT_TRUE(DecodeRegistryDelta(Encode(page.m_delta)));
    ASSERT_GT(page.m_end_version, cursor);
    for (const RegistryEntry& entry : page.m_delta.m_entries)
      peer.Merge(entry, TimeAt(100));
    cursor = page.m_end_version;
    is_complete = page.m_is_complete;
  }
  EXPECT_EQ(peer.Snapshot().m_members, registry.Snapshot().m_members);
  EXPECT_TRUE(registry.DeltaSince(cursor, {"e1"}, 1, TimeAt(100))
                  .m_delta.m_entries.empty());
}

// Guards against hosts whose registries never converge. Within the leases, the
// result must not depend on the order or repetition of announcements.
TEST(Registry, MergeOrderDoesNotMatter) {
  const bool holds = CheckWithSeed(11, [] {
    const auto pairs =
        *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint8_t>(1, 4),
                          rc::gen::inRange<std::uint8_t>(0, 6)));
    // The last announcement of each incarnation, with sequence 5, is Leaving.
    std::vector<RegistryEntry> entries;
    entries.reserve(pairs.size());
    for (const auto& [incarnation, sequence] : pairs)
      entries.push_back(MakeEntry(
          incarnation, sequence,
          sequence == 5 ? UpstreamState::kLeaving : UpstreamState::kServing));
    Registry forward({});
    Registry backward({});
    for (const RegistryEntry& entry : entries)
      forward.Merge(entry, TimeAt(0));
    for (auto it = entries.rbegin(); it != entries.rend(); ++it)
      backward.Merge(*it, TimeAt(0));
    RC_ASSERT(forward.Snapshot().m_members == backward.Snapshot().m_members);
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace jujube::membership
