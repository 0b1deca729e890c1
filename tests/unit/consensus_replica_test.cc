#include "consensus/founding.h"
#include "consensus/start_registry.h"
#include "unit/consensus_cluster.h"

namespace jujube::consensus {
namespace {

const VoterId voter_a{{"c0"}, 100};
const VoterId voter_b{{"c1"}, 101};
const VoterId voter_c{{"c2"}, 102};
const Voters three_voters{.m_voters = {voter_a, voter_b, voter_c}};
constexpr MonoTime kStart{};

RestoredState Restored(std::uint64_t term, std::uint64_t entries) {
  RestoredState state{.m_state = {.m_term = term},
                      .m_snapshot = SnapshotInfo{.m_voters = three_voters}};
  for (std::uint64_t index = 1; index <= entries; ++index)
    state.m_entries.push_back({.m_index = index, .m_term = term});
  return state;
}

template <class T>
std::vector<T> SentMessages(const Actions& actions) {
  std::vector<T> messages;
  for (const Message& message : actions.m_send) {
    if (const T* typed_message = std::get_if<T>(&message))
      messages.push_back(*typed_message);
  }
  return messages;
}

// Makes replica A the leader of the next term: B grants it the pre-vote and the
// vote. Returns the actions of the last step.
Actions Elect(Replica* replica) {
  replica->Step(replica->NextDeadline(), Tick{});
  const std::uint64_t term = replica->Status().m_term + 1;
  const MonoTime now = replica->NextDeadline();
  replica->Step(now,
                MessageReceived{VoteReply{voter_b, voter_a, term, true, true}});
  replica->Step(now, SyncDone{1});
  return replica->Step(
      now, MessageReceived{VoteReply{voter_b, voter_a, term, false, true}});
}

// Guards against a second vote in the same term after a crash: a vote must be
// durable before it is sent.
TEST(ConsensusReplica, VoteIsSentOnlyAfterItIsSynced) {
  Replica replica(voter_a, {}, Restored(1, 2), kStart);
  const Actions requested = replica.Step(
      kStart, MessageReceived{VoteRequest{voter_b, voter_a, 2, 2, 1}});
  EXPECT_TRUE(requested.m_send.empty());
  ASSERT_TRUE(requested.m_persist);
  EXPECT_EQ(requested.m_persist->m_state, (HardState{2, voter_b}));
  const auto replies =
      SentMessages<VoteReply>(replica.Step(kStart, SyncDone{1}));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_TRUE(replies[0].m_granted);
  // Another candidate gets no vote in the same term.
  const auto second = SentMessages<VoteReply>(replica.Step(
      kStart, MessageReceived{VoteRequest{voter_c, voter_a, 2, 9, 1}}));
  EXPECT_FALSE(second.at(0).m_granted);
}

// Guards against a leader that lacks committed entries.
TEST(ConsensusReplica, CandidateWithAnOlderLogGetsNoVote) {
  for (const auto& [index, term] : {std::pair{1, 3}, std::pair{9, 2}}) {
    Replica replica(voter_a, {}, Restored(3, 2), kStart);
    VoteRequest request{voter_b, voter_a, 4};
    request.m_last_index = static_cast<std::uint64_t>(index);
    request.m_last_term = static_cast<std::uint64_t>(term);
    replica.Step(kStart, MessageReceived{request});
    const auto replies =
        SentMessages<VoteReply>(replica.Step(kStart, SyncDone{1}));
    EXPECT_FALSE(replies.at(0).m_granted);
  }
}

// Guards against acknowledging an entry that a crash of the follower can still
// lose.
TEST(ConsensusReplica, AppendIsConfirmedOnlyAfterItIsSynced) {
  Replica replica(voter_a, {}, Restored(1, 0), kStart);
  AppendRequest request{voter_b, voter_a, 1};
  request.m_entries = {{.m_index = 1, .m_term = 1}};
  request.m_commit_index = 1;
  const Actions received = replica.Step(kStart, MessageReceived{request});
  EXPECT_TRUE(received.m_send.empty());
  EXPECT_TRUE(received.m_apply.empty());
  const Actions synced =
      replica.Step(kStart, SyncDone{received.m_persist->m_number});
  EXPECT_EQ(SentMessages<AppendReply>(synced).at(0).m_match_index, 1U);
  EXPECT_EQ(synced.m_apply.size(), 1U);
}

// Guards against committing an entry of an earlier term because a majority
// stores it: a later leader without this entry could still replace it.
TEST(ConsensusReplica, OnlyEntriesOfCurrentTermAreCommittedByCounting) {
  Replica replica(voter_a, {}, Restored(1, 2), kStart);
  const Actions elected = Elect(&replica);
  ASSERT_EQ(replica.Status().m_role, Role::kLeader);
  const MonoTime now = replica.NextDeadline();
  replica.Step(now, SyncDone{elected.m_persist->m_number});
  AppendReply reply{voter_b, voter_a, 2, true, 2};
  EXPECT_TRUE(replica.Step(now, MessageReceived{reply}).m_apply.empty());
  EXPECT_EQ(replica.Status().m_commit_index, 0U);
  reply.m_match_index = 3;
  EXPECT_EQ(replica.Step(now, MessageReceived{reply}).m_apply.size(), 3U);
}

// Guards against a leader that counts its own copy of an entry towards the
// majority before that copy is durable.
TEST(ConsensusReplica, LeaderCountsItselfOnlyAfterItsSync) {
  Replica replica(voter_a, {}, Restored(1, 0), kStart);
  const Actions elected = Elect(&replica);
  const MonoTime now = replica.NextDeadline();
  replica.Step(now, MessageReceived{AppendReply{voter_b, voter_a, 2, true, 1}});
  EXPECT_EQ(replica.Status().m_commit_index, 0U);
  replica.Step(now, SyncDone{elected.m_persist->m_number});
  EXPECT_EQ(replica.Status().m_commit_index, 1U);
}

// Guards against a replica with a new folder that replies to messages for the
// folder it replaced.
TEST(ConsensusReplica, MessageToAnotherFolderIsDropped) {
  Replica replica(voter_a, {}, Restored(1, 0), kStart);
  const VoterId other_folder{{"c0"}, 555};
  const Actions actions = replica.Step(
      kStart, MessageReceived{VoteRequest{voter_b, other_folder, 7}});
  EXPECT_EQ(actions.m_wrong_folder_sender, voter_b);
  EXPECT_EQ(actions.m_persist, std::nullopt);
  EXPECT_EQ(replica.Status().m_term, 1U);
}

// Guards against a follower whose state is served as current although it lacks
// changes that its leader has committed.
TEST(ConsensusReplica, FollowerIsCurrentOnceItAppliedTheLeadersCommits) {
  Replica replica(voter_a, {}, Restored(1, 0), kStart);
  const MonoTime now = kStart + milliseconds(100);
  AppendRequest request{voter_b, voter_a, 2};
  request.m_entries = {{.m_index = 1, .m_term = 2}};
  request.m_commit_index = 2;
  const Actions first = replica.Step(now, MessageReceived{request});
  replica.Step(now, SyncDone{first.m_persist->m_number});
  EXPECT_EQ(replica.Status().m_applied_index, 1U);
  EXPECT_EQ(replica.Status().m_current_at, MonoTime{});
  request.m_previous_index = 1;
  request.m_previous_term = 2;
  request.m_entries = {{.m_index = 2, .m_term = 2}};
  const Actions second = replica.Step(now, MessageReceived{request});
  EXPECT_EQ(replica.Status().m_current_at, MonoTime{});
  replica.Step(now + milliseconds(5), SyncDone{second.m_persist->m_number});
  EXPECT_EQ(replica.Status().m_current_at, now);
}

// Guards against trusting the commit index of a new leader, which may be behind
// changes that the leader before it acknowledged.
TEST(ConsensusReplica, FollowerOfANewLeaderIsNotCurrentBeforeItsFirstCommit) {
  Replica replica(voter_a, {}, Restored(1, 1), kStart);
  AppendRequest request{voter_b, voter_a, 2};
  request.m_previous_index = 1;
  request.m_previous_term = 1;
  request.m_commit_index = 1;
  replica.Step(kStart + milliseconds(100), MessageReceived{request});
  EXPECT_EQ(replica.Status().m_applied_index, 1U);
  EXPECT_EQ(replica.Status().m_current_at, MonoTime{});
}

// Guards against an age that starts again with each candidacy of an isolated
// replica, so that its subscribers never look for another one.
TEST(ConsensusCluster, IsolatedReplicasStopBeingCurrent) {
  Cluster cluster(3, 3);
  const std::size_t leader = cluster.ElectLeader();
  const std::size_t follower = (leader + 1) % 3;
  for (const std::size_t isolated : {leader, follower}) {
    const auto age = [&] {
      return cluster.Now() - cluster.Status(isolated).m_current_at;
    };
    EXPECT_LT(age(), milliseconds(300));
    cluster.NodeAt(isolated).m_isolated = true;
    cluster.RunFor(milliseconds(6000));
    EXPECT_GE(age(), milliseconds(6000));
    cluster.NodeAt(isolated).m_isolated = false;
    cluster.RunFor(milliseconds(3000));
  }
}

// Guards against appending entries that do not follow the previous index.
TEST(ConsensusReplica, EntriesOutOfSequenceAreIgnored) {
  Replica replica(voter_a, {}, Restored(1, 0), kStart);
  AppendRequest request{voter_b, voter_a, 1};
  request.m_entries = {{.m_index = 5, .m_term = 1}};
  EXPECT_EQ(replica.Step(kStart, MessageReceived{request}), Actions{});
}

// Guards against repeated split votes.
TEST(ConsensusReplica, ElectionTimeoutsDiffer) {
  std::set<MonoTime> deadlines;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const Replica replica(voter_a, {.m_random_seed = seed}, Restored(1, 0),
                          kStart);
    deadlines.insert(replica.NextDeadline());
    EXPECT_GE(replica.NextDeadline(), kStart + milliseconds(500));
    EXPECT_LT(replica.NextDeadline(), kStart + milliseconds(1000));
  }
  EXPECT_EQ(deadlines.size(), 20U);
}

// Guards against unbounded memory use for a follower that does not reply.
TEST(ConsensusReplica, MessagesInFlightAreBounded) {
  Replica replica(voter_a, {.m_max_messages_in_flight = 4}, Restored(1, 0),
                  kStart);
  Elect(&replica);
  const MonoTime now = replica.NextDeadline();
  replica.Step(now, MessageReceived{AppendReply{voter_b, voter_a, 2, true, 1}});
  std::size_t sent = 0;
  for (int i = 0; i < 20; ++i)
    sent +=
        SentMessages<AppendRequest>(replica.Step(now, Propose{1, "x"})).size();
  EXPECT_EQ(sent, 4U);
}

// Guards against unbounded memory use by proposals while no majority replies.
TEST(ConsensusReplica, UncommittedBytesAreBounded) {
  Replica replica(voter_a, {.m_max_uncommitted_bytes = 10}, Restored(1, 0),
                  kStart);
  Elect(&replica);
  const MonoTime now = replica.NextDeadline();
  replica.Step(now, Propose{1, "12345678"});
  EXPECT_EQ(replica.Step(now, Propose{2, "12345678"}).m_refused.size(), 1U);
}

// Guards against an election forced by a replica that reconnects.
TEST(ConsensusCluster, IsolatedReplicaDoesNotRaiseItsTerm) {
  Cluster cluster(3, 3);
  const std::size_t leader = cluster.ElectLeader();
  const std::size_t other = (leader + 1) % 3;
  const std::uint64_t term = cluster.Status(leader).m_term;
  cluster.NodeAt(other).m_isolated = true;
  cluster.RunFor(milliseconds(10000));
  cluster.NodeAt(other).m_isolated = false;
  cluster.RunFor(milliseconds(2000));
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.Status(other).m_term, term);
}

