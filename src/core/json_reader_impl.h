// Typed access to JSON for the generated parsers and serializers. Only they and
// json_reader.cc include this file.

#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "core/json_reader.h"

namespace jujube {

enum class Presence : std::uint8_t { kOptional, kRequired };

// Inclusive bounds of an integer or a duration. For the length of a string in
// bytes and the number of elements of an array, only m_max is checked. Not used
// for double and bool.
struct Range {
  std::optional<std::int64_t> m_min;
  std::optional<std::int64_t> m_max;
};

inline constexpr std::int64_t kDefaultMaxLength = 4096;

std::string DescribeJson(const boost::json::value& json);
std::string RangeText(const Range& range, std::string_view type_name);
void AddProblem(Problems& problems,
                const JsonPath& path,
                std::string found,
                std::string allowed);
void ParseName(const boost::json::value& json,
               const JsonPath& path,
               Problems& problems,
               std::string& value);

// Parsers of the basic types. Generated types provide overloads of ParseJson,
// which are found by argument-dependent lookup.

inline void ParseValue(const boost::json::value& json,
                       const JsonPath& path,
                       Problems& problems,
                       const Range& /*range*/,
                       bool& value) {
  if (!json.is_bool()) {
    AddProblem(problems, path, DescribeJson(json), "true or false");
    return;
  }
  value = json.get_bool();
}

template <std::integral T>
requires(!std::same_as<T, bool>) void ParseValue(const boost::json::value& json,
                                                 const JsonPath& path,
                                                 Problems& problems,
                                                 const Range& range,
                                                 T& value) {
  boost::json::error_code error;
  const T number = json.to_number<T>(error);
  const auto is_below_min = [&] {
    return range.m_min && std::cmp_less(number, *range.m_min);
  };
  const auto is_above_max = [&] {
    return range.m_max && std::cmp_greater(number, *range.m_max);
  };
  if (error || is_below_min() || is_above_max()) {
    const Range allowed_range{
        .m_min = range.m_min.value_or(std::is_signed_v<T> ? INT64_MIN : 0),
        .m_max = range.m_max     ? range.m_max
                 : sizeof(T) < 8 ? std::optional<std::int64_t>(
                                       std::numeric_limits<T>::max())
                                 : std::nullopt};
    AddProblem(problems, path, DescribeJson(json),
               RangeText(allowed_range, "a whole number"));
    return;
  }
  value = number;
}

inline void ParseValue(const boost::json::value& json,
                       const JsonPath& path,
                       Problems& problems,
                       const Range& /*range*/,
                       double& value) {
  boost::json::error_code error;
  const double number = json.to_number<double>(error);
  if (error) {
    AddProblem(problems, path, DescribeJson(json), "a number");
    return;
  }
  value = number;
}

inline void ParseValue(const boost::json::value& json,
                       const JsonPath& path,
                       Problems& problems,
                       const Range& range,
                       std::chrono::milliseconds& value) {
  std::int64_t count = value.count();
  ParseValue(json, path, problems, range, count);
  value = std::chrono::milliseconds(count);
}

inline void ParseValue(const boost::json::value& json,
                       const JsonPath& path,
                       Problems& problems,
                       const Range& range,
                       std::string& value) {
  const auto max_length =
      static_cast<std::size_t>(range.m_max.value_or(kDefaultMaxLength));
  if (!json.is_string() || json.get_string().size() > max_length) {
    AddProblem(problems, path, DescribeJson(json),
               "a string of at most " + std::to_string(max_length) + " bytes");
    return;
  }
  value = std::string(json.get_string());
}

template <class T>
requires requires(const boost::json::value& json,
                  const JsonPath& path,
                  Problems& problems,
                  T& value) {
  ParseJson(json, path, problems, value);
}
void ParseValue(const boost::json::value& json,
                const JsonPath& path,
                Problems& problems,
                const Range& /*range*/,
                T& value) {
  ParseJson(json, path, problems, value);
}

template <class T>
void ParseValue(const boost::json::value& json,
                const JsonPath& path,
                Problems& problems,
                const Range& range,
                std::optional<T>& value) {
  if (json.is_null()) {
    value.reset();
    return;
  }
  ParseValue(json, path, problems, range, value.emplace());
}

template <class T>
void ParseValue(const boost::json::value& json,
                const JsonPath& path,
                Problems& problems,
                const Range& range,
                std::vector<T>& value) {
  const auto* array = json.if_array();
  const auto max_count =
      static_cast<std::size_t>(range.m_max.value_or(kDefaultMaxLength));
  if (array == nullptr || array->size() > max_count) {
    AddProblem(
        problems, path,
        array == nullptr ? DescribeJson(json)
                         : std::to_string(array->size()) + " elements",
        "an array of at most " + std::to_string(max_count) + " elements");
    return;
  }
  value.clear();
  value.reserve(array->size());
  for (std::size_t i = 0; i < array->size(); ++i)
    ParseValue((*array)[i], JsonPath(path, i), problems, Range{},
               value.emplace_back());
}

// Parses an enumerator from its name. The comparison is case-sensitive.
template <class Enum>
void ParseEnum(const boost::json::value& json,
               const JsonPath& path,
               Problems& problems,
               std::uint8_t enumerator_count,
               Enum& value) {
  std::string allowed = "one of";
  for (std::uint8_t i = 0; i < enumerator_count; ++i) {
    const std::string_view name = ToString(static_cast<Enum>(i));
    if (json.is_string() && std::string_view(json.get_string()) == name) {
      value = static_cast<Enum>(i);
      return;
    }
    allowed += " " + std::string(name);
  }
  AddProblem(problems, path, DescribeJson(json), std::move(allowed));
}

// Reads the members of a JSON object. Every key passed to Read counts as known;
// RejectUnknownKeys reports all other keys.
class ObjectReader {
 public:
  ObjectReader(const boost::json::value& json,
               const JsonPath& path,
               Problems& problems);

