#include "storage/term_runs.h"

#include <iterator>

namespace jujube::storage {

void TermRuns::Reset(std::uint64_t index, std::uint64_t term) {
  m_term_by_first_index.clear();
  m_term_by_first_index.emplace(index, term);
  m_last_index = index;
}

void TermRuns::Append(std::uint64_t index, std::uint64_t term) {
  m_term_by_first_index.erase(m_term_by_first_index.lower_bound(index),
                              m_term_by_first_index.end());
  if (m_term_by_first_index.empty() ||
      m_term_by_first_index.rbegin()->second != term)
    m_term_by_first_index.emplace(index, term);
  m_last_index = index;
}

std::optional<std::uint64_t> TermRuns::TermAt(std::uint64_t index) const {
  const auto after = m_term_by_first_index.upper_bound(index);
  if (index > m_last_index || after == m_term_by_first_index.begin())
    return std::nullopt;
  return std::prev(after)->second;
}

}  // namespace jujube::storage
