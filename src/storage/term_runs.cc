#include "storage/term_runs.h"

#include <iterator>

namespace jujube::storage {

void TermRuns::Reset(std::uint64_t index, std::uint64_t term) {
  m_runs.clear();
  m_runs.emplace(index, term);
  m_last_index = index;
}

void TermRuns::Append(std::uint64_t index, std::uint64_t term) {
  m_runs.erase(m_runs.lower_bound(index), m_runs.end());
  if (m_runs.empty() || m_runs.rbegin()->second != term)
    m_runs.emplace(index, term);
  m_last_index = index;
}

std::optional<std::uint64_t> TermRuns::TermAt(std::uint64_t index) const {
  const auto after = m_runs.upper_bound(index);
  if (index > m_last_index || after == m_runs.begin())
    return std::nullopt;
  return std::prev(after)->second;
}

}  // namespace jujube::storage
