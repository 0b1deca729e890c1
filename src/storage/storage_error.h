// StorageError: why a storage operation failed.
//
// A failed sync is kept apart from all other failures: the contents of the
// file are unknown afterwards, so the process has to end.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/result.h"

namespace jujube::storage {

enum class StorageFault : std::uint8_t {
  kIo,          // the operating system reported a failure
  kFull,        // no space; nothing was changed, the operation may be retried
  kSyncFailed,  // fatal: end the process, do not retry
  kCorrupt,     // stored data fails a check; refuse to start
  kNotFound,    // the named file does not exist
  kInUse,       // another process holds the folder
};

std::string_view ToString(StorageFault fault);

struct StorageError {
  StorageFault m_fault = StorageFault::kIo;
  std::string m_message;  // names the file and the position

  friend auto operator<=>(const StorageError&, const StorageError&) = default;
};

template <class T>
using StorageResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T,
    StorageError,
    BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using StorageStatus = StorageResult<void>;

inline StorageError MakeStorageError(StorageFault fault, std::string message) {
  return StorageError{.m_fault = fault, .m_message = std::move(message)};
}

inline StorageStatus StorageSuccess() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace jujube::storage
