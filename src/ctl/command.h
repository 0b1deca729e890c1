// Command: one command of jujubectl with its operands.
//
//   Result<Command> command = ctl::ParseCommand({"drain", "region", "luzon"});
//
// Operands by command:
//
//   validate FILE | apply FILE | diff FILE
//   status | history | config | members
//   drain KIND NAME | resume KIND NAME
//   remove-host HOST
//   explain REQUEST LOG...
//   members add HOST FOLDER | members promote ... | members remove ...
//
// KIND is instance, entry-host, availability-zone or region.

#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "gen/control_status.h"
#include "gen/ctl.h"
#include "gen/deployment.h"

namespace jujube::ctl {

struct Command {
  CtlCommand m_kind = CtlCommand::kStatus;
  std::string m_file;                    // with validate, apply and diff
  std::optional<Drain> m_drain;          // with drain and resume
  std::optional<HostId> m_host;          // with remove-host
  std::optional<MemberChange> m_member;  // with a change of members
  std::string m_request;                 // with explain: its id
  std::vector<std::string> m_logs;       // with explain: files

  friend auto operator<=>(const Command&, const Command&) = default;
};

// The words of the command line without the program and its flags. The error
// says what was found and what is allowed.
Result<Command> ParseCommand(std::span<const std::string> words);

// A name of the schema as it is typed: RemoveHost becomes remove-host.
std::string TypedName(std::string_view name);

// Usage text with all commands.
std::string Usage();

}  // namespace jujube::ctl