// Guards against deposing a working leader for a candidate that has lost
// contact to it.
TEST(ConsensusReplica, VoteRequestIsIgnoredWhileLeaderIsReachable) {
  Replica replica(voter_a, {}, Restored(1, 0), kStart);
  replica.Step(kStart, MessageReceived{AppendRequest{voter_b, voter_a, 1}});
  const Actions actions =
      replica.Step(kStart, MessageReceived{VoteRequest{voter_c, voter_a, 5}});
  EXPECT_EQ(actions, Actions{});
  EXPECT_EQ(replica.Status().m_term, 1U);
}

// Guards against committed proposals and completed reads on a leader without a
// majority.
TEST(ConsensusCluster, IsolatedLeaderStepsDownAndAcknowledgesNothing) {
  Cluster cluster(3, 3);
  const std::size_t leader = cluster.ElectLeader();
  Cluster::Node& node = cluster.NodeAt(leader);
  const std::uint64_t applied = node.m_applied_index;
  node.m_isolated = true;
  cluster.Propose(leader, "lost");
  const std::uint64_t read = cluster.Read(leader);
  cluster.RunFor(milliseconds(1000));
  EXPECT_TRUE(node.m_lost_quorum);
  EXPECT_NE(cluster.Status(leader).m_role, Role::kLeader);
  EXPECT_EQ(node.m_applied_index, applied);
  EXPECT_FALSE(node.m_completed_reads.contains(read));
  EXPECT_EQ(node.m_refused.size(), 1U);
}

