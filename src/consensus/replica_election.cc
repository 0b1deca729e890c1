// Elections of Replica: terms, votes, pre-votes and roles.

#include <utility>

#include "consensus/replica.h"
#include "core/hash.h"
#include "gen/consensus_wire.h"

namespace jujube::consensus {

void Replica::ResetElectionTimer() {
  m_random = MixHash(m_random, 1);
  const auto least = std::chrono::nanoseconds(m_options.m_election_timeout);
  const auto extra = static_cast<std::int64_t>(
      m_random % static_cast<std::uint64_t>(least.count()));
  m_election_deadline = m_now + least + std::chrono::nanoseconds(extra);
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
  m_votes.clear();
  m_progress.clear();
  m_handover.reset();
  FailReads();
  ResetElectionTimer();
  ReportRole();
}

// While a leader is heard, a vote could only disturb it. A leader counts
// itself: it steps down by its own quorum check.
bool Replica::HearsLeader() const {
  if (m_role == Role::kLeader)
    return true;
  return m_leader && m_now < m_leader_contact + m_options.m_election_timeout;
}

bool Replica::LogIsUpToDate(const VoteRequest& request) const {
  if (request.m_last_term != m_log.LastTerm())
    return request.m_last_term > m_log.LastTerm();
  return request.m_last_index >= m_log.LastIndex();
}

void Replica::Handle(const VoteRequest& request) {
  const bool newer = request.m_term > m_state.m_term;
  if (newer && !request.m_transfer && HearsLeader())
    return;
  if (newer && !request.m_pre_vote)
    BecomeFollower(request.m_term, std::nullopt);
  bool granted = LogIsUpToDate(request);
  if (request.m_pre_vote) {
    granted = granted && newer;
  } else {
    granted = granted && request.m_term == m_state.m_term &&
              (!m_state.m_vote || *m_state.m_vote == request.m_from);
  }
  if (granted && !request.m_pre_vote) {
    m_state.m_vote = request.m_from;
    ResetElectionTimer();
  }
  const bool asked_term = granted && request.m_pre_vote;
  SendAfterSync(
      VoteReply{.m_from = m_self,
                .m_to = request.m_from,
                .m_term = asked_term ? request.m_term : m_state.m_term,
                .m_pre_vote = request.m_pre_vote,
                .m_granted = granted});
}

void Replica::Handle(const VoteReply& reply) {
  if (!reply.m_granted)
    return;
  const bool for_pre_vote = reply.m_pre_vote && m_role == Role::kPreCandidate &&
                            reply.m_term == m_state.m_term + 1;
  const bool for_vote = !reply.m_pre_vote && m_role == Role::kCandidate &&
                        reply.m_term == m_state.m_term;
  if (!for_pre_vote && !for_vote)
    return;
  m_votes.insert(reply.m_from);
  CountVotes();
}

void Replica::Handle(const TimeoutNow& request) {
  const bool from_leader = m_leader && *m_leader == request.m_from;
  if (m_role == Role::kFollower && from_leader &&
      IsVoter(m_membership.Current(), m_self))
    StartElection(false, true);
}

void Replica::StartElection(bool pre_vote, bool transfer) {
  m_role = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  m_leader.reset();
  m_votes.clear();
  ResetElectionTimer();
  if (pre_vote) {
    m_votes.insert(m_self);
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
    count += m_votes.contains(voter) ? 1 : 0;
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
  m_votes.clear();
  m_progress.clear();
  m_confirmed_round = m_read_round;
  ReportRole();
  // Only an entry of the own term may be committed, so each term starts with
  // one. The founding membership is not in the log of later members yet.
  const bool founding = m_membership.CurrentIndex() == 0;
  AppendToLog({.m_index = m_log.LastIndex() + 1,
               .m_term = m_state.m_term,
               .m_kind = founding ? EntryKind::kVoters : EntryKind::kBlank,
               .m_data = founding ? Encode(m_membership.Current()) : ""});
  m_term_start = m_log.LastIndex();
  FollowMembership();
  SendHeartbeats();
}

}  // namespace jujube::consensus
