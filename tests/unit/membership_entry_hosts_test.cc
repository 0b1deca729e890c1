#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gen/membership_wire.h"
#include "membership/entry_host_directory.h"
#include "membership/entry_host_log.h"
#include "membership/known_sender.h"

namespace jujube::membership {
namespace {

using std::chrono::milliseconds;

constexpr const char* kControl1 = "control-1";
constexpr const char* kControl2 = "control-2";

MonoTime TimeAt(int ms) {
  return MonoTime(milliseconds(1000000 + ms));
}

EntryHostState MakeState(const std::string& host,
                         std::uint64_t incarnation = 1) {
  return {.m_host = {host},
          .m_incarnation = incarnation,
          .m_presence = {.m_availability_zone = {"luz-caloocan"},
                         .m_caller = {.m_address = "10.1.0.9", .m_port = 80},
                         .m_ready = true},
          .m_live = true};
}

EntryHostState MakeSilent(EntryHostState state) {
  state.m_live = false;
  return state;
}

EntryHostState MakeLeaving(EntryHostState state) {
  state.m_leaving = true;
  return state;
}

std::string Names(const EntryHostDirectory& directory, int ms) {
  std::string names;
  for (const EntryHostState& host : directory.UsableHosts(TimeAt(ms)))
    names += host.m_host.m_value + " ";
  return names;
}

// Keeps a control host heard from `from_ms` on until just before `to_ms`.
void ReportNothing(EntryHostDirectory& directory,
                   const char* reporter,
                   int from_ms,
                   int to_ms,
                   std::uint64_t incarnation = 1) {
  constexpr int kInterval = 500;
  for (int ms = from_ms; ms < to_ms; ms += kInterval)
    directory.OnReport({reporter}, incarnation, {}, TimeAt(ms));
}

// Guards against messages that repeat the states of all entry hosts: with
// hundreds of them, each message would fill the link of a host.
TEST(EntryHostLog, EachSubscriberIsSentOnlyWhatChanged) {
  EntryHostLog log;
  log.Record(MakeState("entry-1"));
  log.Record(MakeState("entry-2"));
  const std::uint64_t version = log.Version();
  log.Record(MakeState("entry-1"));
  EXPECT_EQ(log.Version(), version);
  EXPECT_TRUE(log.ChangedSince(version).empty());
  log.Record(MakeSilent(MakeState("entry-2")));
  const std::vector<EntryHostState> changes = log.ChangedSince(version);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0], MakeSilent(MakeState("entry-2")));
  EXPECT_EQ(log.ChangedSince(0).size(), 2U);
  log.Remove({"entry-1"});
  EXPECT_EQ(log.ChangedSince(0).size(), 1U);
}

// Guards against a rolling restart of the entry hosts that takes up the link of
// an entry host. The budget is 10 KB/s for what a node spends on control.
TEST(EntryHostLog, ARollingRestartStaysWithinTheBudgetOfANode) {
  constexpr int kHosts = 1430;
  constexpr int kControlHosts = 5;
  constexpr int kSeconds = 86400;
  // 340 of the hosts restart in a day; each restart has four changes.
  constexpr int kChanges = 340 * 4;
  EntryHostLog log;
  for (int i = 0; i < kHosts; ++i)
    log.Record(MakeState("edge-luz-caloocan-" + std::to_string(i)));
  std::size_t bytes = 0;
  for (int i = 0; i < kChanges; ++i) {
    const std::uint64_t version = log.Version();
    log.Record(MakeState("edge-luz-caloocan-" + std::to_string(i % kHosts),
                         static_cast<std::uint64_t>(i) + 2));
    const RegistryDelta empty;
    const RegistryDelta delta{.m_entry_host_states = log.ChangedSince(version)};
    bytes += Encode(delta).size() - Encode(empty).size();
  }
  EXPECT_LT(bytes * kControlHosts / kSeconds, 10U);
  // All hosts restart within a minute.
  EXPECT_LT(bytes / kChanges * kHosts * 4 * kControlHosts / 60, 60000U);
}

// Guards against entry hosts that tell callers nothing, or less and less, while
// no control host is reachable, though all entry hosts serve.
TEST(EntryHostDirectory, HostsStayUsableWithoutControlHosts) {
  EntryHostDirectory directory;
  directory.OnReport({kControl1}, 1,
                     {MakeState("entry-1"), MakeState("entry-2")}, TimeAt(0));
  EXPECT_EQ(Names(directory, 100), "entry-1 entry-2 ");
  EXPECT_EQ(Names(directory, 60000), "entry-1 entry-2 ");
}

// Guards against naming hosts that stopped, are not ready or died while a
// control host hears the others.
TEST(EntryHostDirectory, HostsThatDoNotServeAreDropped) {
  EntryHostDirectory directory;
  EntryHostState starting = MakeState("entry-3");
  starting.m_presence.m_ready = false;
  directory.OnReport({kControl1}, 1,
                     {MakeState("entry-1"), MakeState("entry-2"), starting,
                      MakeState("entry-4")},
                     TimeAt(0));
  EXPECT_EQ(Names(directory, 100), "entry-1 entry-2 entry-4 ");
  directory.OnReport(
      {kControl1}, 1,
      {MakeLeaving(MakeState("entry-1")), MakeSilent(MakeState("entry-2"))},
      TimeAt(200));
  EXPECT_EQ(Names(directory, 200), "entry-4 ");
}

