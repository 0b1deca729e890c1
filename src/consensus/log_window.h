// LogWindow: the entries of the log after a base position.

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

  // Nothing before the base and after the end.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

  // The index must be in the window.
  const LogEntry& At(std::uint64_t index) const;

  // The index of the entry must follow the last one.
  void Append(LogEntry entry);

  // Drops the entries from the index on.
  void TruncateFrom(std::uint64_t index);

  // Moves the base forward to an index in the window.
  void CompactTo(std::uint64_t index);

  // Drops everything and starts at another base.
  void Reset(std::uint64_t base_index, std::uint64_t base_term);

  // Entries from `first` on; at least one if there is one.
  std::vector<LogEntry> Slice(std::uint64_t first,
                              std::size_t max_entries,
                              std::size_t max_bytes) const;

  // Size of the data of the entries after the index.
  std::size_t BytesAfter(std::uint64_t index) const;

 private:
  std::uint64_t m_base_index;
  std::uint64_t m_base_term;
  std::deque<LogEntry> m_entries;
};

}  // namespace jujube::consensus
