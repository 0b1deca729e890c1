#include "ctl/render.h"

#include <algorithm>
#include <array>
#include <ctime>

#include "ctl/command.h"
#include "ctl/report.h"

namespace jujube::ctl {

namespace {

constexpr std::uint64_t kMillisPerSecond = 1000;

std::string Number(std::uint64_t value) {
  return std::to_string(value);
}

// Formats rows with aligned columns; the last column is not padded.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size())
        text += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += "\n";
  }
  return text;
}

std::string HistoryText(const HistoryPage& page) {
  std::vector<std::vector<std::string>> rows{
      {"number", "index", "time", "operator", "digest"}};
  for (const HistoryEntry& entry : page.m_entries) {
    rows.push_back({Number(entry.m_number), Number(entry.m_index),
                    TimeText(entry.m_time), entry.m_operator_name,
                    entry.m_digest});
  }
  return FormatTable(rows);
}

std::string ControlHostsText(const std::vector<ControlHostReport>& hosts) {
  std::vector<std::vector<std::string>> rows{{"control host", "role", "term",
                                              "commit", "applied", "folder",
                                              "listener"}};
  for (const ControlHostReport& host : hosts) {
    const std::string listener = EndpointText(host.m_endpoint);
    if (!host.m_status) {
      rows.push_back(
          {"?", "no answer", "", "", "", "", listener + " " + host.m_error});
      continue;
    }
    const ControlDaemonStatus& status = *host.m_status;
    rows.push_back({status.m_host.m_value, status.m_role, Number(status.m_term),
                    Number(status.m_commit_index),
                    Number(status.m_applied_index),
                    Number(status.m_replica.m_folder), listener});
  }
  return FormatTable(rows);
}

std::string MembersText(const ControlDaemonStatus& status) {
  std::vector<std::vector<std::string>> rows{{"member", "folder", "vote"}};
  for (const MemberStatus& member : status.m_members) {
    rows.push_back({member.m_replica.m_host.m_value,
                    Number(member.m_replica.m_folder),
                    member.m_voter ? "voter" : "learner"});
  }
  return FormatTable(rows);
}

std::string EntryHostsText(const CtlReport& report,
                           const ControlDaemonStatus& status) {
  std::vector<std::vector<std::string>> rows{
      {"entry host", "lease", "index", "version"}};
  for (const EntryHostStatus& host : status.m_state.m_hosts) {
    const bool is_lagging =
        std::find(report.m_lagging.begin(), report.m_lagging.end(),
                  host.m_host) != report.m_lagging.end();
    rows.push_back({host.m_host.m_value,
                    host.m_removed ? "removed"
                    : host.m_alive ? "held"
                                   : "lost",
                    Number(host.m_index_in_force),
                    is_lagging ? "lags" : "current"});
  }
  return rows.size() > 1 ? FormatTable(rows) : "";
}

std::string StatusText(const CtlReport& report) {
  const ControlDaemonStatus* status = MostRecentStatus(report.m_hosts);
  std::string text = ControlHostsText(report.m_hosts);
  if (status == nullptr)
    return text;
  const ControlStatus& state = status->m_state;
  text += "\nleader: " +
          (HasLeader(report.m_hosts) ? status->m_host.m_value : "none") +
          "\ndocument in force: " + Number(state.m_number) + " (feed index " +
          Number(state.m_feed_index) + ")\nclaims: " + Number(state.m_claims) +
          ", stored answers: " + Number(state.m_answer_bytes) +
          " bytes\ndrains:";
  for (const Drain& drain : state.m_drains)
    text += "\n  " + DrainText(drain);
  text += state.m_drains.empty() ? " none\n" : "\n";
  text += "entry hosts that lag: " +
          (report.m_lagging.empty() ? "none" : NamesText(report.m_lagging)) +
          "\n\n" + MembersText(*status);
  const std::string entry_hosts = EntryHostsText(report, *status);
  return entry_hosts.empty() ? text : text + "\n" + entry_hosts;
}

}  // namespace

std::string RenderText(const CtlReport& report) {
  std::string text;
  if (report.m_command == CtlCommand::kStatus)
    text += StatusText(report);
  if (report.m_command == CtlCommand::kMembers) {
    const ControlDaemonStatus* status = MostRecentStatus(report.m_hosts);
    text += status != nullptr ? MembersText(*status) : "";
  }
  if (report.m_history)
    text += HistoryText(*report.m_history);
  for (const std::string& change : report.m_changes)
    text += change + "\n";
  if (report.m_result == ExitCode::kDone && !report.m_message.empty())
    text += report.m_message + "\n";
  return text;
}

std::string RenderError(const CtlReport& report) {
  if (report.m_result == ExitCode::kDone)
    return "";
  std::string text;
  for (const std::string& problem : report.m_problems)
    text += problem + "\n";
  return text + "jujubectl " + CommandLineName(ToString(report.m_command)) +
         ": " + report.m_message + "\n";
}

std::string EndpointText(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.m_address.find(':') != std::string::npos;
  return (is_v6 ? "[" + endpoint.m_address + "]" : endpoint.m_address) + ":" +
         std::to_string(endpoint.m_port);
}

std::string DrainText(const Drain& drain) {
  return CommandLineName(ToString(drain.m_kind)) + " " + drain.m_name;
}

std::string TimeText(std::uint64_t unix_ms) {
  const auto seconds = static_cast<std::time_t>(unix_ms / kMillisPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> text{};
  const std::size_t size =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text.data(), size};
}

std::string NamesText(const std::vector<HostId>& hosts) {
  std::string text;
  for (const HostId& host : hosts)
    text += (text.empty() ? "" : ", ") + host.m_value;
  return text;
}

}  // namespace jujube::ctl
