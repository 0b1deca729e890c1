// Random schedules of replacements, lost disks, cuts and restarts of control
// hosts, with the membership changes that MemberPresence and PlanMembership
// lead to.

#include <algorithm>
#include <array>
#include <random>

#include "consensus/member_presence.h"
#include "consensus/membership_plan.h"
#include "consensus/peer_contacts.h"
#include "unit/consensus_cluster.h"

namespace jujube::consensus {
namespace {

constexpr std::size_t kHosts = 5;
constexpr std::size_t kTolerated = 2;  // hosts that may be lost at once
constexpr milliseconds kStep{10};
constexpr milliseconds kPlanInterval{200};
// A host counts again this long after its start.
constexpr milliseconds kCatchUpTime{4000};
// After the last fault, the group must work again within this time.
constexpr milliseconds kRecoveryTime{15000};

class MembershipSchedule {
 public:
  explicit MembershipSchedule(std::uint64_t seed)
      : m_cluster(kHosts, kHosts, Options()), m_random(seed) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      m_positions[i].m_node = i;
      m_presence.emplace_back(m_cluster.Now());
    }
    Run(milliseconds(3000));
  }

  void RunRandomFault() {
    switch (Random(10)) {
      case 0:
      case 1:
      case 2:
        return Replace(Random(kHosts), Random(2) == 0);
      case 3:
      case 4:
        return RestartWithEmptyDisk(Random(kHosts));
      case 5:
        return CutOff(Random(kHosts));
      case 6:
        return SplitInTwo();
      case 7:
        return RestartLeader();
      case 8:
        return RestartAll();
      default:
        return Run(milliseconds(Random(6000)));
    }
  }

  // Right after a commit, as many disks are lost as may be at once. Returns
  // false, with a failure of the test, if a committed entry is lost with them
  // or the group does not work again.
  bool SurvivesFinalFault() {
    Run(kCatchUpTime);
    const std::optional<std::size_t> leader = m_cluster.Leader();
    EXPECT_TRUE(leader) << "no leader before the final fault";
    if (!leader)
      return false;
    ExpectOnlyHostsInUseVote(*leader);
    m_cluster.Propose(*leader, "acknowledged");
    m_cluster.RunUntilIdle();
    std::array<std::size_t, kHosts> order{0, 1, 2, 3, 4};
    std::shuffle(order.begin(), order.end(), m_random);
    for (std::size_t i = 0; i < kTolerated; ++i)
      LoseDisk(m_positions[order[i]].m_node);
    Run(milliseconds(1000));
    for (std::size_t i = 0; i < kTolerated; ++i)
      StartNode(m_positions[order[i]].m_node);
    Run(kRecoveryTime);
    return Works();
  }

 private:
  // One of the hosts of the deployment. Its node changes when it is replaced.
  struct Position {
    std::size_t m_node = 0;
    // Time of calm after which the host is not lost any more.
    milliseconds m_lost_for{0};
  };

  static ReplicaOptions Options() {
    return {.m_heartbeat = milliseconds(100),
            .m_election_timeout = milliseconds(600),
            .m_retained_entries = 8};
  }

  std::size_t Random(std::size_t end) { return m_random() % end; }

  // Whether one more host may be lost, beside those that are lost already.
  bool MayLose(std::size_t position) const {
    const auto lost = static_cast<std::size_t>(std::count_if(
        m_positions.begin(), m_positions.end(), [](const Position& other) {
          return other.m_lost_for > milliseconds(0);
        }));
    return m_positions[position].m_lost_for > milliseconds(0) ||
           lost < kTolerated;
  }

  void MarkLost(std::size_t position) {
    m_positions[position].m_lost_for = kCatchUpTime;
  }

  void StartNode(std::size_t node) {
    m_cluster.Start(node);
    m_presence[node] = MemberPresence(m_cluster.Now());
  }

  void LoseDisk(std::size_t node) {
    m_cluster.Stop(node);
    m_cluster.LoseDisk(node);
  }

  std::size_t AddNode() {
    const std::size_t node = m_cluster.AddNode();
    m_presence.emplace_back(m_cluster.Now());
    return node;
  }

  // Planned: the new host starts first, and the old one says that it stops.
  void Replace(std::size_t position, bool is_planned) {
    if (!MayLose(position))
      return;
    const std::size_t old_node = m_positions[position].m_node;
    if (is_planned) {
      m_positions[position].m_node = AddNode();
      Run(milliseconds(2000));
      for (std::size_t i = 0; i < m_presence.size(); ++i) {
        if (m_cluster.CanReach(old_node, i))
          m_presence[i].OnStopping(m_cluster.NodeAt(old_node).m_id,
                                   m_cluster.NodeAt(old_node).m_starts);
      }
      m_cluster.Stop(old_node);
      m_positions[position].m_lost_for = kCatchUpTime - milliseconds(2000);
      return;
    }
    m_cluster.Stop(old_node);
    MarkLost(position);
    Run(milliseconds(Random(1500)));
    m_positions[position].m_node = AddNode();
    MarkLost(position);
  }

  void RestartWithEmptyDisk(std::size_t position) {
    if (!MayLose(position))
      return;
    const std::size_t node = m_positions[position].m_node;
    LoseDisk(node);
    MarkLost(position);
    Run(milliseconds(Random(2000)));
    StartNode(node);
    MarkLost(position);
  }

  void CutOff(std::size_t position) {
    if (!MayLose(position))
      return;
    const std::size_t node = m_positions[position].m_node;
    MarkLost(position);
    m_cluster.NodeAt(node).m_isolated = true;
    Run(milliseconds(Random(6000)));
    m_cluster.NodeAt(node).m_isolated = false;
    MarkLost(position);
  }

