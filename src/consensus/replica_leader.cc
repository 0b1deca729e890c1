// The leader's own duties in Replica: commit, quorum check, read barrier,
// membership and handover.

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

Error Unavailable(std::string message) {
  return MakeError(ErrorCode::kUnavailable, std::move(message));
}

void Erase(std::vector<VoterId>* list, const VoterId& replica) {
  list->erase(std::remove(list->begin(), list->end(), replica), list->end());
}

Voters Changed(Voters voters, const ChangeMembership& change) {
  Erase(&voters.m_voters, change.m_replica);
  Erase(&voters.m_learners, change.m_replica);
  if (change.m_step == MembershipStep::kAddLearner)
    voters.m_learners.push_back(change.m_replica);
  if (change.m_step == MembershipStep::kPromote)
    voters.m_voters.push_back(change.m_replica);
  return voters;
}

}  // namespace

// The highest value that a majority of the voters has reached.
std::uint64_t Replica::QuorumValue(std::vector<std::uint64_t> values) const {
  if (values.empty())
    return 0;
  std::sort(values.rbegin(), values.rend());
  return values[values.size() / 2];
}

void Replica::CheckQuorum() {
  if (m_role != Role::kLeader)
    return;
  const std::vector<VoterId>& voters = m_membership.Current().m_voters;
  std::size_t heard = 0;
  for (const VoterId& voter : voters) {
    const FollowerProgress* progress = ProgressOf(voter);
    const bool recent =
        voter == m_self ||
        (progress != nullptr &&
         m_now < progress->m_contact + m_options.m_election_timeout);
    heard += recent ? 1 : 0;
  }
  if (heard > voters.size() / 2)
    return;
  BecomeFollower(m_state.m_term, std::nullopt);
  ReportRole(true);
}

void Replica::TickLeader() {
  if (m_handover && m_now >= m_handover->m_deadline)
    m_handover.reset();
  if (m_now >= m_next_heartbeat) {
    SendHeartbeats();
    ContinueHandover();
  }
}

void Replica::AdvanceCommit() {
  if (m_role != Role::kLeader)
    return;
  std::vector<std::uint64_t> matches;
  for (const VoterId& voter : m_membership.Current().m_voters) {
    const FollowerProgress* progress = ProgressOf(voter);
    if (voter == m_self)
      matches.push_back(m_persists.SyncedIndex());
    else
      matches.push_back(progress != nullptr ? progress->m_match : 0);
  }
  const std::uint64_t index = QuorumValue(std::move(matches));
  // An entry of an earlier term can be replaced even if a majority holds it.
  if (index <= m_commit || m_log.TermAt(index) != m_state.m_term)
    return;
  m_commit = index;
  const bool removed = !IsVoter(m_membership.Current(), m_self);
  if (removed && m_commit >= m_membership.CurrentIndex()) {
    SendHeartbeats();
    ApplyCommitted();
    BecomeFollower(m_state.m_term, std::nullopt);
  }
}

// Keeps progress for exactly the other members.
void Replica::FollowMembership() {
  const Voters& voters = m_membership.Current();
  std::erase_if(m_progress, [&](const auto& one) {
    return !IsVoter(voters, one.first) && !IsLearner(voters, one.first);
  });
  const auto add = [&](const VoterId& member) {
    if (member == m_self || m_progress.contains(member))
      return;
    m_progress[member] =
        FollowerProgress{.m_next = m_log.LastIndex() + 1, .m_contact = m_now};
  };
  std::for_each(voters.m_voters.begin(), voters.m_voters.end(), add);
  std::for_each(voters.m_learners.begin(), voters.m_learners.end(), add);
}

bool Replica::ProposalsAreOpen(std::uint64_t token) {
  std::string reason;
  if (m_role != Role::kLeader)
    reason = "this replica does not lead";
  else if (m_handover)
    reason = "leadership is being transferred";
  else if (m_storage_full)
    reason = "the disk of the leader is full";
  if (reason.empty())
    return true;
  Refuse(token, ErrorCode::kUnavailable, std::move(reason));
  return false;
}

std::optional<Error> Replica::CheckPromotion(const VoterId& replica) const {
  const Voters& voters = m_membership.Current();
  if (!IsLearner(voters, replica))
    return MakeError(ErrorCode::kNotFound, "the replica is not a learner");
  const bool second = std::any_of(
      voters.m_voters.begin(), voters.m_voters.end(),
      [&](const VoterId& voter) { return voter.m_host == replica.m_host; });
  if (second)
    return MakeError(ErrorCode::kConflict,
                     "another folder of this host is a voter; remove it first");
  const auto progress = m_progress.find(replica);
  const std::uint64_t held =
      progress == m_progress.end() ? 0 : progress->second.m_match;
  const std::uint64_t needed = m_membership.JoinIndex(replica);
  if (held < needed)
    return Unavailable("the learner holds the log up to " +
                       std::to_string(held) + ", needed is " +
                       std::to_string(needed));
  return std::nullopt;
}

