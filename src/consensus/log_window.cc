#include "consensus/log_window.h"

#include <cassert>
#include <utility>

namespace jujube::consensus {

std::uint64_t LogWindow::LastTerm() const {
  return m_entries.empty() ? m_base_term : m_entries.back().m_term;
}

std::optional<std::uint64_t> LogWindow::TermAt(std::uint64_t index) const {
  if (index < m_base_index || index > LastIndex())
    return std::nullopt;
  return index == m_base_index ? m_base_term : At(index).m_term;
}

const LogEntry& LogWindow::At(std::uint64_t index) const {
  assert(index > m_base_index && index <= LastIndex());
  return m_entries[index - m_base_index - 1];
}

void LogWindow::Append(LogEntry entry) {
  assert(entry.m_index == LastIndex() + 1);
  m_bytes += entry.m_data.size();
  m_entries.push_back(std::move(entry));
}

void LogWindow::TruncateFrom(std::uint64_t index) {
  assert(index > m_base_index);
  while (index <= LastIndex()) {
    m_bytes -= m_entries.back().m_data.size();
    m_entries.pop_back();
  }
}

void LogWindow::CompactTo(std::uint64_t index) {
  while (m_base_index < index && !m_entries.empty()) {
    m_base_index = m_entries.front().m_index;
    m_base_term = m_entries.front().m_term;
    m_bytes -= m_entries.front().m_data.size();
    m_entries.pop_front();
  }
}

void LogWindow::Reset(std::uint64_t base_index, std::uint64_t base_term) {
  m_entries.clear();
  m_bytes = 0;
  m_base_index = base_index;
  m_base_term = base_term;
}

std::vector<LogEntry> LogWindow::Slice(std::uint64_t first,
                                       std::size_t max_entries,
                                       std::size_t max_bytes) const {
  std::vector<LogEntry> entries;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= LastIndex(); ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.m_data.size();
    const bool over_limit = entries.size() >= max_entries || bytes > max_bytes;
    if (over_limit && !entries.empty())
      break;
    entries.push_back(entry);
  }
  return entries;
}

std::uint64_t LogWindow::BaseWithin(std::uint64_t index,
                                    std::uint64_t max_entries,
                                    std::size_t max_bytes) const {
  std::uint64_t base = index;
  std::size_t bytes = 0;
  while (base > m_base_index && index - base < max_entries) {
    bytes += At(base).m_data.size();
    if (bytes > max_bytes)
      break;
    --base;
  }
  return base;
}

std::size_t LogWindow::BytesAfter(std::uint64_t index) const {
  std::size_t bytes = 0;
  for (std::uint64_t i = index + 1; i <= LastIndex(); ++i)
    bytes += At(i).m_data.size();
  return bytes;
}

}  // namespace jujube::consensus
