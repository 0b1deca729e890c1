// Tests jujubectl against three control daemons: exit codes, conflicts between
// documents with equal numbers, safe resends, and the procedures of
// docs/operations.

#include "process/ctl_fixture.h"

namespace jujube::testing {
namespace {

// Exit codes of jujubectl; kDone is 0. kUnknown: the change was sent and may
// have been accepted.
enum ExitCode { kDone, kRefused, kBadInput, kConflict, kUnreachable, kUnknown };
constexpr int kNotInForce = 6;

// Guards against a `validate` command or a command line error that is handled
// only if control hosts are named on the command line.
TEST_F(CtlTest, ValidateAndCommandLineNeedNoControlHost) {
  const ProgramResult valid =
      RunCtlWithoutCluster({"validate", WriteDocument(1)});
  EXPECT_EQ(valid.m_exit_code, kDone) << valid.m_error;
  WriteText(Path("bad.json"), R"({"number":1,"regions":7})");
  const ProgramResult bad =
      RunCtlWithoutCluster({"validate", Path("bad.json")});
  EXPECT_EQ(bad.m_exit_code, kBadInput);
  EXPECT_NE(bad.m_error.find("bad.json: $.regions: found 7, expected "),
            std::string::npos)
      << bad.m_error;
  EXPECT_EQ(RunCtlWithoutCluster({"aply"}).m_exit_code, kBadInput);
  EXPECT_EQ(RunCtlWithoutCluster({"--no_such_flag", "status"}).m_exit_code,
            kBadInput);
  EXPECT_EQ(RunCtlWithoutCluster({"status"}).m_exit_code, kBadInput);
}

// Guards against a resent document that is reported as a conflict, and against
// a different or older document that is reported as accepted.
TEST_F(CtlTest, AppliesResendsConflictsAndComparesDocuments) {
  // The first command waits for the first election.
  const ProgramResult first = RunCtl({"apply", WriteDocument(1)});
  ASSERT_EQ(first.m_exit_code, kDone) << first.m_error;
  // Each host is the first in the list once; a follower redirects to the
  // leader.
  for (std::size_t host = 0; host < kHosts; ++host) {
    const ProgramResult again = RunCtlFrom(host, {"apply", WriteDocument(1)});
    EXPECT_EQ(again.m_exit_code, kDone) << again.m_error;
    EXPECT_EQ(again.m_out, first.m_out);  // same index and time
  }
  const ProgramResult conflict = RunCtl({"apply", WriteDocument(1, 50)});
  EXPECT_EQ(conflict.m_exit_code, kConflict);
  EXPECT_NE(conflict.m_error.find("operator ana"), std::string::npos)
      << conflict.m_error;
  const ProgramResult diff = RunCtl({"diff", WriteDocument(2, 50)});
  EXPECT_EQ(diff.m_exit_code, kDone) << diff.m_error;
  EXPECT_NE(diff.m_out.find("max_in_progress 40 -> 50"), std::string::npos)
      << diff.m_out;
  EXPECT_EQ(RunCtl({"apply", WriteDocument(3, 50)}).m_exit_code, kDone);
  EXPECT_EQ(RunCtl({"apply", WriteDocument(2)}).m_exit_code, kConflict);
  const boost::json::object history = RunCtlJson({"history"});
  const auto& entries = history.at("history").at("entries").as_array();
  ASSERT_EQ(entries.size(), 2U);
  EXPECT_EQ(entries[0].at("number"), 1);
  EXPECT_EQ(entries[1].at("number"), 3);
  // The printed document is equal to the one in force, so applying it succeeds.
  const ProgramResult config = RunCtl({"config"});
  EXPECT_EQ(config.m_exit_code, kDone);
  WriteText(Path("copy.json"), config.m_out);
  EXPECT_EQ(RunCtl({"apply", Path("copy.json")}).m_exit_code, kDone);
  EXPECT_NE(RunCtl({"diff", Path("copy.json")}).m_out.find("is equal"),
            std::string::npos);
}

// Guards against keys of tenants in the output or the logs: only "config"
// prints them, since its output is the document that an operator edits.
TEST_F(CtlTest, KeysOfTenantsAreNotPrinted) {
  const auto write = [&](int number, const std::string& keys) {
    std::string text = ReadText(WriteDocument(number));
    std::string tenants = "\"tenants\":[{\"name\":\"ferry\",\"keys\":";
    tenants += keys + "}],";
    text.insert(text.find('{') + 1, tenants);
    std::string path = Path("tenants-" + std::to_string(number));
    WriteText(path, text);
    return path;
  };
  const std::string first = write(1, R"(["secret-1","secret-2"])");
  const std::string second = write(2, R"(["secret-2","secret-3"])");
  std::string output;
  const auto run = [&](const std::vector<std::string>& arguments) {
    ProgramResult result = RunCtl(arguments);
    output += result.m_out + result.m_error;
    return result;
  };
  EXPECT_EQ(run({"validate", first}).m_exit_code, kDone);
  EXPECT_EQ(run({"validate", write(3, R"("secret-4")")}).m_exit_code,
            kBadInput);
  EXPECT_EQ(
      run({"validate", write(4, R"(["secret-4","secret-4"])")}).m_exit_code,
      kBadInput);
  EXPECT_EQ(run({"apply", first}).m_exit_code, kDone);
  EXPECT_NE(run({"diff", second})
                .m_out.find("tenant \"ferry\" keys: 1 added, 1 removed"),
            std::string::npos)
      << output;
  run({"--json", "diff", second});
  EXPECT_EQ(run({"apply", second}).m_exit_code, kDone);
  EXPECT_EQ(run({"apply", write(1, R"(["secret-5"])")}).m_exit_code, kConflict);
  run({"status"});
  run({"--json", "status"});
  run({"history"});
  run({"--json", "history"});
  EXPECT_EQ(output.find("secret"), std::string::npos) << output;
  for (std::size_t i = 0; i < kHosts; ++i) {
    const std::string log =
        ReadText(Path("control-" + std::to_string(i) + ".log"));
    EXPECT_EQ(log.find("secret"), std::string::npos) << log;
  }
  const std::string config = RunCtl({"config"}).m_out;
  EXPECT_NE(config.find("secret-3"), std::string::npos) << config;
  WriteText(Path("copy.json"), config);
  EXPECT_EQ(run({"apply", Path("copy.json")}).m_exit_code, kDone);
}

// Guards against a drain of an unknown name that is accepted, and against a
// status that omits a drain or shows it after it was resumed.
TEST_F(CtlTest, DrainsShowInStatusUntilResumed) {
  ASSERT_EQ(RunCtl({"apply", WriteDocument(1)}).m_exit_code, kDone);
  EXPECT_EQ(RunCtl({"drain", "region", "luson"}).m_exit_code, kRefused);
  EXPECT_EQ(RunCtl({"drain", "region", "luzon"}).m_exit_code, kDone);
  const ProgramResult twice = RunCtl({"drain", "region", "luzon"});
  EXPECT_EQ(twice.m_exit_code, kDone);
  EXPECT_NE(twice.m_out.find("already"), std::string::npos) << twice.m_out;
  const ProgramResult drained = RunCtl({"status"});
  EXPECT_EQ(drained.m_exit_code, kDone) << drained.m_error;
  EXPECT_NE(drained.m_out.find("drains:\n  region luzon"), std::string::npos)
      << drained.m_out;
  // No entry daemon runs, so the document is in force nowhere.
  EXPECT_NE(drained.m_out.find("that lag: e1"), std::string::npos)
      << drained.m_out;
  EXPECT_EQ(RunCtl({"resume", "region", "luzon"}).m_exit_code, kDone);
  EXPECT_NE(RunCtl({"status"}).m_out.find("drains: none"), std::string::npos);
  EXPECT_EQ(RunCtl({"remove-host", "e9"}).m_exit_code, kRefused);
}

// Guards against `apply --wait` that succeeds although an entry host does not
// run the document.
TEST_F(CtlTest, WaitReportsHostsThatDoNotRunTheDocument) {
  const ProgramResult result =
      RunCtl({"apply", WriteDocument(1), "--wait", "--wait_ms=300"});
  EXPECT_EQ(result.m_exit_code, kNotInForce);
  EXPECT_NE(result.m_error.find("not in force yet on e1"), std::string::npos)
      << result.m_error;
}

// Guards against a command that fails because the first host in its list is a
// frozen leader, which accepts the connection but never answers. The same
// command has to send the document to the next leader.
TEST_F(CtlTest, ResendsToTheNextLeaderIfTheFirstIsFrozen) {
  ASSERT_EQ(RunCtl({"apply", WriteDocument(1)}).m_exit_code, kDone);
  const std::size_t leader = WaitForLeader();
  SignalControl(leader, SIGSTOP);
  const ProgramResult result =
      RunCtlFrom(leader, {"apply", WriteDocument(2), "--timeout_ms=12000"});
  EXPECT_EQ(result.m_exit_code, kDone) << result.m_error;
  SignalControl(leader, SIGCONT);
  const ProgramResult again = RunCtlFrom(leader, {"apply", WriteDocument(2)});
  EXPECT_EQ(again.m_exit_code, kDone) << again.m_error;
  EXPECT_EQ(again.m_out, result.m_out);
}

// Guards against a command that reports success although only one of three
// control hosts runs.
TEST_F(CtlTest, WithoutAMajorityNothingIsAcceptedAndStatusSaysSo) {
  ASSERT_EQ(RunCtl({"apply", WriteDocument(1)}).m_exit_code, kDone);
  const std::size_t leader = WaitForLeader();
  const std::size_t other = (leader + 1) % kHosts;
  const std::size_t remaining = 3 - leader - other;
  // The next heartbeat informs a follower that the document is committed.
  WaitForStatus([&](const boost::json::object& report) {
    const auto* state = StatusOfHost(report, remaining);
    return state != nullptr && state->at("state").at("number") == 1;
  });
  StopControl(leader, SIGKILL);
  StopControl(other, SIGKILL);
  const ProgramResult apply =
      RunCtl({"apply", WriteDocument(2), "--timeout_ms=1500"});
  EXPECT_TRUE(apply.m_exit_code == kUnreachable ||
              apply.m_exit_code == kUnknown)
      << apply.m_exit_code << apply.m_error;
  WaitForStatus([&](const boost::json::object& report) {
    return report.at("result") == "Unreachable";
  });
  const ProgramResult status = RunCtl({"status"});
  EXPECT_NE(status.m_out.find("leader: none\ndocument in force: 1 "),
            std::string::npos)
      << status.m_out;
  // A restored majority continues with the same log.
  StartControl(leader, "data-" + std::to_string(leader), false);
  const ProgramResult later = RunCtl({"apply", WriteDocument(2)});
  EXPECT_EQ(later.m_exit_code, kDone) << later.m_error;
}

// Guards against steps of docs/operations/replace-a-host.md that do not work or
// leave the cluster with fewer than three voters.
TEST_F(CtlTest, ReplacesAControlHostWithALostDisk) {
  ASSERT_EQ(RunCtl({"apply", WriteDocument(1)}).m_exit_code, kDone);
  const std::size_t leader = WaitForLeader();
  const std::size_t lost = (leader + 1) % kHosts;
  const boost::json::object before = WaitForStatus([&](const auto& report) {
    return StatusOfHost(report, lost) != nullptr;
  });
  const std::string old_folder = boost::json::serialize(
      StatusOfHost(before, lost)->at("replica").at("folder"));
  StopControl(lost, SIGKILL);
  StartControl(lost, "data-new", true);
  const boost::json::object after = WaitForStatus([&](const auto& report) {
    return StatusOfHost(report, lost) != nullptr;
  });
  const std::string new_folder = boost::json::serialize(
      StatusOfHost(after, lost)->at("replica").at("folder"));
  ASSERT_NE(new_folder, old_folder);
  const std::string host = HostName(lost);
  ProgramResult step = RunCtl({"members", "add", host, new_folder});
  EXPECT_EQ(step.m_exit_code, kDone) << step.m_error;
  EXPECT_EQ(RunCtl({"members", "promote", host, new_folder}).m_exit_code,
            kRefused);
  step = RunCtl({"members", "remove", host, old_folder});
  EXPECT_EQ(step.m_exit_code, kDone) << step.m_error;
  // The promotion is refused while the learner is still receiving the log.
  do {
    step = RunCtl({"members", "promote", host, new_folder});
  } while (step.m_exit_code == kRefused);
  EXPECT_EQ(step.m_exit_code, kDone) << step.m_error;
  const ProgramResult members = RunCtl({"members"});
  EXPECT_EQ(members.m_out.find("learner"), std::string::npos) << members.m_out;
  EXPECT_EQ(members.m_out.find(old_folder), std::string::npos);
  EXPECT_NE(members.m_out.find(new_folder), std::string::npos);
  // The new voter counts for the quorum after another voter is killed.
  StopControl(3 - leader - lost, SIGKILL);
  const ProgramResult apply = RunCtl({"apply", WriteDocument(2)});
  EXPECT_EQ(apply.m_exit_code, kDone) << apply.m_error;
}

}  // namespace
}  // namespace jujube::testing
