#include "ctl/command.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace jujube::ctl {

namespace {

struct Form {
  CtlCommand m_kind;
  std::string_view m_operands;
  std::size_t m_min;  // least number of operands
  std::size_t m_max;  // greatest number of operands
};

// An entry host and the control hosts for each request, with room to spare.
constexpr std::size_t kMaxLogs = 4096;

constexpr std::array kForms{
    Form{CtlCommand::kValidate, "FILE", 1, 1},
    Form{CtlCommand::kApply, "FILE", 1, 1},
    Form{CtlCommand::kDiff, "FILE", 1, 1},
    Form{CtlCommand::kStatus, "", 0, 0},
    Form{CtlCommand::kHistory, "", 0, 0},
    Form{CtlCommand::kDrain, "KIND NAME", 2, 2},
    Form{CtlCommand::kResume, "KIND NAME", 2, 2},
    Form{CtlCommand::kRemoveHost, "HOST", 1, 1},
    Form{CtlCommand::kMembers, "[add|promote|remove HOST FOLDER]", 0, 3},
    Form{CtlCommand::kConfig, "", 0, 0},
    Form{CtlCommand::kExplain, "REQUEST LOG...", 2, kMaxLogs + 1}};

constexpr std::array kDrainKinds{DrainKind::kInstance, DrainKind::kEntryHost,
                                 DrainKind::kAvailabilityZone,
                                 DrainKind::kRegion};
constexpr std::array kMemberSteps{MemberStep::kAdd, MemberStep::kPromote,
                                  MemberStep::kRemove};

Error Wrong(std::string_view what,
            std::string_view found,
            std::string_view allowed) {
  return MakeError(ErrorCode::kInvalidInput,
                   std::string(what) + ": found \"" + std::string(found) +
                       "\", allowed is " + std::string(allowed));
}

// The value of the list whose typed name is the word.
template <class List>
Result<typename List::value_type> ParseWord(const List& list,
                                            std::string_view what,
                                            std::string_view word) {
  std::string allowed;
  for (const auto value : list) {
    const std::string name = TypedName(ToString(value));
    if (name == word)
      return value;
    allowed += (allowed.empty() ? "" : ", ") + name;
  }
  return Wrong(what, word, "one of " + allowed);
}

Result<const Form*> FormOf(std::string_view word) {
  std::string allowed;
  for (const Form& form : kForms) {
    const std::string name = TypedName(ToString(form.m_kind));
    if (name == word)
      return &form;
    allowed += (allowed.empty() ? "" : ", ") + name;
  }
  return Wrong("command", word, "one of " + allowed);
}

Result<std::uint64_t> ParseFolder(std::string_view text) {
  std::uint64_t folder = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, folder);
  if (parsed.ec != std::errc() || parsed.ptr != end || folder == 0) {
    return Wrong("FOLDER", text,
                 "the folder identity of a control host, a decimal number "
                 "that 'jujubectl status' shows");
  }
  return folder;
}

Result<MemberChange> ParseMember(std::span<const std::string> operands) {
  JUJUBE_TRY(const MemberStep step,
             ParseWord(kMemberSteps, "members", operands[0]));
  JUJUBE_TRY(const std::uint64_t folder, ParseFolder(operands[2]));
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
      JUJUBE_TRY(const DrainKind drained,
                 ParseWord(kDrainKinds, "KIND", operands[0]));
      command.m_drain = Drain{.m_kind = drained, .m_name = operands[1]};
      return command;
    }
    case CtlCommand::kRemoveHost:
      command.m_host = HostId{operands[0]};
      return command;
    case CtlCommand::kMembers:
      if (!operands.empty()) {
        JUJUBE_TRY(command.m_member, ParseMember(operands));
      }
      return command;
    case CtlCommand::kExplain:
      command.m_request = operands[0];
      command.m_logs.assign(operands.begin() + 1, operands.end());
      return command;
    case CtlCommand::kStatus:
    case CtlCommand::kHistory:
    case CtlCommand::kConfig:
      return command;
  }
  return command;
}

std::string Synopsis(const Form& form) {
  const std::string name = TypedName(ToString(form.m_kind));
  return form.m_operands.empty() ? name
                                 : name + " " + std::string(form.m_operands);
}

}  // namespace

std::string TypedName(std::string_view name) {
  std::string typed;
  for (const char letter : name) {
    const auto byte = static_cast<unsigned char>(letter);
    if (std::isupper(byte) != 0 && !typed.empty())
      typed += '-';
    typed += static_cast<char>(std::tolower(byte));
  }
  return typed;
}

Result<Command> ParseCommand(std::span<const std::string> words) {
  if (words.empty())
    return MakeError(ErrorCode::kInvalidInput, "no command\n" + Usage());
  JUJUBE_TRY(const Form* const form, FormOf(words[0]));
  const auto operands = words.subspan(1);
  const std::size_t count = operands.size();
  const bool is_partial =
      form->m_kind == CtlCommand::kMembers && count != 0 && count != 3;
  if (count < form->m_min || count > form->m_max || is_partial) {
    return MakeError(ErrorCode::kInvalidInput,
                     words[0] + ": found " + std::to_string(count) +
                         " operands, allowed is: jujubectl " + Synopsis(*form));
  }
  return ParseOperands(form->m_kind, operands);
}

std::string Usage() {
  std::string usage =
      "usage: jujubectl [flags] COMMAND\n"
      "flags: --control IP:PORT,... --key_file FILE [--operator NAME] "
      "[--json]\n"
      "       [--timeout_ms N] [--wait] [--wait_ms N]\n"
      "commands:";
  for (const Form& form : kForms)
    usage += "\n  " + Synopsis(form);
  return usage;
}

}  // namespace jujube::ctl
