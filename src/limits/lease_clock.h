// Tells the leader which leases have expired. Not replicated.
//
// A lease starts for its holder when it sent the request, and for the leader
// when the command that grants it is committed. The holder's clock may run
// slower, so the leader waits kGrantorLease, which is longer by the drift
// margin. A new leader does not know when recorded leases were committed and
// measures all of them from its own election: an entry of its log was proposed,
// and so requested by the holder, before it was elected.
//
//   clock.OnElected(last_log_index, now);
//   clock.OnCommitted(index, now);      // each committed renew command, rising
//   command.m_expired_index = clock.ExpiredThrough(now);

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace jujube::limits {

// Long enough to miss several renewals of one second each, short enough to move
// capacity away from a lost host within seconds.
inline constexpr std::chrono::milliseconds kLease{5000};

// Drift of two clocks against each other, per cent.
inline constexpr int kDriftPercent = 1;

inline constexpr std::chrono::milliseconds kGrantorLease =
    kLease + kLease * kDriftPercent / 100;

class LeaseClock {
 public:
  // Forgets what was measured before. last_log_index is the last index of the
  // new leader's log at its election.
  void OnElected(std::uint64_t last_log_index, MonoTime now);

  // A renew command was committed. Indexes rise.
  void OnCommitted(std::uint64_t index, MonoTime now);

  // Greatest log index whose leases, and all before, have expired. Rises.
  std::uint64_t ExpiredThrough(MonoTime now);

 private:
  struct Grant {
    std::uint64_t m_index = 0;
    MonoTime m_started;
  };

  std::deque<Grant> m_grants;  // by rising index and time
  std::uint64_t m_expired = 0;
};

}  // namespace jujube::limits
