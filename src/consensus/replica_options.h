// ReplicaOptions: timeouts and limits of a Replica.

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace jujube::consensus {

struct ReplicaOptions {
  std::chrono::milliseconds m_heartbeat{50};
  // Minimum election timeout; the actual one is random and less than twice as
  // long. A leader steps down if a majority has not replied within this time.
  std::chrono::milliseconds m_election_timeout{500};
  // Limits of unacknowledged messages per follower and of a single message.
  std::size_t m_max_messages_in_flight = 16;
  std::size_t m_max_message_entries = 1024;  // limit of the schema
  std::size_t m_max_message_bytes = 256U << 10U;
  // Further messages wait for replies; a single larger one is sent.
  std::size_t m_max_bytes_in_flight = 4U << 20U;
  std::size_t m_snapshot_chunk_bytes = 1U << 20U;  // limit of the schema
  // Limit of uncommitted data in the log; further proposals are refused. A
  // larger proposal is accepted if no other data is uncommitted.
  std::size_t m_max_uncommitted_bytes = 32U << 20U;
  // Limit of the log in memory, which grows while no snapshot can be stored;
  // further proposals are refused.
  std::size_t m_max_log_bytes = 128U << 20U;
  std::size_t m_max_reads = 4096;  // pending read barriers
  // Entries before the snapshot that are kept in memory, so that followers
  // slightly behind need no snapshot.
  std::uint64_t m_retained_entries = 1024;
  std::size_t m_retained_bytes = 32U << 20U;
  // Seed of the random election timeouts. The caller must set it from the
  // random source of the operating system; replicas with equal seeds draw equal
  // timeouts.
  std::uint64_t m_random_seed = 0;

  friend auto operator<=>(const ReplicaOptions&,
                          const ReplicaOptions&) = default;
};

}  // namespace jujube::consensus
