#include "core/error.h"

namespace jujube {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidInput:
      return "invalid input";
    case ErrorCode::kNotFound:
      return "not found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kRefused:
      return "refused";
    case ErrorCode::kIo:
      return "I/O error";
    case ErrorCode::kCorrupt:
      return "corrupt data";
  }
  return "unknown error";
}

}  // namespace jujube
