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
// KIND is instance, entry-host, availability-zone or region. FOLDER is the
// folder identity of a control host, a number that status shows.

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
  std::string m_file;            // with validate, apply and diff
  std::optional<Drain> m_drain;  // with drain and resume
  std::optional<HostId> m_host;  // with remove-host
  std::optional<MemberChange>
      m_member_change;                   // with members add, promote, remove
  std::string m_request_id;              // with explain
  std::vector<std::string> m_log_files;  // with explain

  friend auto operator<=>(const Command&, const Command&) = default;
};

// Parses the command line without the program name and the flags. The error
// states the value found and the values allowed.
Result<Command> ParseCommand(std::span<const std::string> arguments);

// Converts a name of the schema to its form on the command line: RemoveHost
// becomes remove-host.
std::string CommandLineName(std::string_view name);

// The usage text, which lists all commands.
std::string Usage();

}  // namespace jujube::ctl
