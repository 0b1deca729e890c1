// Encodes and decodes messages. Only generated codec sources include this file.

#pragma once

#include <new>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/result.h"
#include "wire/archive.h"

namespace jujube::wire {

// Precondition: the value is within the limits of its schema. Otherwise
// cereal::Exception is thrown.
template <class T>
std::string EncodeValue(const T& value) {
  std::string bytes;
  OutputArchive archive(&bytes);
  archive(value);
  return bytes;
}

// Returns kInvalidInput, with the name of the type, for malformed bytes.
template <class T>
Result<T> DecodeValue(std::string_view bytes, std::string_view type_name) {
  try {
    InputArchive archive(bytes);
    T value;
    archive(value);
    if (archive.RemainingBytes() > 0) {
      return MakeError(
          ErrorCode::kInvalidInput,
          std::string(type_name) + ": unexpected bytes after the message");
    }
    return value;
  } catch (const cereal::Exception& error) {
    return MakeError(ErrorCode::kInvalidInput,
                     std::string(type_name) + ": " + error.what());
  }
}

}  // namespace jujube::wire
