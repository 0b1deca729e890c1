// PeerContacts: decides which connections to other control hosts have to be
// opened again.
//
//   PeerContacts contacts;
//   contacts.OnIntroduction(host, introduction.m_run, now);
//   if (contacts.MustReopen(host, {connected_run, connected_since}, now)) ...
//
// A host that loses power closes no connection, so a connection to it can stay
// open without a process at the other end. Every host therefore repeats its
// introduction on each of its connections: a peer whose connection to this host
// is fresh proves that the peer's process runs, and names that process.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>

#include "core/clock.h"
#include "gen/types.h"

namespace jujube::consensus {

// Interval at which a host repeats its introduction.
inline constexpr std::chrono::milliseconds kIntroductionInterval{500};

// A peer that repeats its introduction and is silent for longer is taken to be
// unreachable over its present connections: three introductions were lost.
inline constexpr std::chrono::milliseconds kPeerSilenceTimeout{1700};

// A connection of this host to a peer.
struct PeerConnection {
  std::uint64_t m_run = 0;  // incarnation of the process that accepted it
  MonoTime m_opened_at{};

  friend auto operator<=>(const PeerConnection&,
                          const PeerConnection&) = default;
};

class PeerContacts {
 public:
  // run: incarnation of the peer's process; increases with each start.
  void OnIntroduction(const HostId& host, std::uint64_t run, MonoTime now);

  // True if the connection leads to an earlier process of the peer, or if the
  // peer repeated its introduction before and has fallen silent. False for a
  // peer that has not introduced itself yet.
  bool MustReopen(const HostId& host,
                  const PeerConnection& connection,
                  MonoTime now) const;

 private:
  struct Contact {
    std::uint64_t m_run = 0;
    MonoTime m_introduced_at{};
    // False for a peer of an earlier version, which introduces itself once for
    // each connection and therefore cannot be told from a silent one.
    bool m_is_repeated = false;
  };

  std::map<HostId, Contact> m_contacts;
};

}  // namespace jujube::consensus