// Guards against a suspended leader that acts on the first event after it
// resumes.
TEST(ConsensusReplica, ResumedLeaderRefusesTheFirstProposal) {
  Replica replica(voter_a, {}, Restored(1, 0), kStart);
  Elect(&replica);
  const Actions actions =
      replica.Step(replica.NextDeadline() + milliseconds(600), Propose{1, "x"});
  EXPECT_EQ(actions.m_refused.size(), 1U);
  EXPECT_TRUE(actions.m_role->m_lost_quorum);
}

TEST(ConsensusCluster, ReadCompletesOnceMajorityConfirmsLeader) {
  Cluster cluster(3, 3);
  const std::size_t leader = cluster.ElectLeader();
  const std::uint64_t read = cluster.Read(leader);
  EXPECT_FALSE(cluster.NodeAt(leader).m_completed_reads.contains(read));
  cluster.RunUntilIdle();
  EXPECT_TRUE(cluster.NodeAt(leader).m_completed_reads.contains(read));
}

// Guards against a read that is confirmed by a reply to an earlier round.
TEST(ConsensusReplica, ReadNeedsARoundThatStartedAfterIt) {
  Replica replica(voter_a, {}, Restored(1, 0), kStart);
  const Actions elected = Elect(&replica);
  const MonoTime now = replica.NextDeadline();
  replica.Step(now, SyncDone{elected.m_persist->m_number});
  AppendReply reply{voter_b, voter_a, 2, true, 1};
  replica.Step(now, MessageReceived{reply});
  replica.Step(now, ReadBarrier{7});
  EXPECT_TRUE(
      replica.Step(now, MessageReceived{reply}).m_completed_reads.empty());
  replica.Step(now, ReadBarrier{8});
  reply.m_read_round = 1;
  EXPECT_EQ(replica.Step(now, MessageReceived{reply}).m_completed_reads,
            std::vector<std::uint64_t>{7});
  reply.m_read_round = 2;
  EXPECT_EQ(replica.Step(now, MessageReceived{reply}).m_completed_reads,
            std::vector<std::uint64_t>{8});
}

