// Encodes and decodes whole values. Only generated codec sources include this.

#pragma once

#include <new>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/result.h"
#include "wire/archive.h"

namespace jujube::wire {

// A value over a limit of its schema is a fault of the caller.
template <class T>
std::string EncodeValue(const T& value) {
  std::string bytes;
  OutputArchive archive(&bytes);
  archive(value);
  return bytes;
}

template <class T>
Result<T> DecodeValue(std::string_view bytes, std::string_view type) {
  try {
    InputArchive archive(bytes);
    T value;
    archive(value);
    if (archive.Remaining() > 0) {
      return MakeError(ErrorCode::kInvalidInput,
                       std::string(type) + ": bytes after the message");
    }
    return value;
  } catch (const cereal::Exception& error) {
    return MakeError(ErrorCode::kInvalidInput,
                     std::string(type) + ": " + error.what());
  }
}

}  // namespace jujube::wire
