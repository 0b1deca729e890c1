#include "ctl/run_command.h"

#include "core/json_document.h"
#include "ctl/explain.h"

namespace jujube::ctl {
namespace {

// Maximum size of one log file. Since the log rate is limited, a day of logs of
// a busy host fits.
constexpr std::size_t kMaxLogBytes = 1U << 30U;

}  // namespace

RunResult RunExplain(const Command& command) {
  RunResult result{.m_report = {.m_command = command.m_kind}};
  std::vector<std::string> logs;
  for (const std::string& path : command.m_log_files) {
    Result<std::string> text = ReadFile(path, kMaxLogBytes);
    if (!text) {
      result.m_report.m_result = ExitCode::kBadInput;
      result.m_report.m_message = text.error().m_message;
      return result;
    }
    logs.push_back(std::move(text).value());
  }
  for (const std::string& line : ExplainRequest(command.m_request_id, logs))
    result.m_output += line + "\n";
  if (result.m_output.empty()) {
    result.m_report.m_message =
        "no log line names the request: an upstream answered its first "
        "attempt, or the logs of its entry host are missing";
  }
  return result;
}

}  // namespace jujube::ctl
