// jujubectl: the command-line tool of operators.

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <boost/json.hpp>

#include "core/json_document.h"
#include "ctl/command.h"
#include "ctl/http_transport.h"
#include "ctl/options.h"
#include "ctl/render.h"
#include "ctl/run_command.h"
#include "gen/ctl_json.h"
#include "gen/deployment_json.h"

DEFINE_string(
    control,
    "",
    "operator listeners of control hosts, comma-separated IP:PORT list");
DEFINE_string(key_file, "", "file with the operator key");
DEFINE_string(
    operator,
    "",
    "operator name in the history; default: environment variable USER");
DEFINE_bool(json, false, "print one JSON document on standard output");
DEFINE_uint32(timeout_ms, 30000, "time limit of the command");
DEFINE_bool(wait, false, "apply: wait until all entry hosts run the document");
DEFINE_uint32(wait_ms, 30000, "time limit of --wait");

namespace {

using jujube::ExitCode;

// Finds a flag that is defined in this file. The flags that gflags itself
// defines, such as --flagfile, are not accepted.
std::optional<gflags::CommandLineFlagInfo> FindFlag(const std::string& name) {
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info) ||
      !info.filename.ends_with("ctl.cc"))
    return std::nullopt;
  return info;
}

jujube::Error InvalidFlagError(const std::string& found,
                               const std::string& allowed) {
  return jujube::MakeError(
      jujube::ErrorCode::kInvalidInput,
      "flags: found \"" + found + "\", expected " + allowed);
}

// Sets the flags and returns the positional arguments. Does not use
// gflags::ParseCommandLineFlags, which exits with 1 on an invalid flag; here
// exit code 1 means that the system refused the command.
jujube::Result<std::vector<std::string>> ParseFlags(
    const std::vector<std::string>& arguments) {
  std::vector<std::string> positional_arguments;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& argument = arguments[i];
    const std::size_t dashes = argument.find_first_not_of('-');
    if (dashes == 0 || dashes == std::string::npos) {
      positional_arguments.push_back(argument);
      continue;
    }
    const std::size_t equals = argument.find('=');
    const std::string name = argument.substr(
        dashes, equals == std::string::npos ? equals : equals - dashes);
    const auto info = FindFlag(name);
    if (!info)
      return InvalidFlagError(argument, "\n" + jujube::ctl::Usage());
    std::string value = "true";
    if (equals != std::string::npos)
      value = argument.substr(equals + 1);
    else if (info->type != "bool" && i + 1 == arguments.size())
      return InvalidFlagError(argument, argument + " with a value");
    else if (info->type != "bool")
      value = arguments[++i];
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
      return InvalidFlagError(argument, "a value of type " + info->type);
  }
  return positional_arguments;
}

std::string OperatorName() {
  if (!FLAGS_operator.empty())
    return FLAGS_operator;
  const char* const user = std::getenv("USER");
  return user != nullptr ? user : "";
}

jujube::Result<jujube::ctl::CtlOptions> OptionsFromFlags() {
  jujube::ctl::CtlOptions options;
  JUJUBE_TRY(options.m_control_hosts,
             jujube::ctl::ParseControlHosts(FLAGS_control));
  if (FLAGS_key_file.empty()) {
    return jujube::MakeError(
        jujube::ErrorCode::kInvalidInput,
        "--key_file: found nothing, expected the file with the operator key "
        "of the control hosts");
  }
  JUJUBE_TRY(options.m_operator_key, jujube::ReadKeyFile(FLAGS_key_file));
  JUJUBE_TRY(options.m_operator_name,
             jujube::ctl::ParseOperatorName(OperatorName()));
  options.m_timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  if (FLAGS_wait)
    options.m_wait_timeout = std::chrono::milliseconds(FLAGS_wait_ms);
  return options;
}

// Validate and explain do not contact a control host.
jujube::Result<jujube::ctl::CtlOptions> OptionsFor(
    const jujube::ctl::Command& command) {
  if (command.m_kind == jujube::CtlCommand::kValidate ||
      command.m_kind == jujube::CtlCommand::kExplain)
    return jujube::ctl::CtlOptions{};
  return OptionsFromFlags();
}

int Print(const jujube::ctl::RunResult& result) {
  const jujube::CtlReport& report = result.m_report;
  if (!result.m_output.empty())
    std::cout << result.m_output << std::flush;
  else if (FLAGS_json)
    std::cout << boost::json::serialize(jujube::ToJson(report)) << std::endl;
  else
    std::cout << jujube::ctl::RenderText(report) << std::flush;
  if (!FLAGS_json)
    std::cerr << jujube::ctl::RenderError(report);
  return static_cast<int>(report.m_result);
}

int PrintBadInput(jujube::CtlReport report, const jujube::Error& error) {
  report.m_result = ExitCode::kBadInput;
  report.m_message = error.m_message;
  if (FLAGS_json)
    std::cout << boost::json::serialize(jujube::ToJson(report)) << std::endl;
  else
    std::cerr << "jujubectl: " << error.m_message << std::endl;
  return static_cast<int>(report.m_result);
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments == std::vector<std::string>{"--help"}) {
    std::cout << jujube::ctl::Usage() << std::endl;
    return static_cast<int>(ExitCode::kDone);
  }
  const auto positional_arguments = ParseFlags(arguments);
  if (!positional_arguments)
    return PrintBadInput({}, positional_arguments.error());
  const auto command = jujube::ctl::ParseCommand(positional_arguments.value());
  if (!command)
    return PrintBadInput({}, command.error());
  const auto options = OptionsFor(command.value());
  if (!options)
    return PrintBadInput({.m_command = command.value().m_kind},
                         options.error());
  jujube::ctl::HttpTransport transport;
  return Print(
      jujube::ctl::RunCommand(transport, command.value(), options.value()));
}
