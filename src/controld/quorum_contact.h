// QuorumContact: whether this control host hears every entry host that can
// reach a majority of the control hosts.
//
// A control host acknowledges the leave of an upstream once the entry hosts
// that it hears have confirmed it. A host that is cut off or has just started
// hears none, so it must not acknowledge:
//
//   contact = UpdateContact(contact, {runner.StateAge(), now});  // each tick
//   if (HearsEntryHosts(contact, now))
//     ...acknowledge once all entry hosts have confirmed

#pragma once

#include <chrono>
#include <compare>

#include "core/clock.h"

namespace jujube::controld {

// The epoch stands for never.
struct QuorumContact {
  MonoTime m_confirmed_at;  // last time at which a majority was reached
  MonoTime m_regained_at;   // end of the last long interruption
  MonoTime m_updated_at;    // of this value

  friend auto operator<=>(const QuorumContact&, const QuorumContact&) = default;
};

struct ContactObservation {
  std::chrono::milliseconds m_state_age;  // ReplicaRunner::StateAge
  MonoTime m_now;

  friend auto operator<=>(const ContactObservation&,
                          const ContactObservation&) = default;
};

QuorumContact UpdateContact(const QuorumContact& contact,
                            const ContactObservation& observation);

bool HearsEntryHosts(const QuorumContact& contact, MonoTime now);

// Earliest time at which HearsEntryHosts can be true.
MonoTime HearsEntryHostsFrom(const QuorumContact& contact);

}  // namespace jujube::controld
