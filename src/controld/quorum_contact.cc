#include "controld/quorum_contact.h"

#include <algorithm>

namespace jujube::controld {
namespace {

using std::chrono::milliseconds;

// An entry host sends every 500 ms and no longer counts after 1.7 s without a
// message. A cut that separates this host from a majority and from the entry
// hosts at the same time is therefore noticed before the entry hosts stop
// counting, 1.2 s after it at the earliest.
constexpr milliseconds kMaxStateAge{1000};

// Entry hosts open a connection again that is silent for 1.7 s. Until then they
// keep it through an interruption.
constexpr milliseconds kLongInterruption{1700};

// Entry hosts connect within this time after an interruption: a connection
// attempt ends after 3 s, a pause between attempts after 2 s.
constexpr milliseconds kConnectTime{3500};

}  // namespace

QuorumContact UpdateContact(const QuorumContact& contact,
                            const ContactObservation& observation) {
  const MonoTime now = observation.m_now;
  const MonoTime confirmed_at =
      std::max(contact.m_confirmed_at, now - observation.m_state_age);
  // A process that resumes after a suspension may receive a message before the
  // first update; then only the gap between two values shows the interruption.
  const bool is_interrupted =
      now - confirmed_at >= kLongInterruption ||
      confirmed_at - contact.m_confirmed_at >= kLongInterruption ||
      now - contact.m_updated_at >= kLongInterruption;
  return {.m_confirmed_at = confirmed_at,
          .m_regained_at = is_interrupted ? now : contact.m_regained_at,
          .m_updated_at = now};
}

MonoTime HearsEntryHostsFrom(const QuorumContact& contact) {
  return contact.m_regained_at + kConnectTime;
}

bool HearsEntryHosts(const QuorumContact& contact, MonoTime now) {
  return now - contact.m_confirmed_at < kMaxStateAge &&
         now >= HearsEntryHostsFrom(contact);
}

}  // namespace jujube::controld
