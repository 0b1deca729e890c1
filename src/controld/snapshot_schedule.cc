#include "controld/snapshot_schedule.h"

#include <algorithm>
#include <utility>

namespace jujube::controld {

bool SnapshotSchedule::TryStart(std::uint64_t applied_index, MonoTime now) {
  const bool is_due =
      applied_index >= m_last_index + m_entries || m_applied_bytes >= m_bytes;
  if (m_is_writing || now < m_retry_at || !is_due)
    return false;
  m_is_writing = true;
  m_written_bytes = std::exchange(m_applied_bytes, 0);
  m_written_index = std::exchange(m_last_index, applied_index);
  return true;
}

void SnapshotSchedule::OnDiskFull(MonoTime now) {
  m_is_writing = false;
  m_last_index = std::min(m_last_index, m_written_index);
  m_applied_bytes += m_written_bytes;
  m_retry_at = now + kRetryInterval;
}

}  // namespace jujube::controld