  template <class T>
  void Read(std::string_view key,
            Presence presence,
            const Range& range,
            T& value) {
    const boost::json::value* json = FindMember(key, presence);
    if (json != nullptr)
      ParseValue(*json, JsonPath(m_path, key), m_problems, range, value);
  }

  // As Read, but problems do not show the value, since they are logged.
  template <class T>
  void ReadSecret(std::string_view key,
                  Presence presence,
                  const Range& range,
                  T& value) {
    const std::size_t first_problem = m_problems.size();
    Read(key, presence, range, value);
    for (std::size_t i = first_problem; i < m_problems.size(); ++i)
      m_problems[i].m_found = "a value that is not shown";
  }

  void RejectUnknownKeys();

 private:
  const boost::json::value* FindMember(std::string_view key, Presence presence);

  const boost::json::object* m_object;
  const JsonPath& m_path;
  Problems& m_problems;
  std::vector<std::string_view> m_known_keys;
};

// Serializers, the inverse of the parsers.

template <class T>
boost::json::value ValueToJson(const T& value) {
  if constexpr (requires { ToJson(value); })
    return ToJson(value);
  else
    return boost::json::value(value);
}

inline boost::json::value ValueToJson(const std::string& value) {
  return boost::json::string(value);
}

inline boost::json::value ValueToJson(const std::chrono::milliseconds& value) {
  return static_cast<std::int64_t>(value.count());
}

template <class T>
boost::json::value ValueToJson(const std::vector<T>& values) {
  boost::json::array array;
  array.reserve(values.size());
  for (const T& value : values)
    array.push_back(ValueToJson(value));
  return array;
}

template <class T>
void PutJson(boost::json::object& object,
             std::string_view key,
             const T& value) {
  object[key] = ValueToJson(value);
}

template <class T>
void PutJson(boost::json::object& object,
             std::string_view key,
             const std::optional<T>& value) {
  if (value)
    object[key] = ValueToJson(*value);
}

}  // namespace jujube
