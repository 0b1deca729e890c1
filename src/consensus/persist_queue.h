// PersistQueue: tracks issued Persists that are not durable yet, and delays
// messages that must not be sent before them.

#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "consensus/messages.h"

namespace jujube::consensus {

class PersistQueue {
 public:
  explicit PersistQueue(std::uint64_t synced_index)
      : m_synced_index(synced_index), m_next_index(synced_index + 1) {}

  // Index up to which the log is durable.
  std::uint64_t SyncedIndex() const { return m_synced_index; }
  // First entry that no Persist includes yet.
  std::uint64_t NextIndex() const { return m_next_index; }
  bool IsIdle() const { return m_outstanding.empty(); }

  // Records a Persist of the entries up to `last_index` and returns its number.
  std::uint64_t Issue(std::uint64_t last_index);

  // Entries from `index` on were dropped from the log; they no longer count as
  // issued or durable.
  void TruncateFrom(std::uint64_t index);

  // A durable snapshot up to `index` replaced the whole log.
  void ResetTo(std::uint64_t index);

  // A durable snapshot covers the log up to `index`; later entries are kept.
  void AdvanceTo(std::uint64_t index);

  // Delays a message until all Persists issued so far are durable.
  void DelayUntilSynced(Message message);

  // Marks all Persists up to `number` as durable and returns the messages that
  // may be sent now.
  std::vector<Message> CompleteUpTo(std::uint64_t number);

 private:
  struct OutstandingPersist {
    std::uint64_t m_number = 0;
    std::uint64_t m_last_index = 0;
  };
  struct DelayedMessage {
    std::uint64_t m_number = 0;
    Message m_message;
  };

  std::uint64_t m_synced_index;
  std::uint64_t m_next_index;
  std::uint64_t m_last_number = 0;
  std::deque<OutstandingPersist> m_outstanding;
  std::deque<DelayedMessage> m_delayed_messages;
};

}  // namespace jujube::consensus
