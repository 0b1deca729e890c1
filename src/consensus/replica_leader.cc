// Leader part of Replica: commit index, quorum check, read barrier, membership
// changes and leadership transfer.

#include <algorithm>
#include <string>
#include <utility>

#include "consensus/replica.h"
#include "core/result.h"
#include "gen/consensus_wire.h"

namespace jujube::consensus {

namespace {

// Limit of Voters in the schema.
constexpr std::size_t kMaxMembers = 19;

Error UnavailableError(std::string message) {
  return MakeError(ErrorCode::kUnavailable, std::move(message));
}

void Erase(std::vector<VoterId>* list, const VoterId& replica) {
  list->erase(std::remove(list->begin(), list->end(), replica), list->end());
}

Voters ApplyChange(Voters voters, const ChangeMembership& change) {
  Erase(&voters.m_voters, change.m_replica);
  Erase(&voters.m_learners, change.m_replica);
  if (change.m_step == MembershipStep::kAddLearner)
    voters.m_learners.push_back(change.m_replica);
  if (change.m_step == MembershipStep::kPromote)
    voters.m_voters.push_back(change.m_replica);
  return voters;
}

}  // namespace

// Highest value that a majority has reached. `values` holds one for each voter.
template <class T>
T Replica::HighestQuorumValue(std::vector<T> values) {
  if (values.empty())
    return T{};
  std::sort(values.rbegin(), values.rend());
  return values[values.size() / 2];
}

MonoTime Replica::LastQuorumContact() const {
  std::vector<MonoTime> contacts;
  for (const VoterId& voter : m_membership.Current().m_voters) {
    const FollowerProgress* progress = ProgressOf(voter);
    if (voter == m_self)
      contacts.push_back(m_now);
    else
      contacts.push_back(progress != nullptr ? progress->m_last_contact
                                             : MonoTime{});
  }
  return HighestQuorumValue(std::move(contacts));
}

void Replica::CheckQuorum() {
  if (m_role != Role::kLeader ||
      m_now < LastQuorumContact() + m_options.m_election_timeout)
    return;
  BecomeFollower(m_state.m_term, std::nullopt);
  ReportRole(true);
}

void Replica::TickLeader() {
  if (m_pending_transfer && m_now >= m_pending_transfer->m_deadline)
    m_pending_transfer.reset();
  if (m_now >= m_next_heartbeat) {
    SendHeartbeats();
    ContinueTransfer();
  }
}

void Replica::AdvanceCommitIndex() {
  if (m_role != Role::kLeader)
    return;
  std::vector<std::uint64_t> match_indexes;
  for (const VoterId& voter : m_membership.Current().m_voters) {
    const FollowerProgress* progress = ProgressOf(voter);
    if (voter == m_self)
      match_indexes.push_back(m_persist_queue.SyncedIndex());
    else
      match_indexes.push_back(progress != nullptr ? progress->m_match_index
                                                  : 0);
  }
  const std::uint64_t index = HighestQuorumValue(std::move(match_indexes));
  // An entry of an earlier term can still be replaced, even if it is stored on
  // a majority.
  if (index <= m_commit_index || m_log.TermAt(index) != m_state.m_term)
    return;
  m_commit_index = index;
  const bool is_removed = !IsVoter(m_membership.Current(), m_self);
  if (is_removed && m_commit_index >= m_membership.CurrentIndex()) {
    SendHeartbeats();
    ApplyCommittedEntries();
    BecomeFollower(m_state.m_term, std::nullopt);
  }
}

// Adds and removes elements of m_progress so that it holds exactly the other
// members.
void Replica::UpdateTrackedMembers() {
  const Voters& voters = m_membership.Current();
  std::erase_if(m_progress, [&](const auto& element) {
    return !IsVoter(voters, element.first) && !IsLearner(voters, element.first);
  });
  const auto add = [&](const VoterId& member) {
    if (member == m_self || m_progress.contains(member))
      return;
    m_progress[member] = FollowerProgress{.m_next_index = m_log.LastIndex() + 1,
                                          .m_last_contact = m_now};
  };
  std::for_each(voters.m_voters.begin(), voters.m_voters.end(), add);
  std::for_each(voters.m_learners.begin(), voters.m_learners.end(), add);
}

// Refuses the request and returns false while no proposals are accepted.
bool Replica::EnsureAcceptsProposals(std::uint64_t token) {
  std::string reason;
  if (m_role != Role::kLeader)
    reason = "this replica is not the leader";
  else if (m_pending_transfer)
    reason = "leadership is being transferred";
  else if (m_storage_full)
    reason = "the disk of the leader is full";
  if (reason.empty())
    return true;
  RefuseRequest(token, ErrorCode::kUnavailable, std::move(reason));
  return false;
}

std::optional<Error> Replica::CheckPromotion(const VoterId& replica) const {
  const Voters& voters = m_membership.Current();
  if (!IsLearner(voters, replica))
    return MakeError(ErrorCode::kNotFound, "the replica is not a learner");
  const bool host_has_voter = std::any_of(
      voters.m_voters.begin(), voters.m_voters.end(),
      [&](const VoterId& voter) { return voter.m_host == replica.m_host; });
  if (host_has_voter)
    return MakeError(ErrorCode::kConflict,
                     "another folder of this host is a voter; remove it first");
  return CheckCaughtUp(replica);
}

std::optional<Error> Replica::CheckCaughtUp(const VoterId& learner) const {
  const FollowerProgress* progress = ProgressOf(learner);
  const std::uint64_t match_index =
      progress == nullptr ? 0 : progress->m_match_index;
  const std::uint64_t required_index = m_membership.JoinIndex(learner);
  if (match_index < required_index)
    return UnavailableError("the learner's log is durable up to index " +
                            std::to_string(match_index) +
                            ", required is index " +
                            std::to_string(required_index));
  return std::nullopt;
}

std::vector<VoterId> Replica::CaughtUpLearners() const {
  std::vector<VoterId> learners;
  if (m_role != Role::kLeader)
    return learners;
  for (const VoterId& learner : m_membership.Current().m_learners) {
    if (!CheckCaughtUp(learner))
      learners.push_back(learner);
  }
  return learners;
}

std::optional<Error> Replica::CheckMembershipChange(
    const ChangeMembership& event) const {
  const Voters& voters = m_membership.Current();
  const VoterId& replica = event.m_replica;
  if (m_commit_index < m_term_start_index)
    return UnavailableError(
        "the leader has not committed an entry of its term yet");
  if (m_membership.CurrentIndex() > m_commit_index)
    return UnavailableError(
        "the previous membership change is not committed yet");
  const bool is_member = IsVoter(voters, replica) || IsLearner(voters, replica);
  switch (event.m_step) {
    case MembershipStep::kAddLearner:
      if (is_member)
        return MakeError(ErrorCode::kConflict,
                         "the replica is already a member");
      if (voters.m_learners.size() >= kMaxMembers)
        return MakeError(ErrorCode::kInvalidInput, "too many learners");
      return std::nullopt;
    case MembershipStep::kPromote:
      if (voters.m_voters.size() >= kMaxMembers)
        return MakeError(ErrorCode::kInvalidInput, "too many voters");
      return CheckPromotion(replica);
    case MembershipStep::kRemove:
      if (!is_member)
        return MakeError(ErrorCode::kNotFound, "the replica is not a member");
      if (IsVoter(voters, replica) && voters.m_voters.size() == 1)
        return MakeError(ErrorCode::kInvalidInput,
                         "the last voter cannot be removed");
      return std::nullopt;
  }
  return MakeError(ErrorCode::kInvalidInput, "unknown membership step");
}

void Replica::HandleEvent(const ChangeMembership& event) {
  if (!EnsureAcceptsProposals(event.m_token))
    return;
  if (auto error = CheckMembershipChange(event)) {
    m_actions.m_refused.push_back(
        {.m_token = event.m_token, .m_error = *std::move(error)});
    return;
  }
  AppendToLog({.m_index = m_log.LastIndex() + 1,
               .m_term = m_state.m_term,
               .m_kind = EntryKind::kVoters,
               .m_data = Encode(ApplyChange(m_membership.Current(), event))});
  m_actions.m_accepted.push_back({.m_token = event.m_token,
                                  .m_index = m_log.LastIndex(),
                                  .m_term = m_state.m_term});
  UpdateTrackedMembers();
  Replicate();
}

void Replica::HandleEvent(const ReadBarrier& event) {
  if (m_role != Role::kLeader) {
    RefuseRequest(event.m_token, ErrorCode::kUnavailable,
                  "this replica is not the leader");
    return;
  }
  if (m_pending_reads.size() >= m_options.m_max_reads) {
    RefuseRequest(event.m_token, ErrorCode::kUnavailable,
                  "too many pending reads");
    return;
  }
  // A new leader's commit index may be behind, but all entries committed in
  // earlier terms precede the first entry of its term. Replies of a round in
  // progress may have been sent before the read, so the read needs the next
  // one.
  m_pending_reads.push_back(
      {.m_token = event.m_token,
       .m_required_index = std::max(m_commit_index, m_term_start_index),
       .m_required_round = m_read_round + 1});
  if (m_confirmed_read_round == m_read_round)
    StartReadRound();
}

void Replica::StartReadRound() {
  ++m_read_round;
  SendHeartbeats();
  AdvanceReadRounds();
}

// Updates the confirmed round. Starts the next round if a pending read needs
// it.
void Replica::AdvanceReadRounds() {
  std::vector<std::uint64_t> rounds;
  for (const VoterId& voter : m_membership.Current().m_voters) {
    const FollowerProgress* progress = ProgressOf(voter);
    if (voter == m_self)
      rounds.push_back(m_read_round);
    else
      rounds.push_back(progress != nullptr ? progress->m_read_round : 0);
  }
  m_confirmed_read_round =
      std::max(m_confirmed_read_round, HighestQuorumValue(rounds));
  const bool needs_next_round =
      !m_pending_reads.empty() &&
      m_pending_reads.back().m_required_round > m_read_round;
  if (needs_next_round && m_confirmed_read_round == m_read_round)
    StartReadRound();
}

void Replica::CompleteReads() {
  const auto is_ready = [this](const PendingRead& read) {
    return read.m_required_round <= m_confirmed_read_round &&
           read.m_required_index <= m_applied_index;
  };
  for (const PendingRead& read : m_pending_reads) {
    if (is_ready(read))
      m_actions.m_completed_reads.push_back(read.m_token);
  }
  std::erase_if(m_pending_reads, is_ready);
}

void Replica::FailPendingReads() {
  for (const PendingRead& read : std::exchange(m_pending_reads, {}))
    RefuseRequest(read.m_token, ErrorCode::kUnavailable, "leadership was lost");
}

void Replica::HandleEvent(const TransferLeadership& event) {
  if (!EnsureAcceptsProposals(event.m_token))
    return;
  std::optional<VoterId> to = event.m_to;
  if (!to) {
    // Among voters with equal logs, one that has just replied: the others may
    // have stopped.
    std::pair<std::uint64_t, MonoTime> best;
    for (const auto& [member, progress] : m_progress) {
      const std::pair candidate(progress.m_match_index,
                                progress.m_last_contact);
      if (!IsVoter(m_membership.Current(), member) || candidate < best)
        continue;
      best = candidate;
      to = member;
    }
  }
  if (!to || *to == m_self || !IsVoter(m_membership.Current(), *to)) {
    RefuseRequest(event.m_token, ErrorCode::kInvalidInput,
                  "the target of a transfer must be another voter");
    return;
  }
  m_pending_transfer = LeadershipTransfer{
      .m_to = *to, .m_deadline = m_now + m_options.m_election_timeout};
  ContinueTransfer();
}

// Sends TimeoutNow once the target holds the whole log of the leader.
void Replica::ContinueTransfer() {
  if (!m_pending_transfer)
    return;
  const FollowerProgress* progress = ProgressOf(m_pending_transfer->m_to);
  if (progress == nullptr || progress->m_match_index < m_log.LastIndex())
    return;
  Send(TimeoutNow{.m_from = m_self,
                  .m_to = m_pending_transfer->m_to,
                  .m_term = m_state.m_term});
}

}  // namespace jujube::consensus
