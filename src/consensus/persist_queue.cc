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
  for (OutstandingPersist& persist : m_outstanding)
    persist.m_last_index = std::min(persist.m_last_index, index - 1);
}

void PersistQueue::ResetTo(std::uint64_t index) {
  TruncateFrom(index + 1);
  m_synced_index = index;
  m_next_index = index + 1;
}

void PersistQueue::AdvanceTo(std::uint64_t index) {
  m_synced_index = std::max(m_synced_index, index);
  m_next_index = std::max(m_next_index, index + 1);
}

void PersistQueue::DelayUntilSynced(Message message) {
  m_delayed_messages.push_back(
      {.m_number = m_last_number, .m_message = std::move(message)});
}

std::vector<Message> PersistQueue::CompleteUpTo(std::uint64_t number) {
  while (!m_outstanding.empty() && m_outstanding.front().m_number <= number) {
    m_synced_index =
        std::max(m_synced_index, m_outstanding.front().m_last_index);
    m_outstanding.pop_front();
  }
  std::vector<Message> released;
  while (!m_delayed_messages.empty() &&
         m_delayed_messages.front().m_number <= number) {
    released.push_back(std::move(m_delayed_messages.front().m_message));
    m_delayed_messages.pop_front();
  }
  return released;
}

}  // namespace jujube::consensus
