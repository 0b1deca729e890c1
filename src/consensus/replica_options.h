// ReplicaOptions: times and limits of a Replica.

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace jujube::consensus {

struct ReplicaOptions {
  std::chrono::milliseconds m_heartbeat{50};
  // Least wait before an election; the actual one is up to twice as long. Also
  // the time within which a leader must hear from a majority.
  std::chrono::milliseconds m_election_timeout{500};
  // Limits of what is sent to a follower before it answers.
  std::size_t m_max_messages_in_flight = 16;
  std::size_t m_max_message_entries = 1024;  // limit of the schema
  std::size_t m_max_message_bytes = 256U << 10U;
  std::size_t m_snapshot_chunk_bytes = 1U << 20U;  // limit of the schema
  // Entries that are not committed; more are refused.
  std::size_t m_max_uncommitted_bytes = 32U << 20U;
  std::size_t m_max_reads = 4096;  // read barriers that wait
  // Entries kept in memory before a snapshot, for followers slightly behind.
  std::uint64_t m_entries_kept = 1024;
  // From the random source of the operating system; election timeouts of
  // different replicas must differ.
  std::uint64_t m_random_seed = 0;

  friend auto operator<=>(const ReplicaOptions&,
                          const ReplicaOptions&) = default;
};

}  // namespace jujube::consensus
