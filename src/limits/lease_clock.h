// Determines which leases have expired, on the leader. Not replicated.
//
// The holder starts a lease when it sends the request, the leader when the
// command that grants the lease is committed. As the holder's clock may run
// slower, the leader waits kGrantorLease, which adds a margin for clock drift.
// A new leader does not know when earlier grants were committed and starts all
// of them at its own election. This is late enough: each grant in its log was
// requested by the holder, and then proposed, before the election.
//
//   clock.OnElected(last_log_index, now);
//   clock.OnCommitted(log_index, now);      // each committed renew command
//   command.m_expired_index = clock.ExpiredThrough(now);

#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace jujube::limits {

// Lease duration. Long enough to miss several of the renewals that are sent
// every second, short enough to reassign the capacity of a lost host within
// seconds.
inline constexpr std::chrono::milliseconds kLeaseDuration{5000};

// Maximum relative drift between two clocks.
inline constexpr int kMaxClockDriftPercent = 1;

inline constexpr std::chrono::milliseconds kGrantorLease =
    kLeaseDuration + kLeaseDuration * kMaxClockDriftPercent / 100;

class LeaseClock {
 public:
  // Resets the clock for a new leader. `last_log_index` is the last index of
  // its log at the election.
  void OnElected(std::uint64_t last_log_index, MonoTime now);

  // Records the commit of a renew command. Indexes increase between calls.
  void OnCommitted(std::uint64_t log_index, MonoTime now);

  // Greatest log index such that all leases granted up to it have expired.
  // Never decreases between elections.
  std::uint64_t ExpiredThrough(MonoTime now);

 private:
  struct CommittedGrant {
    std::uint64_t m_index = 0;
    MonoTime m_start_time;
  };

  std::deque<CommittedGrant> m_grants;  // ascending index and time
  std::uint64_t m_expired_index = 0;
};

}  // namespace jujube::limits
