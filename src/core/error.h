// Error: the value that a failed operation returns.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujube {

enum class ErrorCode : std::uint8_t {
  kInvalidInput,  // malformed or out of bounds; a retry will fail again
  kNotFound,      // the named object does not exist
  kConflict,      // contradicts state that was accepted earlier
  kUnavailable,   // a retry may succeed, possibly at another host
  kTimeout,       // no response in time; the operation may have run
  kRefused,       // authentication failed
  kIo,            // the operating system reported a failure
  kCorrupt,       // stored data is damaged
};

std::string_view ToString(ErrorCode code);

struct Error {
  ErrorCode m_code = ErrorCode::kInvalidInput;
  std::string m_message;  // object, value found and values allowed

  friend auto operator<=>(const Error&, const Error&) = default;
};

}  // namespace jujube
