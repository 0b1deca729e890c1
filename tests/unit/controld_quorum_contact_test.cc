#include "controld/quorum_contact.h"

#include <gtest/gtest.h>

namespace jujube::controld {
namespace {

using std::chrono::milliseconds;

MonoTime TimeAt(int ms) {
  return MonoTime(milliseconds(1000000 + ms));
}

constexpr int kTickMs = 50;

// A host that reaches a majority from `from_ms` to `to_ms`.
QuorumContact InContact(QuorumContact contact, int from_ms, int to_ms) {
  for (int ms = from_ms; ms <= to_ms; ms += kTickMs)
    contact = UpdateContact(
        contact, {.m_state_age = milliseconds(kTickMs), .m_now = TimeAt(ms)});
  return contact;
}

// A host whose state was confirmed last at `last_ms`.
QuorumContact CutOff(QuorumContact contact, int last_ms, int to_ms) {
  for (int ms = last_ms; ms <= to_ms; ms += kTickMs)
    contact = UpdateContact(contact, {.m_state_age = milliseconds(ms - last_ms),
                                      .m_now = TimeAt(ms)});
  return contact;
}

// Guards against a leave that a control host acknowledges right after its
// start, before entry hosts have connected to it.
TEST(QuorumContact, StartedHostWaitsForEntryHosts) {
  EXPECT_FALSE(HearsEntryHosts({}, TimeAt(0)));
  EXPECT_FALSE(HearsEntryHosts(InContact({}, 0, 3400), TimeAt(3400)));
  EXPECT_TRUE(HearsEntryHosts(InContact({}, 0, 3600), TimeAt(3600)));
}

// Guards against a leave that a control host acknowledges after a cut, because
// the entry hosts that it no longer hears do not count any more.
TEST(QuorumContact, HostThatIsCutOffStopsBeforeEntryHostsStopCounting) {
  const QuorumContact before = InContact({}, 0, 10000);
  EXPECT_TRUE(HearsEntryHosts(CutOff(before, 10000, 10900), TimeAt(10900)));
  EXPECT_FALSE(HearsEntryHosts(CutOff(before, 10000, 11100), TimeAt(11100)));
  // The last value counts even if the next update is late.
  EXPECT_FALSE(HearsEntryHosts(before, TimeAt(11100)));
}

// Guards against leaves that stay unacknowledged after an election, which entry
// hosts do not notice.
TEST(QuorumContact, ElectionDoesNotRequireNewConnections) {
  const QuorumContact after =
      InContact(CutOff(InContact({}, 0, 10000), 10000, 11400), 11450, 11500);
  EXPECT_TRUE(HearsEntryHosts(after, TimeAt(11500)));
}

// Guards against an acknowledgement right after a long cut or suspension, when
// entry hosts have closed their connections to this host.
TEST(QuorumContact, LongInterruptionRequiresNewConnections) {
  const QuorumContact before = InContact({}, 0, 10000);
  const QuorumContact healed =
      InContact(CutOff(before, 10000, 13000), 13050, 13100);
  EXPECT_FALSE(HearsEntryHosts(healed, TimeAt(13100)));
  EXPECT_TRUE(HearsEntryHosts(InContact(healed, 13150, 17000), TimeAt(17000)));
  // A resumed process that has received a message before its first update.
  const QuorumContact resumed = InContact(before, 13000, 13100);
  EXPECT_FALSE(HearsEntryHosts(resumed, TimeAt(13100)));
}

}  // namespace
}  // namespace jujube::controld
