// LogStoreOptions: options of a LogStore.

#pragma once

#include <compare>
#include <cstdint>

namespace jujube::storage {

struct LogStoreOptions {
  // Segment size at which a new segment is started. Only whole segments are
  // deleted after a snapshot, so a large size delays the release of disk space.
  std::uint64_t m_segment_bytes = 8U << 20U;

  friend auto operator<=>(const LogStoreOptions&,
                          const LogStoreOptions&) = default;
};

}  // namespace jujube::storage
