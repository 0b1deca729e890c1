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

MonoTime At(int ms) {
  return MonoTime(milliseconds(1000000 + ms));
}

RegistryEntry Entry(std::uint64_t incarnation,
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

// Guards against a reordered or replayed announcement undoing a newer one.
TEST(Registry, OnlyAHigherIncarnationAndSequenceReplaces) {
  Registry registry({});
  EXPECT_EQ(registry.Merge(Entry(2, 5), At(0)), MergeOutcome::kAppeared);
  EXPECT_EQ(registry.Merge(Entry(2, 6), At(1)), MergeOutcome::kRefreshed);
  const RegistrySnapshot before = registry.Snapshot();
  EXPECT_EQ(registry.Merge(Entry(2, 6), At(2)), MergeOutcome::kOlder);
  EXPECT_EQ(registry.Merge(Entry(2, 5), At(2)), MergeOutcome::kOlder);
  EXPECT_EQ(registry.Merge(Entry(1, 99), At(2)), MergeOutcome::kOlder);
  EXPECT_EQ(registry.Snapshot(), before);
  EXPECT_EQ(registry.Merge(Entry(3, 0), At(3)), MergeOutcome::kAppeared);
}

// Guards against a leaving instance getting new work again.
TEST(Registry, LeavingIsFinalForItsIncarnation) {
  Registry registry({});
  registry.Merge(Entry(1, 1), At(0));
  EXPECT_EQ(registry.Merge(Entry(1, 2, UpstreamState::kLeaving), At(1)),
            MergeOutcome::kLeft);
  EXPECT_EQ(registry.Merge(Entry(1, 3), At(2)), MergeOutcome::kFinal);
  EXPECT_EQ(registry.Snapshot().m_members[0].m_announcement.m_state,
            UpstreamState::kLeaving);
  EXPECT_EQ(registry.Merge(Entry(2, 0), At(3)), MergeOutcome::kAppeared);
}

// Guards against a Leaving being ignored because its relay was slow.
TEST(Registry, LateLeavingIsAcceptedAndOtherLateAnnouncementsAreNot) {
  Registry registry({});
  registry.Merge(Entry(1, 1), At(0));
  EXPECT_EQ(registry.Merge(Entry(1, 3, UpstreamState::kServing, 2000), At(1)),
            MergeOutcome::kTooLate);
  EXPECT_EQ(registry.Merge(Entry(1, 2, UpstreamState::kLeaving, 9000), At(2)),
            MergeOutcome::kLeft);
  EXPECT_TRUE(registry.Snapshot().m_members.empty());
}

// Guards against a relay extending a lease.
TEST(Registry, LeaseStartsAtReceiptMinusAge) {
  Registry registry({});
  registry.Merge(Entry(1, 1, UpstreamState::kServing, 1500), At(0));
  EXPECT_TRUE(registry.Expire(At(499)).empty());
  EXPECT_EQ(registry.Expire(At(500)).size(), 1U);
  EXPECT_TRUE(registry.Snapshot().m_members.empty());
}

// Guards against a message from a frozen peer reviving an expired instance, and
// against remembering absent instances for ever.
TEST(Registry, ExpiredInstanceIsRememberedThenForgotten) {
  Registry registry({.m_memory = milliseconds(10000)});
  registry.Merge(Entry(4, 7), At(0));
  registry.Expire(At(2000));
  EXPECT_EQ(registry.Merge(Entry(4, 6), At(2500)), MergeOutcome::kOlder);
  EXPECT_EQ(registry.Merge(Entry(3, 9), At(2500)), MergeOutcome::kOlder);
  registry.Expire(At(12000));
  EXPECT_EQ(registry.Merge(Entry(3, 9), At(12001)), MergeOutcome::kAppeared);
}

TEST(Registry, FullRegistryRefusesNewInstances) {
  Registry registry({.m_max_instances = 1});
  registry.Merge(Entry(1, 1), At(0));
  EXPECT_EQ(
      registry.Merge(Entry(1, 1, UpstreamState::kServing, 0, "other"), At(0)),
      MergeOutcome::kFull);
}

// Guards against a missing report being taken for a new report of no load.
TEST(Registry, LoadReportOutlivesAnnouncementsWithoutOne) {
  Registry registry({});
  RegistryEntry with_report = Entry(1, 1);
  with_report.m_announcement.m_in_progress = 2;
  registry.Merge(with_report, At(0));
  registry.Merge(Entry(1, 2), At(500));
  const Member kept = registry.Snapshot().m_members.at(0);
  EXPECT_EQ(kept.m_reported_in_progress, 2);
  EXPECT_EQ(kept.m_reported_at, At(0));
  registry.Merge(Entry(2, 0), At(600));
  EXPECT_EQ(registry.Snapshot().m_members.at(0).m_reported_in_progress,
            std::nullopt);
}

// Guards against a delta that its receiver refuses, and against one that loses
// changes at the bound.
TEST(Registry, DeltasAreBoundedAndCompleteTogether) {
  Registry registry({});
  constexpr int kInstances = 9000;
  for (int i = 0; i < kInstances; ++i) {
    registry.Merge(Entry(1, 1, UpstreamState::kServing, 0,
                         "instance-" + std::to_string(i)),
                   At(0));
  }
  Registry peer({});
  std::uint64_t cursor = 0;
  bool is_complete = false;
  while (!is_complete) {
    const DeltaPage page = registry.DeltaSince(cursor, {"e1"}, 1, At(100));
    ASSERT_TRUE(DecodeRegistryDelta(Encode(page.m_delta)));
    ASSERT_GT(page.m_upto, cursor);
    for (const RegistryEntry& entry : page.m_delta.m_entries)
      peer.Merge(entry, At(100));
    cursor = page.m_upto;
    is_complete = page.m_is_complete;
  }
  EXPECT_EQ(peer.Snapshot().m_members, registry.Snapshot().m_members);
  EXPECT_TRUE(registry.DeltaSince(cursor, {"e1"}, 1, At(100))
                  .m_delta.m_entries.empty());
}

// Guards against hosts that disagree for ever: the order and repetition of
// announcements within their leases do not matter.
TEST(Registry, MergeOrderDoesNotMatter) {
  const bool holds = CheckWithSeed(11, [] {
    const auto pairs =
        *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
            rc::gen::pair(rc::gen::inRange<std::uint8_t>(1, 4),
                          rc::gen::inRange<std::uint8_t>(0, 6)));
    // An upstream sends Leaving last: sequence 5 of each incarnation.
    std::vector<RegistryEntry> entries;
    entries.reserve(pairs.size());
    for (const auto& [incarnation, sequence] : pairs)
      entries.push_back(Entry(
          incarnation, sequence,
          sequence == 5 ? UpstreamState::kLeaving : UpstreamState::kServing));
    Registry forward({});
    Registry backward({});
    for (const RegistryEntry& entry : entries)
      forward.Merge(entry, At(0));
    for (auto it = entries.rbegin(); it != entries.rend(); ++it)
      backward.Merge(*it, At(0));
    RC_ASSERT(forward.Snapshot().m_members == backward.Snapshot().m_members);
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace jujube::membership