// Guards against a planned stop that leaves the log without a leader for an
// election timeout.
TEST(ConsensusCluster, TransferMovesLeadershipWithoutATimeout) {
  Cluster cluster(3, 3);
  const std::size_t leader = cluster.ElectLeader();
  const std::size_t to = (leader + 2) % 3;
  cluster.Step(leader, TransferLeadership{.m_to = cluster.NodeAt(to).m_id});
  cluster.Propose(leader, "during the transfer");
  EXPECT_EQ(cluster.NodeAt(leader).m_refused.size(), 1U);
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Leader(), to);
}

// Guards against concurrent membership changes, whose majorities need not
// overlap.
TEST(ConsensusCluster, MembershipChangesOneStepAtATime) {
  Cluster cluster(3, 5);
  const std::size_t leader = cluster.ElectLeader();
  cluster.ChangeMember(leader, MembershipStep::kAddLearner, 3);
  cluster.ChangeMember(leader, MembershipStep::kAddLearner, 4);
  ASSERT_EQ(cluster.NodeAt(leader).m_refused.size(), 1U);
  cluster.RunUntilIdle();
  cluster.ChangeMember(leader, MembershipStep::kAddLearner, 4);
  EXPECT_EQ(cluster.NodeAt(leader).m_refused.size(), 1U);
}

// Guards against a new voter that lacks entries committed before it joined.
TEST(ConsensusCluster, LearnerIsPromotedOnlyAfterCatchingUp) {
  Cluster cluster(3, 4);
  const std::size_t leader = cluster.ElectLeader();
  cluster.NodeAt(3).m_isolated = true;
  cluster.ChangeMember(leader, MembershipStep::kAddLearner, 3);
  cluster.RunUntilIdle();
  cluster.ChangeMember(leader, MembershipStep::kPromote, 3);
  ASSERT_EQ(cluster.NodeAt(leader).m_refused.size(), 1U);
  EXPECT_EQ(cluster.Status(leader).m_voters.m_voters.size(), 3U);
  cluster.NodeAt(3).m_isolated = false;
  cluster.RunFor(milliseconds(200));
  cluster.ChangeMember(leader, MembershipStep::kPromote, 3);
  cluster.RunFor(milliseconds(200));
  EXPECT_EQ(cluster.Status(3).m_voters.m_voters.size(), 4U);
}

