#include <gtest/gtest.h>

#include "consensus/peer_contacts.h"

namespace jujube::consensus {
namespace {

using std::chrono::milliseconds;

HostId Peer() {
  return HostId{"10.0.0.1:7400"};
}

constexpr MonoTime kStart{std::chrono::hours(1)};

// Guards against a connection that stays open to a process that no longer runs.
TEST(PeerContacts, NewProcessOfThePeerInvalidatesTheConnection) {
  PeerContacts contacts;
  const PeerConnection connection{.m_run = 7, .m_opened_at = kStart};
  contacts.OnIntroduction(Peer(), 7, kStart);
  EXPECT_FALSE(contacts.MustReopen(Peer(), connection, kStart));
  contacts.OnIntroduction(Peer(), 8, kStart);
  EXPECT_TRUE(contacts.MustReopen(Peer(), connection, kStart));
  // An introduction of the earlier process that arrives late must not close the
  // connection to the later one.
  EXPECT_FALSE(
      contacts.MustReopen(Peer(), {.m_run = 9, .m_opened_at = kStart}, kStart));
}

// Guards against waiting for a peer that restarted and does not know this host,
// so that it never introduces its new process.
TEST(PeerContacts, SilentPeerIsConnectedAgain) {
  PeerContacts contacts;
  const PeerConnection connection{.m_run = 7, .m_opened_at = kStart};
  contacts.OnIntroduction(Peer(), 7, kStart);
  contacts.OnIntroduction(Peer(), 7, kStart + kIntroductionInterval);
  const MonoTime last = kStart + kIntroductionInterval;
  EXPECT_FALSE(
      contacts.MustReopen(Peer(), connection, last + kPeerSilenceTimeout));
  const MonoTime silent = last + kPeerSilenceTimeout + milliseconds(1);
  EXPECT_TRUE(contacts.MustReopen(Peer(), connection, silent));
  // A new connection gets the same time again.
  EXPECT_FALSE(
      contacts.MustReopen(Peer(), {.m_run = 7, .m_opened_at = silent}, silent));
}

// Guards against reconnecting every few seconds to a peer of an earlier
// version, which introduces itself only once for each connection.
TEST(PeerContacts, PeerThatDoesNotRepeatIsNotSilent) {
  PeerContacts contacts;
  const PeerConnection connection{.m_run = 7, .m_opened_at = kStart};
  const MonoTime later = kStart + std::chrono::hours(1);
  EXPECT_FALSE(contacts.MustReopen(Peer(), connection, later));
  contacts.OnIntroduction(Peer(), 7, kStart);
  EXPECT_FALSE(contacts.MustReopen(Peer(), connection, later));
}

}  // namespace
}  // namespace jujube::consensus
