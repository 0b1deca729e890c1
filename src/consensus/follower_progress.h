// FollowerProgress: replication state that the leader keeps for each other
// member.

#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.h"
#include "gen/consensus.h"

namespace jujube::consensus {

enum class SendMode : std::uint8_t {
  kProbe,      // find the last matching index with single empty messages
  kReplicate,  // pipeline entries up to a limit of unacknowledged messages
  kSnapshot,   // send a snapshot, one chunk at a time
};

struct FollowerProgress {
  SendMode m_mode = SendMode::kProbe;
  // Highest index up to which the member's durable log matches the leader's.
  std::uint64_t m_match_index = 0;
  std::uint64_t m_next_index = 1;  // first entry of the next message
  // A probe is outstanding; none is sent until its reply or the next heartbeat.
  bool m_probe_sent = false;
  struct MessageInFlight {
    std::uint64_t m_last_index = 0;
    std::size_t m_bytes = 0;

    friend auto operator<=>(const MessageInFlight&,
                            const MessageInFlight&) = default;
  };
  std::deque<MessageInFlight> m_in_flight;  // unacknowledged messages
  std::size_t m_bytes_in_flight = 0;
  std::uint64_t m_read_round = 0;  // highest round in a reply
  // Time of the last reply in this term; at first, the start of tracking.
  MonoTime m_last_contact{};

  SnapshotInfo m_snapshot;              // snapshot that is being sent
  std::uint64_t m_snapshot_offset = 0;  // offset of the current chunk
  MonoTime m_chunk_requested_at{};      // time of the last SnapshotRead

  // Raises the match index and drops the messages it acknowledges from
  // m_in_flight.
  void AdvanceMatch(std::uint64_t match_index);

  void AddInFlight(const MessageInFlight& message);
  void ClearInFlight();

  // Returns to probing, starting after `index`.
  void ProbeAfter(std::uint64_t index);
};

}  // namespace jujube::consensus
