#include "feed/follower.h"

#include "feed/change.h"
#include "gen/feed_wire.h"

namespace jujube::feed {

Follower::Follower(State state) : m_state(std::move(state)) {}

Progress Follower::OnChange(const FeedChange& change) {
  if (change.m_index <= change.m_previous_index)
    return Refuse("change from " + std::to_string(change.m_previous_index) +
                  " to " + std::to_string(change.m_index));
  if (change.m_index <= Index())
    return Progress::kIgnored;
  if (!m_state || change.m_previous_index != Index()) {
    return Gap("change applies to index " +
               std::to_string(change.m_previous_index) + ", this is " +
               std::to_string(Index()));
  }
  auto next = ApplyChange(*m_state, change);
  if (!next)
    return Refuse(next.error().m_message);
  m_state = std::make_shared<const FeedState>(std::move(next).value());
  return Progress::kApplied;
}

Progress Follower::OnChunk(const FeedSnapshotChunk& chunk) {
  if (chunk.m_index <= Index() || chunk.m_index < m_partial_index)
    return Progress::kIgnored;
  if (chunk.m_total_bytes > kMaxSnapshotBytes || chunk.m_data.empty() ||
      chunk.m_offset > chunk.m_total_bytes ||
      chunk.m_data.size() > chunk.m_total_bytes - chunk.m_offset) {
    return Refuse("chunk of " + std::to_string(chunk.m_data.size()) +
                  " bytes at " + std::to_string(chunk.m_offset) + " of " +
                  std::to_string(chunk.m_total_bytes));
  }
  if (chunk.m_index != m_partial_index) {
    OnSubscribe();
    if (chunk.m_offset != 0)
      return Gap("snapshot starts at offset " + std::to_string(chunk.m_offset));
    m_partial_index = chunk.m_index;
    m_partial_total = chunk.m_total_bytes;
  }
  if (chunk.m_total_bytes != m_partial_total)
    return Refuse("snapshot changes its size from " +
                  std::to_string(m_partial_total) + " to " +
                  std::to_string(chunk.m_total_bytes));
  if (chunk.m_offset < m_partial.size())
    return Progress::kIgnored;
  if (chunk.m_offset > m_partial.size())
    return Gap("chunk at " + std::to_string(chunk.m_offset) + " after " +
               std::to_string(m_partial.size()) + " bytes");
  // Grows with what arrives; a total is only a claim of the sender.
  m_partial += chunk.m_data;
  if (m_partial.size() < m_partial_total)
    return Progress::kPartial;
  return FinishSnapshot();
}

Progress Follower::FinishSnapshot() {
  const std::uint64_t index = m_partial_index;
  const std::string bytes = std::move(m_partial);
  OnSubscribe();
  auto decoded = DecodeFeedState(bytes);
  if (!decoded)
    return Refuse(decoded.error().m_message);
  if (decoded.value().m_index != index)
    return Refuse("snapshot of index " + std::to_string(index) +
                  " holds index " + std::to_string(decoded.value().m_index));
  m_state =
      std::make_shared<const FeedState>(Canonical(std::move(decoded).value()));
  return Progress::kApplied;
}

void Follower::OnSubscribe() {
  m_partial_index = 0;
  m_partial_total = 0;
  std::string().swap(m_partial);
}

Progress Follower::Refuse(std::string message) {
  m_error = MakeError(ErrorCode::kInvalidInput, "feed: " + std::move(message));
  OnSubscribe();
  return Progress::kRefused;
}

Progress Follower::Gap(std::string message) {
  m_error = MakeError(ErrorCode::kConflict, "feed: " + std::move(message));
  return Progress::kGap;
}

Follower::State Follower::Current() const {
  return m_state;
}

std::uint64_t Follower::Index() const {
  return m_state ? m_state->m_index : 0;
}

std::size_t Follower::PartialBytes() const {
  return m_partial.capacity();
}

const Error& Follower::LastError() const {
  return m_error;
}

}  // namespace jujube::feed
