// PersistQueue: what was handed to the disk and the messages that wait for it.

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

  // Highest index up to which the log is durable.
  std::uint64_t SyncedIndex() const { return m_synced_index; }
  // First entry that was not handed over.
  std::uint64_t NextIndex() const { return m_next_index; }
  bool Idle() const { return m_outstanding.empty(); }

  // Hands over the entries up to the index; gives the number of the Persist.
  std::uint64_t Issue(std::uint64_t last_index);

  // Entries from the index on were replaced and do not count any more.
  void TruncateFrom(std::uint64_t index);

  // A durable snapshot replaced the log up to the index.
  void ResetTo(std::uint64_t index);

  // A durable snapshot covers the log up to the index; later entries stay.
  void RaiseTo(std::uint64_t index);

  // Holds a message until everything issued so far is durable.
  void Hold(Message message);

  // Gives the messages that may be sent now.
  std::vector<Message> Done(std::uint64_t number);

 private:
  struct Outstanding {
    std::uint64_t m_number = 0;
    std::uint64_t m_last_index = 0;
  };
  struct Held {
    std::uint64_t m_number = 0;
    Message m_message;
  };

  std::uint64_t m_synced_index;
  std::uint64_t m_next_index;
  std::uint64_t m_last_number = 0;
  std::deque<Outstanding> m_outstanding;
  std::deque<Held> m_held;
};

}  // namespace jujube::consensus
