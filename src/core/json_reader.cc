#include "core/json_reader.h"

#include <boost/json.hpp>

#include "core/json_reader_impl.h"

namespace jujube {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxShownLength = 60;

std::string_view KindName(const boost::json::value& json) {
  switch (json.kind()) {
    case boost::json::kind::null:
      return "null";
    case boost::json::kind::bool_:
      return "a boolean";
    case boost::json::kind::int64:
    case boost::json::kind::uint64:
    case boost::json::kind::double_:
      return "a number";
    case boost::json::kind::string:
      return "a string";
    case boost::json::kind::array:
      return "an array";
    case boost::json::kind::object:
      return "an object";
  }
  return "an unknown value";
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
         c == '.' || c == '_';
}

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameLength)
    return false;
  for (const char c : text) {
    if (!IsNameCharacter(c))
      return false;
  }
  return true;
}

}  // namespace

std::string JsonPath::Text() const {
  if (m_parent == nullptr)
    return "$";
  std::string text = m_parent->Text();
  if (m_key.empty())
    return text + "[" + std::to_string(m_index) + "]";
  return text + "." + std::string(m_key);
}

std::string ToString(const Problem& problem) {
  return problem.m_path + ": found " + problem.m_found + ", expected " +
         problem.m_allowed;
}

std::string DescribeJson(const boost::json::value& json) {
  if (json.is_array() || json.is_object())
    return std::string(KindName(json));
  std::string text = boost::json::serialize(json);
  if (text.size() > kMaxShownLength)
    text = text.substr(0, kMaxShownLength) + "...";
  return text;
}

void Report(Problems& problems,
            const JsonPath& path,
            std::string found,
            std::string allowed) {
  problems.push_back({.m_path = path.Text(),
                      .m_found = std::move(found),
                      .m_allowed = std::move(allowed)});
}

void ParseName(const boost::json::value& json,
               const JsonPath& path,
               Problems& problems,
               std::string& value) {
  if (!json.is_string() || !IsName(std::string_view(json.get_string()))) {
    Report(problems, path, DescribeJson(json),
           "a name of 1 to 63 of a-z, 0-9, '-', '.', '_'");
    return;
  }
  value = std::string(json.get_string());
}

ObjectReader::ObjectReader(const boost::json::value& json,
                           const JsonPath& path,
                           Problems& problems)
    : m_object(json.if_object()), m_path(path), m_problems(problems) {
  if (m_object == nullptr)
    Report(problems, path, DescribeJson(json), "an object");
}

const boost::json::value* ObjectReader::Find(std::string_view key,
                                             Presence presence) {
  m_known.push_back(key);
  if (m_object == nullptr)
    return nullptr;
  const boost::json::value* json = m_object->if_contains(key);
  if (json == nullptr && presence == Presence::kRequired)
    Report(m_problems, JsonPath(m_path, key), "nothing", "a value");
  return json;
}

void ObjectReader::RejectUnknownKeys() {
  if (m_object == nullptr)
    return;
  for (const auto& member : *m_object) {
    const std::string_view key(member.key());
    if (std::find(m_known.begin(), m_known.end(), key) != m_known.end())
      continue;
    std::string allowed = "one of";
    for (const std::string_view known : m_known)
      allowed += " " + std::string(known);
    Report(m_problems, JsonPath(m_path, key), "an unknown key", allowed);
  }
}

std::string RangeText(const Range& range, std::string_view what) {
  std::string text(what);
  if (range.m_min)
    text += " from " + std::to_string(*range.m_min);
  if (range.m_max)
    text += " up to " + std::to_string(*range.m_max);
  return text;
}

}  // namespace jujube
