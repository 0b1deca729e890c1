// SnapshotSchedule: when a replica writes a snapshot of its state.
//
//   if (schedule.TryStart(applied_index, now))
//     ...write it, and call OnWritten or OnDiskFull at the end

#pragma once

#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace jujube::controld {

class SnapshotSchedule {
 public:
  // A snapshot that found the disk full is tried again after this time.
  static constexpr std::chrono::milliseconds kRetryInterval{1000};

  // A snapshot is due after this many log entries, or this many bytes of them.
  SnapshotSchedule(std::uint64_t entries, std::uint64_t bytes)
      : m_entries(entries), m_bytes(bytes) {}

  // An entry with this much data was applied.
  void OnApplied(std::uint64_t bytes) { m_applied_bytes += bytes; }

  // Returns true if a snapshot has to be written now.
  bool TryStart(std::uint64_t applied_index, MonoTime now);
  void OnWritten() { m_is_writing = false; }
  void OnDiskFull(MonoTime now);

  // A snapshot of this index was recovered or received.
  void OnStored(std::uint64_t index) {
    m_last_index = index;
    m_applied_bytes = 0;
  }

 private:
  const std::uint64_t m_entries;
  const std::uint64_t m_bytes;
  std::uint64_t m_applied_bytes = 0;  // since the last snapshot
  std::uint64_t m_last_index = 0;     // of the last snapshot, written or not
  std::uint64_t m_written_index = 0;  // of the last one before it
  std::uint64_t m_written_bytes = 0;  // applied between these two
  bool m_is_writing = false;
  MonoTime m_retry_at{};
};

}  // namespace jujube::controld
