// Error: the value that a failed operation returns.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujube {

enum class ErrorCode : std::uint8_t {
  kInvalidInput,  // malformed or out of bounds; the sender must change it
  kNotFound,      // the named thing does not exist
  kConflict,      // contradicts what was accepted before
  kUnavailable,   // may succeed later or elsewhere
  kTimeout,       // no response in time; the effect is unknown
  kRefused,       // authentication failed
  kIo,            // the operating system reported a failure
  kCorrupt,       // stored data fails its checksum
};

std::string_view ToString(ErrorCode code);

struct Error {
  ErrorCode m_code = ErrorCode::kInvalidInput;
  std::string m_message;  // names the object, what was found, what is allowed

  friend auto operator<=>(const Error&, const Error&) = default;
};

}  // namespace jujube
