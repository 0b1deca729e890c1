// MemberPresence: which control hosts this host hears.
//
//   presence.OnHeard(replica, now);       // any message of the replica
//   presence.OnStopping(replica, run);    // it said that it is about to stop
//   presence.OnUpdate(now);               // at least every kMaxUpdateGap
//   if (presence.Of(replica, now) == Presence::kSilent) ...

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>

#include "core/clock.h"
#include "gen/consensus.h"

namespace jujube::consensus {

enum class Presence : std::uint8_t {
  kHeard,      // heard within two introduction intervals
  kUncertain,  // neither
  kSilent,     // not heard for longer than kPeerSilenceTimeout, or stopping
};

class MemberPresence {
 public:
  // A longer time between two updates means that this process was suspended.
  static constexpr std::chrono::milliseconds kMaxUpdateGap{1000};
  // Longer than the time between the start of a host and the planned stop of
  // the one that it replaces.
  static constexpr std::chrono::milliseconds kSettledTime{20000};

  explicit MemberPresence(MonoTime now)
      : m_listening_since(now), m_updated_at(now) {}

  void OnHeard(const VoterId& replica, MonoTime now);
  // run: incarnation of the replica's process; a later one is not stopping.
  void OnStopping(const VoterId& replica, std::uint64_t run);
  void OnRun(const VoterId& replica, std::uint64_t run);
  void OnUpdate(MonoTime now);

  Presence Of(const VoterId& replica, MonoTime now) const;
  // True if the process of the replica was heard without a pause for this time.
  bool IsSettled(const VoterId& replica, MonoTime now) const;
  // Time without a message of the replica, counted at most since this process
  // started or was resumed: before, it could hear nobody.
  MonoClock::duration SilenceOf(const VoterId& replica, MonoTime now) const;

  // Forgets a replica, for example when its host is gone.
  void Forget(const HostId& host);

 private:
  struct Contact {
    MonoTime m_heard_at{};
    MonoTime m_heard_since{};  // without a silence in between
    std::uint64_t m_run = 0;
    bool m_is_stopping = false;

    friend auto operator<=>(const Contact&, const Contact&) = default;
  };

  MonoTime m_listening_since;
  MonoTime m_updated_at;
  std::map<VoterId, Contact> m_contacts;
};

}  // namespace jujube::consensus
