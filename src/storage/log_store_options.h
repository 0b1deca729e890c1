// LogStoreOptions: sizes of the files of a LogStore.

#pragma once

#include <compare>
#include <cstdint>

namespace jujube::storage {

struct LogStoreOptions {
  // A segment that reached this size is followed by a new one. Small enough
  // that deletion after a snapshot frees space soon.
  std::uint64_t m_segment_bytes = 8U << 20U;

  friend auto operator<=>(const LogStoreOptions&,
                          const LogStoreOptions&) = default;
};

}  // namespace jujube::storage
