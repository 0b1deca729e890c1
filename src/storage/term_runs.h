// TermRuns: the term of each log index, stored once for each run of entries
// with the same term.

#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace jujube::storage {

class TermRuns {
 public:
  // Replaces the log by an empty one that starts after the index.
  void Reset(std::uint64_t index, std::uint64_t term);

  // Adds the entry at the index and drops all entries after it. The index is at
  // most one above the last one.
  void Append(std::uint64_t index, std::uint64_t term);

  // Returns nullopt for an index outside the recorded range.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

 private:
  // Index 0 precedes every log.
  std::map<std::uint64_t, std::uint64_t> m_term_by_first_index = {{0, 0}};
  std::uint64_t m_last_index = 0;
};

}  // namespace jujube::storage
