#include "ctl/explain.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

namespace jujube::ctl {
namespace {

// Events in the life cycle of an instance.
constexpr std::array<std::string_view, 4> kInstanceEvents = {
    "InstanceAppeared", "InstanceLeaving", "InstanceSilent", "InstanceEjected"};

// Length of a timestamp as observe::Log writes it, "2026-12-04T15:20:02.003Z".
constexpr std::size_t kTimestampSize = 24;

struct LogLine {
  std::string_view m_timestamp;
  std::string_view m_text;

  friend bool operator<(const LogLine& a, const LogLine& b) {
    return a.m_timestamp < b.m_timestamp;
  }
};

// Returns the value of a field in a text or JSON line. A quoted value ends at
// the next quote: request ids and instance names contain no escapes.
std::optional<std::string_view> FindField(std::string_view line,
                                          std::string_view name) {
  const bool is_json = line.starts_with('{');
  std::string key_prefix = is_json ? "\"" : " ";
  key_prefix += name;
  key_prefix += is_json ? "\":\"" : "=";
  const std::size_t position = line.find(key_prefix);
  if (position == std::string_view::npos)
    return std::nullopt;
  std::string_view value = line.substr(position + key_prefix.size());
  const bool is_quoted = is_json || value.starts_with('"');
  if (!is_json && is_quoted)
    value.remove_prefix(1);
  return value.substr(0, value.find(is_quoted ? '"' : ' '));
}

std::string_view TimestampOf(std::string_view line) {
  if (line.starts_with('{'))
    return FindField(line, "time").value_or("");
  return line.substr(0, kTimestampSize);
}

// Splits the logs into lines and merges these in order of their timestamps.
std::vector<LogLine> MergeLogs(const std::vector<std::string>& logs) {
  std::vector<LogLine> lines;
  for (const std::string& log : logs) {
    std::string_view remaining = log;
    while (!remaining.empty()) {
      const std::size_t end = std::min(remaining.find('\n'), remaining.size());
      const std::string_view text = remaining.substr(0, end);
      lines.push_back({.m_timestamp = TimestampOf(text), .m_text = text});
      remaining.remove_prefix(std::min(end + 1, remaining.size()));
    }
  }
  // A stable sort keeps the order of lines of one log with the same timestamp.
  std::stable_sort(lines.begin(), lines.end());
  return lines;
}

bool IsInstanceEvent(std::string_view line) {
  return std::any_of(kInstanceEvents.begin(), kInstanceEvents.end(),
                     [&](std::string_view event) {
                       return line.find(event) != std::string_view::npos;
                     });
}

}  // namespace

std::vector<std::string> ExplainRequest(std::string_view request,
                                        const std::vector<std::string>& logs) {
  const std::vector<LogLine> lines = MergeLogs(logs);
  std::set<std::string_view> instances;
  std::string_view last_timestamp;  // of the last line with the request
  for (const LogLine& line : lines) {
    if (FindField(line.m_text, "request") != request)
      continue;
    last_timestamp = line.m_timestamp;
    const auto instance = FindField(line.m_text, "instance");
    if (instance)
      instances.insert(*instance);
  }
  std::vector<std::string> matching_lines;
  if (last_timestamp.empty())
    return matching_lines;
  for (const LogLine& line : lines) {
    const auto instance = FindField(line.m_text, "instance");
    const bool is_earlier_instance_event =
        instance && instances.contains(*instance) &&
        line.m_timestamp <= last_timestamp && IsInstanceEvent(line.m_text);
    if (is_earlier_instance_event ||
        FindField(line.m_text, "request") == request)
      matching_lines.emplace_back(line.m_text);
  }
  return matching_lines;
}

}  // namespace jujube::ctl
