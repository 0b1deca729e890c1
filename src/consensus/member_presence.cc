#include "consensus/member_presence.h"

#include <algorithm>

#include "consensus/peer_contacts.h"

namespace jujube::consensus {

void MemberPresence::OnHeard(const VoterId& replica, MonoTime now) {
  Contact& contact = m_contacts[replica];
  if (now - contact.m_heard_at > kPeerSilenceTimeout)
    contact.m_heard_since = now;
  contact.m_heard_at = now;
}

void MemberPresence::OnStopping(const VoterId& replica, std::uint64_t run) {
  Contact& contact = m_contacts[replica];
  if (contact.m_run == run)
    contact.m_is_stopping = true;
}

void MemberPresence::OnRun(const VoterId& replica, std::uint64_t run) {
  Contact& contact = m_contacts[replica];
  if (contact.m_run == run)
    return;
  contact.m_run = run;
  contact.m_is_stopping = false;
  contact.m_heard_at = {};
}

void MemberPresence::OnUpdate(MonoTime now) {
  if (now - m_updated_at > kMaxUpdateGap)
    m_listening_since = now;
  m_updated_at = now;
}

MonoClock::duration MemberPresence::SilenceOf(const VoterId& replica,
                                              MonoTime now) const {
  const auto found = m_contacts.find(replica);
  const MonoTime heard_at =
      found == m_contacts.end() ? MonoTime{} : found->second.m_heard_at;
  return now - std::max(heard_at, m_listening_since);
}

Presence MemberPresence::Of(const VoterId& replica, MonoTime now) const {
  const auto found = m_contacts.find(replica);
  if (found != m_contacts.end() && found->second.m_is_stopping)
    return Presence::kSilent;
  if (SilenceOf(replica, now) > kPeerSilenceTimeout)
    return Presence::kSilent;
  const bool is_heard =
      found != m_contacts.end() &&
      now - found->second.m_heard_at <= 2 * kIntroductionInterval;
  return is_heard ? Presence::kHeard : Presence::kUncertain;
}

bool MemberPresence::IsSettled(const VoterId& replica, MonoTime now) const {
  const auto found = m_contacts.find(replica);
  return found != m_contacts.end() && Of(replica, now) == Presence::kHeard &&
         now - found->second.m_heard_since > kSettledTime;
}

void MemberPresence::Forget(const HostId& host) {
  std::erase_if(m_contacts, [&](const auto& element) {
    return element.first.m_host == host;
  });
}

}  // namespace jujube::consensus
