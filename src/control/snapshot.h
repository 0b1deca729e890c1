// Snapshots of the state machine, divided into pieces.
//
//   SnapshotWriter writer(state);               // copies; `state` may change
//   while (auto piece = writer.NextPiece())
//     ...                                       // store or send *piece
//
//   SnapshotLoader loader;
//   for (...) JUJUBE_TRY(loader.AddPiece(piece));  // in the order written
//   JUJUBE_TRY(StateMachine state, loader.Finish());
//
// Equal states give equal bytes, so two replicas can compare their snapshots by
// a checksum. Every piece but the first exceeds kTargetPieceBytes by about one
// element at most, such as a claim with a stored answer of 1 MiB. The first
// piece holds the whole head, whatever its size.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/state_machine.h"
#include "core/result.h"

namespace jujube::control {

inline constexpr std::size_t kTargetPieceBytes = std::size_t{256} * 1024;

class SnapshotWriter {
 public:
  explicit SnapshotWriter(const StateMachine& state);
  SnapshotWriter(const SnapshotWriter&) = delete;
  SnapshotWriter& operator=(const SnapshotWriter&) = delete;

  // Returns the next encoded piece, or nullopt after the last one.
  std::optional<std::string> NextPiece();

 private:
  ControlSnapshotHead MakeHead() const;

  const StateMachine m_state;
  const std::vector<LedgerLine> m_lines;
  std::uint64_t m_next_piece = 0;
  std::size_t m_next_block = 0;
  ClaimStore::Records::const_iterator m_next_claim;
  std::size_t m_next_line = 0;
  bool m_done = false;
};

class SnapshotLoader {
 public:
  // Adds the next encoded piece. The loader must be discarded after an error.
  Status AddPiece(std::string_view piece);

  // Returns the state after the last piece was added; an error if it is
  // missing.
  Result<StateMachine> Finish();

 private:
  std::uint64_t m_next_number = 0;
  bool m_complete = false;
  ControlSnapshotHead m_head;
  std::vector<CallerBlock> m_blocks;
  std::vector<ClaimRecord> m_claims;
  std::vector<LedgerLine> m_lines;
};

}  // namespace jujube::control
