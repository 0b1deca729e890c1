#include "ctl/explain.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

namespace jujube::ctl {
namespace {

// Events that say how an instance came, failed or went.
constexpr std::array<std::string_view, 4> kInstanceEvents = {
    "InstanceAppeared", "InstanceLeaving", "InstanceSilent", "InstanceEjected"};

// A time as observe::Log writes it, "2026-12-04T15:20:02.003Z".
constexpr std::size_t kTimeSize = 24;

struct Line {
  std::string_view m_time;
  std::string_view m_text;

  friend bool operator<(const Line& a, const Line& b) {
    return a.m_time < b.m_time;
  }
};

// Value of a field in a line of either form. A quoted value ends at its quote;
// ids and names of instances need no escapes.
std::optional<std::string_view> FieldOf(std::string_view line,
                                        std::string_view name) {
  const bool is_json = line.starts_with('{');
  std::string mark = is_json ? "\"" : " ";
  mark += name;
  mark += is_json ? "\":\"" : "=";
  const std::size_t at = line.find(mark);
  if (at == std::string_view::npos)
    return std::nullopt;
  std::string_view value = line.substr(at + mark.size());
  const bool is_quoted = is_json || value.starts_with('"');
  if (!is_json && is_quoted)
    value.remove_prefix(1);
  return value.substr(0, value.find(is_quoted ? '"' : ' '));
}

std::string_view TimeOf(std::string_view line) {
  if (line.starts_with('{'))
    return FieldOf(line, "time").value_or("");
  return line.substr(0, kTimeSize);
}

std::vector<Line> SplitLines(const std::vector<std::string>& logs) {
  std::vector<Line> lines;
  for (const std::string& log : logs) {
    std::string_view rest = log;
    while (!rest.empty()) {
      const std::size_t end = std::min(rest.find('\n'), rest.size());
      const std::string_view text = rest.substr(0, end);
      lines.push_back({.m_time = TimeOf(text), .m_text = text});
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  // Lines of one host with the same time stay in their order.
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
  const std::vector<Line> lines = SplitLines(logs);
  std::set<std::string_view> instances;
  std::string_view last;  // time of the request's last line
  for (const Line& line : lines) {
    if (FieldOf(line.m_text, "request") != request)
      continue;
    last = line.m_time;
    const auto instance = FieldOf(line.m_text, "instance");
    if (instance)
      instances.insert(*instance);
  }
  std::vector<std::string> found;
  if (last.empty())
    return found;
  for (const Line& line : lines) {
    const auto instance = FieldOf(line.m_text, "instance");
    const bool is_cause = instance && instances.contains(*instance) &&
                          line.m_time <= last && IsInstanceEvent(line.m_text);
    if (is_cause || FieldOf(line.m_text, "request") == request)
      found.emplace_back(line.m_text);
  }
  return found;
}

}  // namespace jujube::ctl
