// Guards the messages and exit codes that operators and scripts depend on.

#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "core/json_document.h"
#include "ctl/document.h"
#include "ctl/render.h"
#include "ctl/report.h"
#include "gen/control_json.h"
#include "gen/control_status_json.h"
#include "gen/ctl_json.h"
#include "gen/deployment_json.h"
#include "unit/sample_deployment.h"

namespace jujube::ctl {
namespace {

const Endpoint any_host{"127.0.0.1", 8093};

template <class T>
CallResult Answered(std::uint16_t status, const T& answer) {
  const CallOutcome outcome{.m_delivery = Delivery::kResponseReceived,
                            .m_status = status,
                            .m_body = boost::json::serialize(ToJson(answer))};
  return {.m_decision = DecideRetry(outcome, RetrySafety::kSafe),
          .m_outcome = outcome,
          .m_host = any_host};
}

ControlHostReport HostState(const std::string& name,
                            const std::string& role,
                            std::uint64_t term,
                            std::vector<HostVersion> in_force = {}) {
  return {.m_endpoint = any_host,
          .m_status =
              ControlDaemonStatus{.m_host = {name},
                                  .m_role = role,
                                  .m_term = term,
                                  .m_state = {.m_feed_index = 9, .m_number = 3},
                                  .m_in_force = std::move(in_force),
                                  .m_lagging = {{"e1"}, {"e2"}, {"e3"}}}};
}

TEST(CtlReport, ConflictReportsTheAcceptedDocument) {
  const Command command{.m_kind = CtlCommand::kApply, .m_file = "f"};
  const ApplyAnswer answer{.m_outcome = ApplyOutcome::kConflict,
                           .m_accepted = {.m_number = 7,
                                          .m_index = 12,
                                          .m_operator_name = "ana",
                                          .m_time = 1767225600000}};
  const CtlReport report = MakeReport(command, Answered(409, answer));
  EXPECT_EQ(report.m_result, ExitCode::kConflict);
  EXPECT_EQ(report.m_apply, answer);
  const std::string text = RenderError(report);
  EXPECT_NE(text.find("$.number: found 7"), std::string::npos) << text;
  EXPECT_NE(text.find("operator ana, 2026-01-01T00:00:00Z"), std::string::npos)
      << text;
  EXPECT_EQ(RenderText(report), "");
}

TEST(CtlReport, RefusedDocumentListsTheProblemsOfTheLeader) {
  const Command command{.m_kind = CtlCommand::kApply};
  const ApplyAnswer answer{.m_outcome = ApplyOutcome::kInvalid,
                           .m_problems = {"$.sites[0]: found x"}};
  const CtlReport report = MakeReport(command, Answered(422, answer));
  EXPECT_EQ(report.m_result, ExitCode::kRefused);
  EXPECT_NE(RenderError(report).find("$.sites[0]: found x\n"),
            std::string::npos);
}

TEST(CtlReport, DrainOfAnUnknownNameRefersToConfig) {
  const Command command{
      .m_kind = CtlCommand::kDrain,
      .m_drain = Drain{.m_kind = DrainKind::kRegion, .m_name = "luson"}};
  const DrainAnswer answer{.m_outcome = DrainOutcome::kUnknownName};
  const CtlReport report = MakeReport(command, Answered(422, answer));
  EXPECT_EQ(report.m_result, ExitCode::kRefused);
  EXPECT_NE(report.m_message.find("region luson"), std::string::npos);
  EXPECT_NE(report.m_message.find("jujubectl config"), std::string::npos);
}

// A truncated or unrelated body with status 200 must not count as success.
TEST(CtlReport, UnparsableResponseIsNotSuccess) {
  CallResult result = Answered(200, ApplyAnswer{});
  result.m_outcome.m_body = "{\"outcome\":";
  EXPECT_EQ(MakeReport({.m_kind = CtlCommand::kApply}, result).m_result,
            ExitCode::kUnknown);
}

TEST(CtlReport, OnlyReadsAndApplyAreSafeToRetry) {
  EXPECT_EQ(RetrySafetyOf({.m_kind = CtlCommand::kApply}), RetrySafety::kSafe);
  EXPECT_EQ(RetrySafetyOf({.m_kind = CtlCommand::kHistory}),
            RetrySafety::kSafe);
  EXPECT_EQ(RetrySafetyOf({.m_kind = CtlCommand::kDrain, .m_drain = Drain{}}),
            RetrySafety::kUnsafe);
  EXPECT_EQ(RetrySafetyOf({.m_kind = CtlCommand::kMembers,
                           .m_member_change = MemberChange{}}),
            RetrySafety::kUnsafe);
  EXPECT_EQ(RetrySafetyOf(
                {.m_kind = CtlCommand::kRemoveHost, .m_host = HostId{"e1"}}),
            RetrySafety::kUnsafe);
}

TEST(CtlReport, RequestCarriesKeyOperatorAndBody) {
  const CtlOptions options{.m_operator_key = "k", .m_operator_name = "ana"};
  const net::HttpRequest request = MakeRequest(
      {.m_kind = CtlCommand::kResume,
       .m_drain = Drain{.m_kind = DrainKind::kRegion, .m_name = "luzon"}},
      options, "");
  EXPECT_EQ(request.m_method, "POST");
  EXPECT_EQ(request.m_target, "/v1/resume");
  EXPECT_EQ(request.m_headers[0], (Header{"Authorization", "Bearer k"}));
  EXPECT_EQ(request.m_headers[1], (Header{"Jujube-Operator", "ana"}));
  EXPECT_EQ(request.m_body, "{\"kind\":\"Region\",\"name\":\"luzon\"}");
  EXPECT_EQ(MakeRequest({.m_kind = CtlCommand::kMembers}, options, "").m_target,
            "/v1/status");
}

// An isolated leader still reports that it leads until its quorum check fails.
TEST(CtlStatus, PrefersTheLeaderWithTheHigherTerm) {
  const std::vector hosts{HostState("c1", "leader", 4),
                          HostState("c2", "leader", 5),
                          HostState("c3", "follower", 6)};
  EXPECT_EQ(MostRecentStatus(hosts)->m_host, HostId{"c2"});
  EXPECT_TRUE(HasLeader(hosts));
}

// An entry host reports to the control host whose feed it follows, which need
// not be the leader.
TEST(CtlStatus, EntryHostThatReportsToAFollowerDoesNotLag) {
  const std::vector hosts{
      HostState("c1", "leader", 4, {{.m_host = {"e1"}, .m_index = 9}}),
      HostState("c2", "follower", 4,
                {{.m_host = {"e2"}, .m_index = 10},
                 {.m_host = {"e3"}, .m_index = 8}})};
  EXPECT_EQ(LaggingEntryHosts(hosts), (std::vector<HostId>{{"e3"}}));
}

TEST(CtlStatus, ShowsStatusButFailsWithoutALeader) {
  const CtlReport report = MakeStatusReport(
      CtlCommand::kStatus,
      {HostState("c1", "follower", 4),
       {.m_endpoint = any_host, .m_error = "connect: refused"}});
  EXPECT_EQ(report.m_result, ExitCode::kUnreachable);
  const std::string text = RenderText(report);
  EXPECT_NE(text.find("leader: none\ndocument in force: 3 "), std::string::npos)
      << text;
  EXPECT_NE(text.find("no answer"), std::string::npos) << text;
  EXPECT_NE(RenderError(report).find("out of date"), std::string::npos);
}

TEST(CtlStatus, ShowsLeaderDrainsAndLag) {
  ControlHostReport leader = HostState("c1", "leader", 4);
  leader.m_status->m_state.m_drains = {{DrainKind::kRegion, "luzon"}};
  leader.m_status->m_members = {
      {.m_replica = {.m_host = {"c1"}, .m_folder = 77}, .m_voter = true},
      {.m_replica = {.m_host = {"c2"}, .m_folder = 78}}};
  const CtlReport report = MakeStatusReport(CtlCommand::kStatus, {leader});
  EXPECT_EQ(report.m_result, ExitCode::kDone);
  const std::string text = RenderText(report);
  EXPECT_NE(text.find("leader: c1\n"), std::string::npos) << text;
  EXPECT_NE(text.find("drains:\n  region luzon\n"), std::string::npos) << text;
  EXPECT_NE(text.find("entry hosts that lag: e1, e2, e3\n"), std::string::npos)
      << text;
  EXPECT_NE(text.find("c2      78      learner\n"), std::string::npos) << text;
}

CtlReport AcceptedReport(std::uint64_t number) {
  return {
      .m_command = CtlCommand::kApply,
      .m_message = "accepted",
      .m_apply = ApplyAnswer{.m_accepted = {.m_number = number, .m_index = 9}}};
}

TEST(CtlWait, EndsOnlyWhenALeaderReportsThatAllHostsRunTheDocument) {
  ControlHostReport leader = HostState("c1", "leader", 4);
  EXPECT_FALSE(FinalWaitReport(AcceptedReport(3), {leader}));
  leader.m_status->m_lagging.clear();
  EXPECT_EQ(FinalWaitReport(AcceptedReport(3), {leader})->m_result,
            ExitCode::kDone);
  // Until the leader has applied the document, its list of lagging hosts refers
  // to an older one.
  leader.m_status->m_state.m_feed_index = 8;
  EXPECT_FALSE(FinalWaitReport(AcceptedReport(3), {leader}));
  ControlHostReport follower = HostState("c2", "follower", 4);
  follower.m_status->m_lagging.clear();
  EXPECT_FALSE(FinalWaitReport(AcceptedReport(3), {follower}));
}

// An old file that is applied again after a later one gets the response of its
// first apply; this must not be reported as a successful rollback.
TEST(CtlWait, ReplacedDocumentIsNotInForce) {
  ControlHostReport leader = HostState("c1", "leader", 4);
  leader.m_status->m_lagging.clear();
  const CtlReport report = *FinalWaitReport(AcceptedReport(2), {leader});
  EXPECT_EQ(report.m_result, ExitCode::kNotInForce);
  EXPECT_NE(report.m_message.find("document 3 has replaced it"),
            std::string::npos);
}

TEST(CtlWait, TimeoutListsLaggingHostsAndKeepsTheResponse) {
  const CtlReport timeout_report =
      MakeWaitTimeoutReport(AcceptedReport(3), {HostState("c1", "leader", 4)});
  EXPECT_EQ(timeout_report.m_result, ExitCode::kNotInForce);
  EXPECT_EQ(timeout_report.m_apply, AcceptedReport(3).m_apply);
  EXPECT_NE(timeout_report.m_message.find("not in force yet on e1, e2, e3"),
            std::string::npos);
}

// Scripts compare the numbers; inserting a new value would shift them.
TEST(CtlReport, ExitCodesAreTheDocumentedNumbers) {
  EXPECT_EQ(static_cast<int>(ExitCode::kDone), 0);
  EXPECT_EQ(static_cast<int>(ExitCode::kRefused), 1);
  EXPECT_EQ(static_cast<int>(ExitCode::kBadInput), 2);
  EXPECT_EQ(static_cast<int>(ExitCode::kConflict), 3);
  EXPECT_EQ(static_cast<int>(ExitCode::kUnreachable), 4);
  EXPECT_EQ(static_cast<int>(ExitCode::kUnknown), 5);
  EXPECT_EQ(static_cast<int>(ExitCode::kNotInForce), 6);
}

TEST(CtlReport, JsonOutputRoundTrips) {
  const CtlReport report{.m_command = CtlCommand::kApply,
                         .m_result = ExitCode::kConflict,
                         .m_message = "m",
                         .m_apply = ApplyAnswer{}};
  const std::string text = boost::json::serialize(ToJson(report));
  EXPECT_EQ(ParseDocument<CtlReport>(text, "output").value(), report);
}

TEST(CtlDocument, FormattedDocumentParsesToTheSameDocument) {
  const Deployment sample = testing::SampleDeployment(5);
  const LoadedDocument loaded =
      ParseAndCheckDocument(FormatDocument(sample), "f");
  EXPECT_EQ(loaded.m_problems, std::vector<std::string>());
  EXPECT_EQ(loaded.m_deployment, sample);
}

TEST(CtlDocument, ProblemsNameFileAndPath) {
  Deployment sample = testing::SampleDeployment(5);
  sample.m_sites[0].m_availability_zone = {"nowhere"};
  const LoadedDocument loaded =
      ParseAndCheckDocument(FormatDocument(sample), "f.json");
  EXPECT_FALSE(loaded.m_deployment);
  ASSERT_FALSE(loaded.m_problems.empty());
  EXPECT_EQ(loaded.m_problems[0].rfind("f.json: $.sites[0]", 0), 0U)
      << loaded.m_problems[0];
  EXPECT_FALSE(ParseAndCheckDocument("{", "f.json").m_deployment);
  EXPECT_FALSE(LoadDocument("/nonexistent/f.json").m_deployment);
}

}  // namespace
}  // namespace jujube::ctl
