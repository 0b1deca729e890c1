// Elections of Replica: terms, votes, pre-votes and roles.

#include <utility>

#include "consensus/replica.h"
#include "core/hash.h"
#include "gen/consensus_wire.h"

namespace jujube::consensus {

void Replica::ResetElectionTimer() {
  m_random_state = MixHash(m_random_state, 1);
  const auto minimum = std::chrono::nanoseconds(m_options.m_election_timeout);
  const auto random_extra = static_cast<std::int64_t>(
      m_random_state % static_cast<std::uint64_t>(minimum.count()));
  m_election_deadline =
      m_now + minimum + std::chrono::nanoseconds(random_extra);
}

void Replica::ReportRole(bool lost_quorum) {
  m_actions.m_role = RoleChange{.m_role = m_role,
                                .m_term = m_state.m_term,
                                .m_leader = m_leader,
                                .m_lost_quorum = lost_quorum};
}

void Replica::BecomeFollower(std::uint64_t term,
                             std::optional<VoterId> leader) {
  if (term > m_state.m_term)
    m_state = HardState{.m_term = term};
  m_role = Role::kFollower;
  m_leader = std::move(leader);
  m_granted_votes.clear();
  m_progress.clear();
  m_pending_transfer.reset();
  FailPendingReads();
  ResetElectionTimer();
  ReportRole();
}

// While the leader is reachable, an election would only disrupt it. Also true
// on the leader, because CheckQuorum makes it step down if it loses its
// majority.
bool Replica::HasRecentLeaderContact() const {
  if (m_role == Role::kLeader)
    return true;
  return m_leader &&
         m_now < m_last_leader_contact + m_options.m_election_timeout;
}

bool Replica::IsCandidateLogUpToDate(const VoteRequest& request) const {
  if (request.m_last_term != m_log.LastTerm())
    return request.m_last_term > m_log.LastTerm();
  return request.m_last_index >= m_log.LastIndex();
}

void Replica::HandleMessage(const VoteRequest& request) {
  const bool is_newer_term = request.m_term > m_state.m_term;
  if (is_newer_term && !request.m_transfer && HasRecentLeaderContact())
    return;
  if (is_newer_term && !request.m_pre_vote)
    BecomeFollower(request.m_term, std::nullopt);
  bool granted = IsCandidateLogUpToDate(request);
  if (request.m_pre_vote) {
    granted = granted && is_newer_term;
  } else {
    granted = granted && request.m_term == m_state.m_term &&
              (!m_state.m_vote || *m_state.m_vote == request.m_from);
  }
  if (granted && !request.m_pre_vote) {
    m_state.m_vote = request.m_from;
    ResetElectionTimer();
  }
  // A granted pre-vote repeats the term of the request.
  const bool pre_vote_granted = granted && request.m_pre_vote;
  SendAfterSync(
      VoteReply{.m_from = m_self,
                .m_to = request.m_from,
                .m_term = pre_vote_granted ? request.m_term : m_state.m_term,
                .m_pre_vote = request.m_pre_vote,
                .m_granted = granted});
}

void Replica::HandleMessage(const VoteReply& reply) {
  if (!reply.m_granted)
    return;
  const bool matches_pre_vote = reply.m_pre_vote &&
                                m_role == Role::kPreCandidate &&
                                reply.m_term == m_state.m_term + 1;
  const bool matches_election = !reply.m_pre_vote &&
                                m_role == Role::kCandidate &&
                                reply.m_term == m_state.m_term;
  if (!matches_pre_vote && !matches_election)
    return;
  m_granted_votes.insert(reply.m_from);
  CountVotes();
}

void Replica::HandleMessage(const TimeoutNow& request) {
  const bool from_leader = m_leader && *m_leader == request.m_from;
  if (m_role == Role::kFollower && from_leader &&
      IsVoter(m_membership.Current(), m_self))
    StartElection(false, true);
}

void Replica::StartElection(bool pre_vote, bool transfer) {
  m_role = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  m_leader.reset();
  m_granted_votes.clear();
  ResetElectionTimer();
  if (pre_vote) {
    m_granted_votes.insert(m_self);
  } else {
    m_state = HardState{.m_term = m_state.m_term + 1, .m_vote = m_self};
    SendAfterSync(VoteReply{.m_from = m_self,
                            .m_to = m_self,
                            .m_term = m_state.m_term,
                            .m_granted = true});
  }
  ReportRole();
  RequestVotes(pre_vote, transfer);
  CountVotes();
}

void Replica::RequestVotes(bool pre_vote, bool transfer) {
  for (const VoterId& voter : m_membership.Current().m_voters) {
    if (voter == m_self)
      continue;
    SendAfterSync(VoteRequest{.m_from = m_self,
                              .m_to = voter,
                              .m_term = m_state.m_term + (pre_vote ? 1 : 0),
                              .m_last_index = m_log.LastIndex(),
                              .m_last_term = m_log.LastTerm(),
                              .m_pre_vote = pre_vote,
                              .m_transfer = transfer});
  }
}

void Replica::CountVotes() {
  const std::vector<VoterId>& voters = m_membership.Current().m_voters;
  std::size_t count = 0;
  for (const VoterId& voter : voters)
    count += m_granted_votes.contains(voter) ? 1 : 0;
  if (count <= voters.size() / 2)
    return;
  if (m_role == Role::kPreCandidate)
    StartElection(false, false);
  else
    BecomeLeader();
}

void Replica::BecomeLeader() {
  m_role = Role::kLeader;
  m_leader = m_self;
  m_granted_votes.clear();
  m_progress.clear();
  m_confirmed_read_round = m_read_round;
  ReportRole();
  // Entries of earlier terms are committed only together with one of the
  // current term, so the leader starts its term with a blank entry. If the
  // initial membership is not in the log yet, the entry instead adds it for
  // members that join later.
  const bool is_initial_membership = m_membership.CurrentIndex() == 0;
  AppendToLog(
      {.m_index = m_log.LastIndex() + 1,
       .m_term = m_state.m_term,
       .m_kind = is_initial_membership ? EntryKind::kVoters : EntryKind::kBlank,
       .m_data = is_initial_membership ? Encode(m_membership.Current()) : ""});
  m_term_start_index = m_log.LastIndex();
  UpdateTrackedMembers();
  SendHeartbeats();
}

}  // namespace jujube::consensus
