// LogWindow: the part of the log that is kept in memory.
//
// It holds the entries after a base position. Entries up to the base have been
// dropped; of the base itself only index and term are known.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "gen/consensus.h"

namespace jujube::consensus {

class LogWindow {
 public:
  LogWindow(std::uint64_t base_index, std::uint64_t base_term)
      : m_base_index(base_index), m_base_term(base_term) {}

  std::uint64_t BaseIndex() const { return m_base_index; }
  std::uint64_t LastIndex() const { return m_base_index + m_entries.size(); }
  std::uint64_t LastTerm() const;

  // nullopt before the base and after the last entry.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  // `index` must be after the base and not after the last entry.
  const LogEntry& At(std::uint64_t index) const;

  // The index of `entry` must be LastIndex() + 1.
  void Append(LogEntry entry);

  // Drops `index` and all later entries.
  void TruncateFrom(std::uint64_t index);

  // Moves the base forward to `index` and drops the entries up to it.
  void CompactTo(std::uint64_t index);

  // Drops all entries and sets a new base.
  void Reset(std::uint64_t base_index, std::uint64_t base_term);

  // Copies entries from index `first` on within both limits. The first entry is
  // returned even if it exceeds max_bytes.
  std::vector<LogEntry> Slice(std::uint64_t first,
                              std::size_t max_entries,
                              std::size_t max_bytes) const;

  // Total data size in bytes of the entries after `index`.
  std::size_t BytesAfter(std::uint64_t index) const;
  // Total data size in bytes of all entries.
  std::size_t Bytes() const { return m_bytes; }

  // The lowest base for which the entries from there up to `index` are within
  // both limits.
  std::uint64_t BaseWithin(std::uint64_t index,
                           std::uint64_t max_entries,
                           std::size_t max_bytes) const;

 private:
  std::uint64_t m_base_index;
  std::uint64_t m_base_term;
  std::deque<LogEntry> m_entries;
  std::size_t m_bytes = 0;
};

}  // namespace jujube::consensus
