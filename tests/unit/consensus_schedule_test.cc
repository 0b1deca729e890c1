#include <numeric>

#include <rapidcheck.h>

#include "unit/consensus_cluster.h"

namespace jujube::consensus {
namespace {

constexpr std::size_t kVoters = 3;
constexpr std::size_t kNodes = 4;
constexpr std::size_t kStepsOfASchedule = 6000;

ReplicaOptions ScheduleOptions() {
  return {.m_max_messages_in_flight = 3,
          .m_max_message_entries = 4,
          .m_snapshot_chunk_bytes = 40,
          .m_entries_kept = 3};
}

// One membership change that keeps at least three voters.
void ChangeSomeMember(Cluster* cluster, std::size_t leader, std::size_t pick) {
  const Voters voters = cluster->Status(leader).m_voters;
  const std::size_t replica = pick % kNodes;
  const VoterId& id = cluster->At(replica).m_id;
  if (IsLearner(voters, id))
    cluster->Change(leader, MembershipStep::kPromote, replica);
  else if (!IsVoter(voters, id))
    cluster->Change(leader, MembershipStep::kAddLearner, replica);
  else if (voters.m_voters.size() > kVoters)
    cluster->Change(leader, MembershipStep::kRemove, replica);
}

void StepOfSchedule(Cluster* cluster, std::uint32_t choice) {
  const std::uint32_t kind = choice % 200;
  const std::size_t pick = choice / 200;
  const std::size_t node = pick % kNodes;
  const std::size_t waiting = cluster->m_network.size();
  const auto leader = cluster->Leader();
  if (kind < 90 && waiting > 0) {
    cluster->Deliver(pick % std::min<std::size_t>(waiting, 5));
  } else if (kind < 96 && waiting > 0) {
    cluster->Deliver(pick % waiting, true);
  } else if (kind < 102 && waiting > 0) {
    cluster->m_network.erase(cluster->m_network.begin() +
                             static_cast<std::ptrdiff_t>(pick % waiting));
  } else if (kind < 118) {
    cluster->Advance(milliseconds(pick % 60));
  } else if (kind < 170) {
    cluster->RunJob(node);
  } else if (kind < 184) {
    if (leader)
      cluster->Propose(*leader, "command " + std::to_string(pick));
    // A leader that does not know of its successor tries as well.
    if (cluster->Status(node).m_role == Role::kLeader && node != leader)
      cluster->Propose(node, "late " + std::to_string(pick));
  } else if (kind < 185) {
    cluster->Crash(node, pick % 50);
  } else if (kind < 186) {
    cluster->At(node).m_isolated = true;
  } else if (kind < 189) {
    cluster->At(node).m_isolated = false;
  } else if (kind < 192) {
    cluster->TakeSnapshot(node);
  } else if (kind < 195) {
    cluster->Read(node);
  } else if (kind < 196) {
    if (leader)
      cluster->Step(*leader, Transfer{});
  } else if (kind < 199) {
    if (leader)
      ChangeSomeMember(cluster, *leader, pick);
  } else {
    auto& free = cluster->At(node).m_disk->m_free_bytes;
    free = free == UINT64_MAX ? pick % 100 : UINT64_MAX;
  }
}

// Logs match: if two logs hold the same index and term, they are the same up to
// there.
void ExpectMatchingLogs(Cluster* cluster) {
  std::map<std::pair<std::uint64_t, std::uint64_t>, LogEntry> known;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> before;
  for (std::size_t i = 0; i < kNodes; ++i) {
    cluster->At(i).m_replica.reset();
    cluster->At(i).m_store.reset();
    auto store =
        Store::Open(storage::FakeDiskRef{cluster->At(i).m_disk.get()}, {}, 1);
    ASSERT_TRUE(store) << store.error().m_message;
    std::uint64_t term = 0;
    for (const LogEntry& entry : store.value().TakeRecovered().m_entries) {
      const std::pair position(entry.m_index, entry.m_term);
      EXPECT_EQ(known.emplace(position, entry).first->second, entry);
      if (term > 0) {
        EXPECT_EQ(before.emplace(position, term).first->second, term);
      }
      term = entry.m_term;
    }
  }
}

// Guards against every loss of a committed entry, second leader, stale read and
// diverged log that a schedule of failures can cause. The cluster checks these
// at each step; at the end it must work again.
TEST(ConsensusSchedule, PropertiesHoldUnderRandomFailures) {
  std::uint64_t installs = 0;
  std::uint64_t commands = 0;
  std::vector<std::uint64_t> seeds(100);
  std::iota(seeds.begin(), seeds.end(), 1);
  // A rejected append whose hint lay below the confirmed index, and a part of
  // a snapshot that was repeated after a full disk.
  seeds.insert(seeds.end(), {167, 517});
  for (const std::uint64_t seed : seeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Cluster cluster(kVoters, kNodes, ScheduleOptions());
    const auto choices = rc::gen::container<std::vector<std::uint32_t>>(
                             kStepsOfASchedule, rc::gen::inRange<std::uint32_t>(
                                                    0, 200U * 1'000'000U))(
                             rc::Random(seed), rc::kNominalSize)
                             .value();
    for (const std::uint32_t choice : choices)
      StepOfSchedule(&cluster, choice);
    for (std::size_t i = 0; i < kNodes; ++i) {
      cluster.At(i).m_isolated = false;
      cluster.At(i).m_disk->m_free_bytes = UINT64_MAX;
    }
    const std::size_t leader = cluster.MustLead();
    cluster.Propose(leader, "last");
    cluster.Run(milliseconds(3000));
    const ReplicaStatus status = cluster.Status(leader);
    EXPECT_EQ(status.m_applied_index, status.m_last_index);
    for (std::size_t i = 0; i < kNodes; ++i) {
      installs += cluster.At(i).m_installs;
      if (!IsVoter(status.m_voters, cluster.At(i).m_id))
        continue;
      EXPECT_EQ(cluster.At(i).m_applied, status.m_applied_index);
      EXPECT_EQ(cluster.At(i).m_state, cluster.At(leader).m_state);
    }
    commands += status.m_applied_index;
    ExpectMatchingLogs(&cluster);
    if (HasFailure())
      return;
  }
  // The schedules reach what they are meant to reach.
  EXPECT_GT(installs, 10U);
  EXPECT_GT(commands, 1000U);
}

}  // namespace
}  // namespace jujube::consensus
