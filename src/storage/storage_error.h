// StorageError: the cause of a failed storage operation.
//
// A failed sync has its own fault: the contents of the file are unknown
// afterwards, so the process has to end.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "core/result.h"

namespace jujube::storage {

enum class StorageFault : std::uint8_t {
  kIo,          // the operating system reported an error, or the call had an
                // invalid index or offset
  kFull,        // no space; the log and the current snapshot are unchanged, the
                // call may be retried
  kSyncFailed,  // fatal: do not retry, end the process
  kCorrupt,     // stored data is invalid; refuse to start
  kNotFound,    // the named file does not exist
  kInUse,       // another process has locked the folder
};

std::string_view ToString(StorageFault fault);

struct StorageError {
  StorageFault m_fault = StorageFault::kIo;
  std::string m_message;  // with the file or the log index, if known

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