std::optional<Error> Replica::CheckMembershipChange(
    const ChangeMembership& event) const {
  const Voters& voters = m_membership.Current();
  const VoterId& replica = event.m_replica;
  if (m_commit < m_term_start)
    return Unavailable("the leader has not committed an entry of its term");
  if (m_membership.CurrentIndex() > m_commit)
    return Unavailable("the previous change is not committed");
  const bool member = IsVoter(voters, replica) || IsLearner(voters, replica);
  switch (event.m_step) {
    case MembershipStep::kAddLearner:
      if (member)
        return MakeError(ErrorCode::kConflict, "the replica is a member");
      if (voters.m_learners.size() >= kMaxMembers)
        return MakeError(ErrorCode::kInvalidInput, "too many learners");
      return std::nullopt;
    case MembershipStep::kPromote:
      if (voters.m_voters.size() >= kMaxMembers)
        return MakeError(ErrorCode::kInvalidInput, "too many voters");
      return CheckPromotion(replica);
    case MembershipStep::kRemove:
      if (!member)
        return MakeError(ErrorCode::kNotFound, "the replica is not a member");
      if (IsVoter(voters, replica) && voters.m_voters.size() == 1)
        return MakeError(ErrorCode::kInvalidInput, "the last voter must stay");
      return std::nullopt;
  }
  return MakeError(ErrorCode::kInvalidInput, "unknown membership step");
}

void Replica::On(const ChangeMembership& event) {
  if (!ProposalsAreOpen(event.m_token))
    return;
  if (auto error = CheckMembershipChange(event)) {
    m_actions.m_refused.push_back(
        {.m_token = event.m_token, .m_error = *std::move(error)});
    return;
  }
  AppendToLog({.m_index = m_log.LastIndex() + 1,
               .m_term = m_state.m_term,
               .m_kind = EntryKind::kVoters,
               .m_data = Encode(Changed(m_membership.Current(), event))});
  m_actions.m_accepted.push_back({.m_token = event.m_token,
                                  .m_index = m_log.LastIndex(),
                                  .m_term = m_state.m_term});
  FollowMembership();
  Replicate();
}

void Replica::On(const Read& event) {
  if (m_role != Role::kLeader) {
    Refuse(event.m_token, ErrorCode::kUnavailable,
           "this replica does not lead");
    return;
  }
  if (m_reads.size() >= m_options.m_max_reads) {
    Refuse(event.m_token, ErrorCode::kUnavailable, "too many reads wait");
    return;
  }
  // Everything that was committed in earlier terms precedes the first entry of
  // this term, also while the leader cannot know its commit index yet. A round
  // on its way may have been answered before the read, so it does not count.
  m_reads.push_back({.m_token = event.m_token,
                     .m_index = std::max(m_commit, m_term_start),
                     .m_round = m_read_round + 1});
  if (m_confirmed_round == m_read_round)
    StartReadRound();
}

void Replica::StartReadRound() {
  ++m_read_round;
  SendHeartbeats();
  ConfirmReads();
}

void Replica::ConfirmReads() {
  std::vector<std::uint64_t> rounds;
  for (const VoterId& voter : m_membership.Current().m_voters) {
    const FollowerProgress* progress = ProgressOf(voter);
    if (voter == m_self)
      rounds.push_back(m_read_round);
    else
      rounds.push_back(progress != nullptr ? progress->m_read_round : 0);
  }
  m_confirmed_round = std::max(m_confirmed_round, QuorumValue(rounds));
  const bool more = !m_reads.empty() && m_reads.back().m_round > m_read_round;
  if (more && m_confirmed_round == m_read_round)
    StartReadRound();
}

void Replica::AnswerReads() {
  const auto ready = [this](const WaitingRead& read) {
    return read.m_round <= m_confirmed_round && read.m_index <= m_applied;
  };
  for (const WaitingRead& read : m_reads) {
    if (ready(read))
      m_actions.m_reads.push_back(read.m_token);
  }
  std::erase_if(m_reads, ready);
}

void Replica::FailReads() {
  for (const WaitingRead& read : std::exchange(m_reads, {}))
    Refuse(read.m_token, ErrorCode::kUnavailable, "leadership was lost");
}

void Replica::On(const Transfer& event) {
  if (!ProposalsAreOpen(event.m_token))
    return;
  std::optional<VoterId> to = event.m_to;
  if (!to) {
    std::uint64_t best = 0;
    for (const auto& [member, progress] : m_progress) {
      if (!IsVoter(m_membership.Current(), member) || progress.m_match < best)
        continue;
      best = progress.m_match;
      to = member;
    }
  }
  if (!to || *to == m_self || !IsVoter(m_membership.Current(), *to)) {
    Refuse(event.m_token, ErrorCode::kInvalidInput,
           "there is no such other voter");
    return;
  }
  m_handover =
      Handover{.m_to = *to, .m_deadline = m_now + m_options.m_election_timeout};
  ContinueHandover();
}

void Replica::ContinueHandover() {
  if (!m_handover)
    return;
  const FollowerProgress* progress = ProgressOf(m_handover->m_to);
  if (progress == nullptr || progress->m_match < m_log.LastIndex())
    return;
  Send(TimeoutNow{
      .m_from = m_self, .m_to = m_handover->m_to, .m_term = m_state.m_term});
}

}  // namespace jujube::consensus