  void SplitInTwo() {
    m_is_calm = false;
    const std::size_t mask = Random(1U << kHosts);
    for (std::size_t i = 0; i < kHosts; ++i)
      m_cluster.NodeAt(m_positions[i].m_node).m_partition =
          static_cast<int>((mask >> i) & 1U);
    Run(milliseconds(Random(5000)));
    for (const Position& position : m_positions)
      m_cluster.NodeAt(position.m_node).m_partition = 0;
    Run(milliseconds(2000));  // election
    m_is_calm = true;
  }

  void RestartLeader() {
    const std::optional<std::size_t> leader = m_cluster.Leader();
    for (std::size_t i = 0; leader && i < kHosts; ++i) {
      if (m_positions[i].m_node != *leader || !MayLose(i))
        continue;
      m_cluster.Stop(*leader);
      MarkLost(i);
      Run(milliseconds(Random(1000)));
      StartNode(*leader);
      MarkLost(i);
    }
  }

  void RestartAll() {
    m_is_calm = false;
    for (const Position& position : m_positions)
      m_cluster.Stop(position.m_node);
    Run(milliseconds(Random(1000)));
    for (const Position& position : m_positions)
      StartNode(position.m_node);
    Run(milliseconds(2000));  // election
    m_is_calm = true;
  }

  void Run(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += kStep) {
      m_cluster.RunFor(kStep);
      m_time += kStep;
      if (m_time % milliseconds(500) == milliseconds(0))
        Introduce();
      if (m_time % kPlanInterval == milliseconds(0))
        Plan();
      for (Position& position : m_positions) {
        if (m_is_calm && position.m_lost_for > milliseconds(0))
          position.m_lost_for -= kStep;
      }
    }
  }

  void Introduce() {
    for (std::size_t from = 0; from < m_presence.size(); ++from) {
      for (std::size_t to = 0; to < m_presence.size(); ++to) {
        if (!m_cluster.CanReach(from, to))
          continue;
        const Cluster::Node& sender = m_cluster.NodeAt(from);
        m_presence[to].OnRun(sender.m_id, sender.m_starts);
        m_presence[to].OnHeard(sender.m_id, m_cluster.Now());
      }
    }
  }

  void Plan() {
    for (std::size_t i = 0; i < m_presence.size(); ++i) {
      if (!m_cluster.NodeAt(i).IsRunning())
        continue;
      m_presence[i].OnUpdate(m_cluster.Now());
      if (m_cluster.Status(i).m_role == Role::kLeader)
        PlanAsLeader(i);
    }
  }

  void PlanAsLeader(std::size_t leader) {
    const Cluster::Node& node = m_cluster.NodeAt(leader);
    MembershipFacts facts{.m_members = m_cluster.Status(leader).m_voters,
                          .m_heard = {node.m_id},
                          .m_caught_up = node.m_replica->CaughtUpLearners(),
                          .m_full_voters = kHosts};
    for (std::size_t i = 0; i < m_presence.size(); ++i) {
      const VoterId& other = m_cluster.NodeAt(i).m_id;
      if (i != leader && PresenceAt(leader, other) == Presence::kHeard)
        facts.m_heard.push_back(other);
    }
    for (const VoterId& voter : facts.m_members.m_voters) {
      if (voter != node.m_id && PresenceAt(leader, voter) == Presence::kSilent)
        facts.m_silent.push_back(voter);
    }
    const auto change = PlanMembership(facts);
    if (change)
      m_cluster.Step(leader, ChangeMembership{.m_token = ++m_last_token,
                                              .m_step = change->m_step,
                                              .m_replica = change->m_replica});
  }

  Presence PresenceAt(std::size_t node, const VoterId& other) const {
    return m_presence[node].Of(other, m_cluster.Now());
  }

  void ExpectOnlyHostsInUseVote(std::size_t leader) {
    for (const VoterId& voter : m_cluster.Status(leader).m_voters.m_voters) {
      EXPECT_TRUE(std::any_of(m_positions.begin(), m_positions.end(),
                              [&](const Position& position) {
                                return m_cluster.NodeAt(position.m_node).m_id ==
                                       voter;
                              }))
          << voter.m_host.m_value << " is gone and still a voter";
    }
  }

  bool Works() {
    const std::uint64_t committed = m_cluster.LastCommittedIndex();
    const std::optional<std::size_t> leader = m_cluster.Leader();
    EXPECT_TRUE(leader) << "no leader after the final fault";
    if (!leader)
      return false;
    EXPECT_GE(m_cluster.Status(*leader).m_applied_index, committed)
        << "a committed entry is lost";
    m_cluster.Propose(*leader, "last");
    Run(milliseconds(1000));
    EXPECT_GT(m_cluster.LastCommittedIndex(), committed);
    return !testing::Test::HasFailure();
  }

  Cluster m_cluster;
  std::mt19937_64 m_random;
  std::array<Position, kHosts> m_positions;
  std::vector<MemberPresence> m_presence;  // by node
  milliseconds m_time{0};
  // While the hosts are split or all down, nobody can catch up.
  bool m_is_calm = true;
  std::uint64_t m_last_token = 1U << 30U;
};

// Guards against a group that needs the votes of hosts that are gone: a
// replacement that does not become a voter in time, and a removed host that
// stays one.
TEST(MembershipSchedule, ToleratedLossesNeverEndTheGroup) {
  constexpr std::uint64_t kSchedules = 200;
  constexpr int kFaults = 20;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MembershipSchedule schedule(seed);
    for (int i = 0; i < kFaults; ++i)
      schedule.RunRandomFault();
    if (!schedule.SurvivesFinalFault())
      return;
  }
}

}  // namespace
}  // namespace jujube::consensus
