// FollowerProgress: what the leader knows about one other replica.

#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.h"
#include "gen/consensus.h"

namespace jujube::consensus {

enum class SendMode : std::uint8_t {
  kProbe,      // looks for the matching index, one empty message at a time
  kReplicate,  // sends entries ahead of the answers, up to a limit
  kSnapshot,   // sends a snapshot, one part at a time
};

struct FollowerProgress {
  SendMode m_mode = SendMode::kProbe;
  std::uint64_t m_match = 0;  // durable there and the same as here
  std::uint64_t m_next = 1;   // first entry of the next message
  bool m_probe_sent = false;  // waits for the answer or the next heartbeat
  std::deque<std::uint64_t> m_in_flight;  // last index of each message
  std::uint64_t m_read_round = 0;         // highest round that it confirmed
  MonoTime m_contact{};                   // last answer of this term

  SnapshotInfo m_snapshot;              // that is being sent
  std::uint64_t m_snapshot_offset = 0;  // of the part that is on its way
  MonoTime m_snapshot_sent{};  // when the part was asked from the store

  // Takes the confirmed index and frees the messages up to it.
  void Confirm(std::uint64_t match);

  // Continues after the given index, which may or may not match.
  void ProbeAfter(std::uint64_t index);
};

}  // namespace jujube::consensus
