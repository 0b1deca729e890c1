#include "control/snapshot.h"

#include <iterator>
#include <utility>

#include "config/difference.h"
#include "gen/control_wire.h"

namespace jujube::control {

namespace {

// Maximum numbers of elements of a ControlSnapshotPiece in the schema.
constexpr std::size_t kMaxBlocks = 4096;
constexpr std::size_t kMaxClaims = 1024;
constexpr std::size_t kMaxLines = 1024;

Error SnapshotError(std::string message) {
  return MakeError(ErrorCode::kCorrupt, "snapshot: " + std::move(message));
}

}  // namespace

SnapshotWriter::SnapshotWriter(const StateMachine& state)
    : m_state(state),
      m_lines(m_state.Ledger().Lines()),
      m_next_claim(m_state.Claims().All().begin()) {}

ControlSnapshotHead SnapshotWriter::MakeHead() const {
  const Configuration& config = m_state.Config();
  return {.m_applied_index = m_state.AppliedIndex(),
          .m_document_index = config.DocumentIndex(),
          .m_feed_index = config.FeedIndex(),
          .m_time = m_state.ReplicatedTimeMs(),
          .m_claim_horizon = m_state.Claims().HorizonMs(),
          .m_deployment = config::WithoutBlocks(config.Document()),
          .m_drains = config.Drains(),
          .m_shift = config.ShiftInForce(),
          .m_history = config.History(),
          .m_hosts = m_state.Hosts().All()};
}

std::optional<std::string> SnapshotWriter::NextPiece() {
  if (m_done)
    return std::nullopt;
  ControlSnapshotPiece piece{.m_number = m_next_piece++};
  std::size_t bytes = 0;
  if (piece.m_number == 0) {
    piece.m_head = MakeHead();
    bytes = Encode(*piece.m_head).size();
  }
  const std::vector<CallerBlock>& blocks = m_state.Config().Document().m_blocks;
  while (m_next_block < blocks.size() && bytes < kTargetPieceBytes &&
         piece.m_blocks.size() < kMaxBlocks) {
    const CallerBlock& block = blocks[m_next_block++];
    bytes += block.m_prefix.size() + block.m_site.m_value.size();
    piece.m_blocks.push_back(block);
  }
  const auto end = m_state.Claims().All().end();
  while (m_next_claim != end && bytes < kTargetPieceBytes &&
         piece.m_claims.size() < kMaxClaims) {
    bytes += Encode(m_next_claim->second).size();
    piece.m_claims.push_back(m_next_claim->second);
    ++m_next_claim;
  }
  while (m_next_line < m_lines.size() && bytes < kTargetPieceBytes &&
         piece.m_lines.size() < kMaxLines) {
    bytes += Encode(m_lines[m_next_line]).size();
    piece.m_lines.push_back(m_lines[m_next_line++]);
  }
  m_done = m_next_block == blocks.size() && m_next_claim == end &&
           m_next_line == m_lines.size();
  piece.m_last = m_done;
  return Encode(piece);
}

Status SnapshotLoader::AddPiece(std::string_view bytes) {
  JUJUBE_TRY(ControlSnapshotPiece piece, DecodeControlSnapshotPiece(bytes));
  if (m_complete)
    return SnapshotError("a piece follows the last one");
  if (piece.m_number != m_next_number) {
    return SnapshotError("found piece " + std::to_string(piece.m_number) +
                         ", expected piece " + std::to_string(m_next_number));
  }
  if (piece.m_head.has_value() != (piece.m_number == 0))
    return SnapshotError("the head must be in the first piece and in no other");
  if (piece.m_head)
    m_head = std::move(*piece.m_head);
  std::ranges::move(piece.m_blocks, std::back_inserter(m_blocks));
  std::ranges::move(piece.m_claims, std::back_inserter(m_claims));
  std::ranges::move(piece.m_lines, std::back_inserter(m_lines));
  ++m_next_number;
  m_complete = piece.m_last;
  return Success();
}

Result<StateMachine> SnapshotLoader::Finish() {
  if (!m_complete)
    return SnapshotError("the last piece is missing");
  return StateMachine(m_head, std::move(m_blocks), std::move(m_claims),
                      m_lines);
}

}  // namespace jujube::control
