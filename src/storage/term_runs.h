// TermRuns: the terms of a log, as the first index of each run of equal terms.

#pragma once

#include <cstdint>
#include <map>
#include <optional>

namespace jujube::storage {

class TermRuns {
 public:
  // The log is empty and starts after the index.
  void Reset(std::uint64_t index, std::uint64_t term);

  // Replaces everything from the index on. The index is at most one after the
  // last one.
  void Append(std::uint64_t index, std::uint64_t term);

  // Nothing outside of the known part.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;

 private:
  // First index to term. Position 0 precedes every log.
  std::map<std::uint64_t, std::uint64_t> m_runs = {{0, 0}};
  std::uint64_t m_last_index = 0;
};

}  // namespace jujube::storage
