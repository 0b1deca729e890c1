#include "consensus/peer_contacts.h"

#include <algorithm>

namespace jujube::consensus {

void PeerContacts::OnIntroduction(const HostId& host,
                                  std::uint64_t run,
                                  MonoTime now) {
  Contact& contact = m_contacts[host];
  contact = {.m_run = run,
             .m_introduced_at = now,
             .m_is_repeated = contact.m_run == run};
}

bool PeerContacts::MustReopen(const HostId& host,
                              const PeerConnection& connection,
                              MonoTime now) const {
  const auto found = m_contacts.find(host);
  if (found == m_contacts.end())
    return false;
  const Contact& contact = found->second;
  if (connection.m_run < contact.m_run)
    return true;
  const MonoTime last_sign_of_life =
      std::max(contact.m_introduced_at, connection.m_opened_at);
  return contact.m_is_repeated && now - last_sign_of_life > kPeerSilenceTimeout;
}

}  // namespace jujube::consensus