// Guards against a learner that counts towards the majority or starts an
// election.
TEST(ConsensusCluster, LearnerHasNoVote) {
  Cluster cluster(1, 2);
  const std::size_t leader = cluster.ElectLeader();
  cluster.ChangeMember(leader, MembershipStep::kAddLearner, 1);
  cluster.RunUntilIdle();
  cluster.NodeAt(1).m_isolated = true;
  cluster.RunFor(milliseconds(5000));
  EXPECT_EQ(cluster.Leader(), 0U);
  EXPECT_EQ(cluster.Status(1).m_role, Role::kFollower);
}

// Guards against a host that counts as two voters after its disk was replaced.
TEST(ConsensusReplica, SecondFolderOfAHostIsNotPromoted) {
  RestoredState state = Restored(1, 0);
  state.m_snapshot->m_voters.m_learners = {VoterId{{"c1"}, 900}};
  Replica replica(voter_a, {}, state, kStart);
  const Actions elected = Elect(&replica);
  const MonoTime now = replica.NextDeadline();
  replica.Step(now, SyncDone{elected.m_persist->m_number});
  replica.Step(now, MessageReceived{AppendReply{voter_b, voter_a, 2, true, 1}});
  const Actions actions = replica.Step(
      now, ChangeMembership{1, MembershipStep::kPromote, {{"c1"}, 900}});
  EXPECT_EQ(actions.m_refused.at(0).m_error.m_code, ErrorCode::kConflict);
}

// Guards against a leader that keeps its role after it is no longer a voter.
TEST(ConsensusCluster, RemovedLeaderStepsDown) {
  Cluster cluster(3, 3);
  const std::size_t leader = cluster.ElectLeader();
  cluster.ChangeMember(leader, MembershipStep::kRemove, leader);
  cluster.RunUntilIdle();
  EXPECT_NE(cluster.Status(leader).m_role, Role::kLeader);
  EXPECT_NE(cluster.ElectLeader(), leader);
}

// Guards against a replica that cannot catch up because the leader has already
// dropped the entries it lacks.
TEST(ConsensusCluster, LaggingReplicaReceivesSnapshotInChunks) {
  Cluster cluster(3, 3,
                  {.m_snapshot_chunk_bytes = 40, .m_retained_entries = 2});
  const std::size_t leader = cluster.ElectLeader();
  const std::size_t other = (leader + 1) % 3;
  cluster.NodeAt(other).m_isolated = true;
  for (int i = 0; i < 300; ++i)
    cluster.Propose(leader, std::to_string(i));
  cluster.RunFor(milliseconds(200));
  cluster.TakeSnapshot(leader);
  cluster.RunUntilIdle();
  EXPECT_GT(cluster.Status(leader).m_first_index, 200U);
  cluster.NodeAt(other).m_isolated = false;
  cluster.RunFor(milliseconds(1000));
  EXPECT_EQ(cluster.NodeAt(other).m_installed_snapshots, 1U);
  EXPECT_EQ(cluster.NodeAt(other).m_state_hash,
            cluster.NodeAt(leader).m_state_hash);
  cluster.Crash(other);
  cluster.RunFor(milliseconds(1000));
  EXPECT_EQ(cluster.NodeAt(other).m_state_hash,
            cluster.NodeAt(leader).m_state_hash);
}

// Guards against a leader that accepts proposals after an append failed because
// its disk is full, and against one that still refuses them when there is space
// again.
TEST(ConsensusCluster, FullDiskRefusesProposalsUntilThereIsSpace) {
  Cluster cluster(3, 3);
  const std::size_t leader = cluster.ElectLeader();
  Cluster::Node& node = cluster.NodeAt(leader);
  node.m_disk->m_free_bytes = 0;
  cluster.Propose(leader, "first");
  cluster.RunDiskJob(leader);
  cluster.Propose(leader, "second");
  EXPECT_EQ(node.m_refused.size(), 1U);
  node.m_disk->m_free_bytes = UINT64_MAX;
  cluster.RunUntilIdle();
  cluster.Propose(leader, "third");
  cluster.RunUntilIdle();
  EXPECT_EQ(node.m_refused.size(), 1U);
  EXPECT_EQ(node.m_applied_index, cluster.Status(leader).m_last_index);
}

