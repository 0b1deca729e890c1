#include "consensus/persist_queue.h"

#include <algorithm>
#include <utility>

namespace jujube::consensus {

std::uint64_t PersistQueue::Issue(std::uint64_t last_index) {
  m_next_index = last_index + 1;
  m_outstanding.push_back(
      {.m_number = ++m_last_number, .m_last_index = last_index});
  return m_last_number;
}

void PersistQueue::TruncateFrom(std::uint64_t index) {
  m_synced_index = std::min(m_synced_index, index - 1);
  m_next_index = std::min(m_next_index, index);
  for (Outstanding& outstanding : m_outstanding)
    outstanding.m_last_index = std::min(outstanding.m_last_index, index - 1);
}

void PersistQueue::ResetTo(std::uint64_t index) {
  TruncateFrom(index + 1);
  m_synced_index = index;
  m_next_index = index + 1;
}

void PersistQueue::RaiseTo(std::uint64_t index) {
  m_synced_index = std::max(m_synced_index, index);
  m_next_index = std::max(m_next_index, index + 1);
}

void PersistQueue::Hold(Message message) {
  m_held.push_back(
      {.m_number = m_last_number, .m_message = std::move(message)});
}

std::vector<Message> PersistQueue::Done(std::uint64_t number) {
  while (!m_outstanding.empty() && m_outstanding.front().m_number <= number) {
    m_synced_index =
        std::max(m_synced_index, m_outstanding.front().m_last_index);
    m_outstanding.pop_front();
  }
  std::vector<Message> released;
  while (!m_held.empty() && m_held.front().m_number <= number) {
    released.push_back(std::move(m_held.front().m_message));
    m_held.pop_front();
  }
  return released;
}

}  // namespace jujube::consensus
