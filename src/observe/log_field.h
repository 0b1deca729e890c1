// A named value in a log line.

#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

namespace jujube::observe {

using LogValue =
    std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

// Refers to the caller's strings, which must outlive the call to Log.
struct LogField {
  LogField(std::string_view name, std::string_view value)
      : m_name(name), m_value(value) {}
  LogField(std::string_view name, const char* value)
      : LogField(name, std::string_view(value)) {}
  LogField(std::string_view name, bool value) : m_name(name), m_value(value) {}
  LogField(std::string_view name, std::signed_integral auto value)
      : m_name(name), m_value(static_cast<std::int64_t>(value)) {}
  LogField(std::string_view name, std::unsigned_integral auto value)
      : m_name(name), m_value(static_cast<std::uint64_t>(value)) {}
  LogField(std::string_view name, std::floating_point auto value)
      : m_name(name), m_value(static_cast<double>(value)) {}
  LogField(std::string_view name, std::chrono::milliseconds value)
      : LogField(name, static_cast<std::int64_t>(value.count())) {}

  std::string_view m_name;
  LogValue m_value;

  friend auto operator<=>(const LogField&, const LogField&) = default;
};

}  // namespace jujube::observe
