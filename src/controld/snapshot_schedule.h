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

  // `entries` are the log entries between two snapshots.
  explicit SnapshotSchedule(std::uint64_t entries) : m_entries(entries) {}

  // Returns true if a snapshot has to be written now.
  bool TryStart(std::uint64_t applied_index, MonoTime now);
  void OnWritten() { m_is_writing = false; }
  void OnDiskFull(MonoTime now);

  // A snapshot of this index was recovered or received.
  void OnStored(std::uint64_t index) { m_last_index = index; }

 private:
  const std::uint64_t m_entries;
  std::uint64_t m_last_index = 0;     // of the last snapshot, written or not
  std::uint64_t m_written_index = 0;  // of the last one before it
  bool m_is_writing = false;
  MonoTime m_retry_at{};
};

}  // namespace jujube::controld