// Guards against a control host that is cut off from entry hosts and takes them
// out of the answers although another control host hears them.
TEST(EntryHostDirectory, OneControlHostThatHearsAHostIsEnough) {
  EntryHostDirectory directory;
  directory.OnReport({kControl1}, 1, {MakeState("entry-1")}, TimeAt(0));
  directory.OnReport({kControl2}, 1, {MakeSilent(MakeState("entry-1"))},
                     TimeAt(100));
  EXPECT_EQ(Names(directory, 200), "entry-1 ");
  // The control host that heard it is silent itself.
  ReportNothing(directory, kControl2, 500, 2500);
  EXPECT_EQ(Names(directory, 2500), "");
}

// Guards against a late report of an earlier process that puts a stopped host
// back into the answers, or takes a restarted one out.
TEST(EntryHostDirectory, TheNewestIncarnationCounts) {
  EntryHostDirectory directory;
  directory.OnReport({kControl1}, 1, {MakeState("entry-1", 2)}, TimeAt(0));
  directory.OnReport({kControl2}, 1, {MakeLeaving(MakeState("entry-1", 1))},
                     TimeAt(100));
  EXPECT_EQ(Names(directory, 200), "entry-1 ");
  directory.OnReport({kControl1}, 1, {MakeLeaving(MakeState("entry-1", 2))},
                     TimeAt(300));
  directory.OnReport({kControl2}, 1, {MakeState("entry-1", 2)}, TimeAt(400));
  EXPECT_EQ(Names(directory, 500), "");
}

// Guards against naming a host for good that died while no control host ran:
// the control hosts that came back have never heard of it.
TEST(EntryHostDirectory, HostsThatNoRestartedControlHostReportsAreDropped) {
  EntryHostDirectory directory;
  directory.OnReport({kControl1}, 1,
                     {MakeState("entry-1"), MakeState("entry-2")}, TimeAt(0));
  directory.OnReport({kControl1}, 2, {}, TimeAt(6000));
  // Entry hosts need a moment to reconnect.
  EXPECT_EQ(Names(directory, 6100), "entry-1 entry-2 ");
  directory.OnReport({kControl1}, 2, {MakeState("entry-1")}, TimeAt(6500));
  ReportNothing(directory, kControl1, 7000, 9000, 2);
  EXPECT_EQ(Names(directory, 9000), "entry-1 ");
}

// Guards against a process that was paused and goes on naming hosts that died
// meanwhile as if it had heard the control hosts all the while.
TEST(EntryHostDirectory, ReportsFromBeforeAPauseMustBeConfirmed) {
  EntryHostDirectory directory;
  directory.OnReport({kControl1}, 1,
                     {MakeState("entry-1"), MakeState("entry-2")}, TimeAt(0));
  ReportNothing(directory, kControl1, 500, 3000);
  // The pause; then the control host, which restarted meanwhile, is heard.
  directory.OnReport({kControl1}, 2, {MakeState("entry-2")}, TimeAt(9000));
  EXPECT_EQ(Names(directory, 9000), "entry-1 entry-2 ");
  ReportNothing(directory, kControl1, 9500, 11600, 2);
  EXPECT_EQ(Names(directory, 11600), "entry-2 ");
}

// Guards against ignoring a host that restarted after its time of day was set
// back, which gives its new process a lower incarnation.
TEST(EntryHostDirectory, ARestartedHostMayHaveALowerIncarnation) {
  EntryHostDirectory directory;
  directory.OnReport({kControl1}, 9, {MakeState("entry-1", 9)}, TimeAt(0));
  directory.OnReport({kControl2}, 9, {MakeState("entry-1", 9)}, TimeAt(0));
  directory.OnReport({kControl1}, 9, {MakeState("entry-1", 5)}, TimeAt(2000));
  directory.OnReport({kControl2}, 9, {MakeSilent(MakeState("entry-1", 9))},
                     TimeAt(2000));
  EXPECT_EQ(Names(directory, 2000), "entry-1 ");
  // The same for a control host.
  directory.OnReport({kControl1}, 4, {MakeSilent(MakeState("entry-1", 5))},
                     TimeAt(2100));
  EXPECT_EQ(Names(directory, 2200), "entry-1 ");
  directory.OnReport({kControl1}, 4, {MakeSilent(MakeState("entry-1", 5))},
                     TimeAt(4000));
  EXPECT_EQ(Names(directory, 4000), "");
}

// Guards against messages of a restarted host that are dropped for good because
// its time of day was set back before the restart, and against a late message
// of an earlier process that is taken while the later one is heard.
TEST(KnownSender, LowerIncarnationIsTakenAfterASilence) {
  const KnownSender known{.m_incarnation = 9,
                          .m_last_received = TimeAt(0),
                          .m_silence = milliseconds(1700)};
  EXPECT_TRUE(IsFromEarlierProcess(known, 8, TimeAt(1699)));
  EXPECT_FALSE(IsFromEarlierProcess(known, 8, TimeAt(1700)));
  EXPECT_FALSE(IsFromEarlierProcess(known, 9, TimeAt(100)));
  EXPECT_FALSE(IsFromEarlierProcess(known, 10, TimeAt(100)));
}

}  // namespace
}  // namespace jujube::membership
