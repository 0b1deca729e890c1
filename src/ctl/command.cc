#include "ctl/command.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace jujube::ctl {

namespace {

struct CommandSyntax {
  CtlCommand m_kind;
  std::string_view m_operands;
  std::size_t m_min_operands;
  std::size_t m_max_operands;
};

// Usually the logs of one entry host and of all control hosts are given, which
// are far fewer files.
constexpr std::size_t kMaxLogFiles = 4096;

constexpr std::array kCommandSyntaxes{
    CommandSyntax{CtlCommand::kValidate, "FILE", 1, 1},
    CommandSyntax{CtlCommand::kApply, "FILE", 1, 1},
    CommandSyntax{CtlCommand::kDiff, "FILE", 1, 1},
    CommandSyntax{CtlCommand::kStatus, "", 0, 0},
    CommandSyntax{CtlCommand::kHistory, "", 0, 0},
    CommandSyntax{CtlCommand::kDrain, "KIND NAME", 2, 2},
    CommandSyntax{CtlCommand::kResume, "KIND NAME", 2, 2},
    CommandSyntax{CtlCommand::kRemoveHost, "HOST", 1, 1},
    CommandSyntax{CtlCommand::kMembers, "[add|promote|remove HOST FOLDER]", 0,
                  3},
    CommandSyntax{CtlCommand::kConfig, "", 0, 0},
    CommandSyntax{CtlCommand::kExplain, "REQUEST LOG...", 2, kMaxLogFiles + 1}};

constexpr std::array kDrainKinds{DrainKind::kInstance, DrainKind::kEntryHost,
                                 DrainKind::kAvailabilityZone,
                                 DrainKind::kRegion};
constexpr std::array kMemberSteps{MemberStep::kAdd, MemberStep::kPromote,
                                  MemberStep::kRemove};

Error InvalidArgumentError(std::string_view subject,
                           std::string_view found,
                           std::string_view allowed) {
  return MakeError(ErrorCode::kInvalidInput,
                   std::string(subject) + ": found \"" + std::string(found) +
                       "\", expected " + std::string(allowed));
}

// Returns the enumerator of the list whose CommandLineName is `word`.
template <class List>
Result<typename List::value_type> ParseEnumName(const List& list,
                                                std::string_view subject,
                                                std::string_view word) {
  std::string allowed;
  for (const auto value : list) {
    const std::string name = CommandLineName(ToString(value));
    if (name == word)
      return value;
    allowed += (allowed.empty() ? "" : ", ") + name;
  }
  return InvalidArgumentError(subject, word, "one of " + allowed);
}

Result<const CommandSyntax*> FindCommandSyntax(std::string_view word) {
  std::string allowed;
  for (const CommandSyntax& syntax : kCommandSyntaxes) {
    const std::string name = CommandLineName(ToString(syntax.m_kind));
    if (name == word)
      return &syntax;
    allowed += (allowed.empty() ? "" : ", ") + name;
  }
  return InvalidArgumentError("command", word, "one of " + allowed);
}

Result<std::uint64_t> ParseFolderIdentity(std::string_view text) {
  std::uint64_t folder = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, folder);
  if (parsed.ec != std::errc() || parsed.ptr != end || folder == 0) {
    return InvalidArgumentError(
        "FOLDER", text,
        "the folder identity of a control host, a decimal number "
        "that 'jujubectl status' shows");
  }
  return folder;
}

Result<MemberChange> ParseMemberChange(std::span<const std::string> operands) {
  JUJUBE_TRY(const MemberStep step,
             ParseEnumName(kMemberSteps, "members", operands[0]));
  JUJUBE_TRY(const std::uint64_t folder, ParseFolderIdentity(operands[2]));
  return MemberChange{
      .m_step = step,
      .m_replica = {.m_host = {operands[1]}, .m_folder = folder}};
}

Result<Command> ParseOperands(CtlCommand kind,
                              std::span<const std::string> operands) {
  Command command{.m_kind = kind};
  switch (kind) {
    case CtlCommand::kValidate:
    case CtlCommand::kApply:
    case CtlCommand::kDiff:
      command.m_file = operands[0];
      return command;
    case CtlCommand::kDrain:
    case CtlCommand::kResume: {
      JUJUBE_TRY(const DrainKind drain_kind,
                 ParseEnumName(kDrainKinds, "KIND", operands[0]));
      command.m_drain = Drain{.m_kind = drain_kind, .m_name = operands[1]};
      return command;
    }
    case CtlCommand::kRemoveHost:
      command.m_host = HostId{operands[0]};
      return command;
    case CtlCommand::kMembers:
      if (!operands.empty()) {
        JUJUBE_TRY(command.m_member_change, ParseMemberChange(operands));
      }
      return command;
    case CtlCommand::kExplain:
      command.m_request_id = operands[0];
      command.m_log_files.assign(operands.begin() + 1, operands.end());
      return command;
    case CtlCommand::kStatus:
    case CtlCommand::kHistory:
    case CtlCommand::kConfig:
      return command;
  }
  return command;
}

std::string Synopsis(const CommandSyntax& syntax) {
  const std::string name = CommandLineName(ToString(syntax.m_kind));
  return syntax.m_operands.empty()
             ? name
             : name + " " + std::string(syntax.m_operands);
}

}  // namespace

std::string CommandLineName(std::string_view name) {
  std::string result;
  for (const char character : name) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isupper(byte) != 0 && !result.empty())
      result += '-';
    result += static_cast<char>(std::tolower(byte));
  }
  return result;
}

Result<Command> ParseCommand(std::span<const std::string> arguments) {
  if (arguments.empty())
    return MakeError(ErrorCode::kInvalidInput, "no command\n" + Usage());
  JUJUBE_TRY(const CommandSyntax* const syntax,
             FindCommandSyntax(arguments[0]));
  const auto operands = arguments.subspan(1);
  const std::size_t count = operands.size();
  const bool is_incomplete_change =
      syntax->m_kind == CtlCommand::kMembers && count != 0 && count != 3;
  if (count < syntax->m_min_operands || count > syntax->m_max_operands ||
      is_incomplete_change) {
    return MakeError(ErrorCode::kInvalidInput,
                     arguments[0] + ": found " + std::to_string(count) +
                         " operands, expected: jujubectl " + Synopsis(*syntax));
  }
  return ParseOperands(syntax->m_kind, operands);
}

std::string Usage() {
  std::string usage =
      "usage: jujubectl [flags] COMMAND\n"
      "flags: --control IP:PORT,... --key_file FILE [--operator NAME] "
      "[--json]\n"
      "       [--timeout_ms N] [--wait] [--wait_ms N]\n"
      "commands:";
  for (const CommandSyntax& syntax : kCommandSyntaxes)
    usage += "\n  " + Synopsis(syntax);
  return usage;
}

}  // namespace jujube::ctl