// Guards against a data folder that was restored from an old copy or that two
// runs use: the start count is lower, or equal in another run. Such a replica
// may have forgotten a vote or an acknowledged entry.
TEST(ConsensusStartRegistry, LowerStartCountIsRefused) {
  StartRegistry registry({.m_peers = {{.m_replica = voter_a, .m_starts = 4}}});
  EXPECT_FALSE(registry.Observe({.m_replica = voter_a, .m_starts = 3}));
  EXPECT_TRUE(registry.Observe({.m_replica = voter_a, .m_starts = 4}));
  EXPECT_FALSE(
      registry.Observe({.m_replica = voter_a, .m_starts = 4, .m_run = 9}));
  EXPECT_FALSE(registry.TakeChangedFlag());
  EXPECT_TRUE(registry.Observe({.m_replica = voter_a, .m_starts = 6}));
  EXPECT_TRUE(registry.TakeChangedFlag());
  StartRegistry restored(registry.Snapshot());
  EXPECT_FALSE(restored.Observe({.m_replica = voter_a, .m_starts = 5}));
}

// Guards against hosts with lost disks that create a second log.
TEST(ConsensusFounding, RequiresAllHostsWithEmptyFolders) {
  const std::vector<HostId> hosts = {{"c0"}, {"c1"}};
  EXPECT_EQ(DecideFounding(hosts, {{.m_replica = voter_a}}).m_step,
            FoundingStep::kWait);
  const std::vector<Introduction> empty_hosts = {{.m_replica = voter_b},
                                                 {.m_replica = voter_a}};
  EXPECT_EQ(DecideFounding(hosts, empty_hosts).m_voters.m_voters,
            (std::vector<VoterId>{voter_a, voter_b}));
  const Introduction founded_host{
      .m_replica = voter_b, .m_starts = 2, .m_founded = true};
  EXPECT_EQ(
      DecideFounding(hosts, {{.m_replica = voter_a}, founded_host}).m_step,
      FoundingStep::kJoin);
}

// Guards against a log that outgrows the memory of its host because it is
// bounded by the number of entries alone.
TEST(ConsensusReplica, LargeEntriesBeforeASnapshotAreNotRetained) {
  Cluster cluster(1, 1, {.m_retained_entries = 100, .m_retained_bytes = 250});
  const std::size_t leader = cluster.ElectLeader();
  for (int i = 0; i < 10; ++i) {
    cluster.Propose(leader, std::string(100, 'x'));
    cluster.RunUntilIdle();
  }
  cluster.TakeSnapshot(leader);
  cluster.RunUntilIdle();
  const ReplicaStatus status = cluster.Status(leader);
  EXPECT_EQ(status.m_last_index - status.m_first_index + 1, 2U);
}

// Guards against a log that grows without limit while no snapshot can be
// stored.
TEST(ConsensusReplica, FullLogRefusesProposalsUntilASnapshotIsStored) {
  Cluster cluster(1, 1, {.m_max_log_bytes = 500, .m_retained_bytes = 100});
  const std::size_t leader = cluster.ElectLeader();
  const auto propose = [&] {
    cluster.NodeAt(leader).m_refused.clear();
    cluster.Propose(leader, std::string(100, 'x'));
    cluster.RunUntilIdle();
    return cluster.NodeAt(leader).m_refused.empty();
  };
  int accepted = 0;
  while (accepted < 10 && propose())
    ++accepted;
  EXPECT_LE(accepted, 5);
  EXPECT_GE(accepted, 4);
  cluster.TakeSnapshot(leader);
  cluster.RunUntilIdle();
  EXPECT_TRUE(propose());
}

// Guards against a slow follower for which the leader holds a copy of many
// large entries at a time.
TEST(ConsensusReplica, BytesOnTheirWayToAFollowerAreLimited) {
  Cluster cluster(3, 3,
                  {.m_max_message_bytes = 100, .m_max_bytes_in_flight = 250});
  const std::size_t leader = cluster.ElectLeader();
  cluster.RunUntilIdle();
  for (int i = 0; i < 10; ++i)
    cluster.Propose(leader, std::string(100, 'x'));
  std::size_t bytes = 0;
  for (const Message& message : cluster.m_network) {
    const auto* append = std::get_if<AppendRequest>(&message);
    if (append == nullptr ||
        append->m_to != cluster.NodeAt((leader + 1) % 3).m_id)
      continue;
    for (const LogEntry& entry : append->m_entries)
      bytes += entry.m_data.size();
  }
  EXPECT_EQ(bytes, 300U);
  cluster.RunUntilIdle();
  EXPECT_EQ(cluster.Status(leader).m_commit_index,
            cluster.Status(leader).m_last_index);
}

}  // namespace
}  // namespace jujube::consensus
