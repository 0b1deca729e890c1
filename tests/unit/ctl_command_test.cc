// Guards against command lines that are parsed as another command or operand.

#include <gtest/gtest.h>

#include "ctl/command.h"
#include "ctl/options.h"

namespace jujube::ctl {
namespace {

Result<Command> Parse(const std::vector<std::string>& arguments) {
  return ParseCommand(arguments);
}

TEST(CtlCommand, ParsesCommandsAndOperands) {
  EXPECT_EQ(Parse({"apply", "f.json"}).value(),
            (Command{.m_kind = CtlCommand::kApply, .m_file = "f.json"}));
  EXPECT_EQ(Parse({"status"}).value(), Command{});
  EXPECT_EQ(Parse({"drain", "entry-host", "e1"}).value(),
            (Command{.m_kind = CtlCommand::kDrain,
                     .m_drain = Drain{.m_kind = DrainKind::kEntryHost,
                                      .m_name = "e1"}}));
  EXPECT_EQ(Parse({"resume", "availability-zone", "luz-a"}).value().m_drain,
            (Drain{.m_kind = DrainKind::kAvailabilityZone, .m_name = "luz-a"}));
  EXPECT_EQ(Parse({"remove-host", "e1"}).value().m_host, HostId{"e1"});
  EXPECT_EQ(Parse({"explain", "ab", "e.log", "c.log"}).value(),
            (Command{.m_kind = CtlCommand::kExplain,
                     .m_request_id = "ab",
                     .m_log_files = {"e.log", "c.log"}}));
  EXPECT_FALSE(Parse({"explain", "ab"}));
  EXPECT_FALSE(Parse({"members"}).value().m_member_change);
  EXPECT_EQ(
      Parse({"members", "promote", "c1", "18446744073709551615"})
          .value()
          .m_member_change,
      (MemberChange{.m_step = MemberStep::kPromote,
                    .m_replica = {.m_host = {"c1"}, .m_folder = UINT64_MAX}}));
}

TEST(CtlCommand, RejectsInvalidArgumentsAndListsTheAllowedOnes) {
  const auto message = [](const std::vector<std::string>& arguments) {
    const auto command = Parse(arguments);
    return command ? std::string() : command.error().m_message;
  };
  EXPECT_NE(message({"aply", "f"}).find("\"aply\", expected one of validate"),
            std::string::npos);
  EXPECT_NE(message({"drain", "zone", "a"}).find("availability-zone"),
            std::string::npos);
  // A second file, or a missing one, must not be ignored.
  EXPECT_NE(message({"apply"}).find("apply FILE"), std::string::npos);
  EXPECT_NE(message({"apply", "a", "b"}).find("2 operands"), std::string::npos);
  EXPECT_NE(message({"members", "add", "c1"}), "");
  EXPECT_NE(message({"members", "add", "c1", "12x"}).find("FOLDER"),
            std::string::npos);
  EXPECT_NE(message({"members", "add", "c1", "0"}), "");
  EXPECT_NE(message({"members", "drop", "c1", "1"}).find("promote"),
            std::string::npos);
  EXPECT_NE(message({}).find("usage"), std::string::npos);
}

TEST(CtlCommand, UsageListsEveryCommand) {
  for (int i = 0; i <= static_cast<int>(CtlCommand::kConfig); ++i) {
    const std::string name =
        CommandLineName(ToString(static_cast<CtlCommand>(i)));
    EXPECT_NE(Usage().find("\n  " + name), std::string::npos) << name;
  }
}

TEST(CtlOptions, ParsesControlHosts) {
  EXPECT_EQ(ParseControlHosts("127.0.0.1:1,[::1]:2").value(),
            (std::vector<Endpoint>{{"127.0.0.1", 1}, {"::1", 2}}));
  EXPECT_FALSE(ParseControlHosts(""));
  EXPECT_FALSE(ParseControlHosts("127.0.0.1:1,,127.0.0.1:2"));
  EXPECT_FALSE(ParseControlHosts("localhost"));
}

// A line break in the name would inject header fields into the request.
TEST(CtlOptions, RejectsOperatorNamesInvalidInAHeaderField) {
  EXPECT_TRUE(ParseOperatorName("Ana Reyes <ana>"));
  EXPECT_FALSE(ParseOperatorName(""));
  EXPECT_FALSE(ParseOperatorName("ana\r\nX-Other: 1"));
  EXPECT_FALSE(ParseOperatorName(std::string(201, 'a')));
}

}  // namespace
}  // namespace jujube::ctl
