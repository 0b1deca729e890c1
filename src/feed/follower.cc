#include "feed/follower.h"

#include "feed/change.h"
#include "gen/feed_wire.h"

namespace jujube::feed {

Follower::Follower(State state) : m_state(std::move(state)) {}

Progress Follower::OnChange(const FeedChange& change) {
  if (change.m_index <= change.m_previous_index)
    return Refuse("index does not increase in change from " +
                  std::to_string(change.m_previous_index) + " to " +
                  std::to_string(change.m_index));
  if (change.m_index <= Index())
    return Progress::kIgnored;
  if (!m_state || change.m_previous_index != Index()) {
    return ReportGap("change applies to index " +
                     std::to_string(change.m_previous_index) +
                     ", the current index is " + std::to_string(Index()));
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
    return Refuse("invalid snapshot chunk of " +
                  std::to_string(chunk.m_data.size()) + " bytes at offset " +
                  std::to_string(chunk.m_offset) + " of " +
                  std::to_string(chunk.m_total_bytes));
  }
  if (chunk.m_index != m_partial_index) {
    OnSubscribe();
    if (chunk.m_offset != 0)
      return ReportGap("first snapshot chunk has offset " +
                       std::to_string(chunk.m_offset));
    m_partial_index = chunk.m_index;
    m_partial_total_bytes = chunk.m_total_bytes;
  }
  if (chunk.m_total_bytes != m_partial_total_bytes)
    return Refuse("total size of the snapshot changed from " +
                  std::to_string(m_partial_total_bytes) + " to " +
                  std::to_string(chunk.m_total_bytes));
  if (chunk.m_offset < m_partial_data.size())
    return Progress::kIgnored;
  if (chunk.m_offset > m_partial_data.size())
    return ReportGap("snapshot chunk at offset " +
                     std::to_string(chunk.m_offset) + " after " +
                     std::to_string(m_partial_data.size()) + " bytes");
  // Not reserved in advance, because the total size is an unverified statement
  // of the sender.
  m_partial_data += chunk.m_data;
  if (m_partial_data.size() < m_partial_total_bytes)
    return Progress::kPartial;
  return FinishSnapshot();
}

Progress Follower::FinishSnapshot() {
  const std::uint64_t index = m_partial_index;
  const std::string bytes = std::move(m_partial_data);
  OnSubscribe();
  auto decoded = DecodeFeedState(bytes);
  if (!decoded)
    return Refuse(decoded.error().m_message);
  if (decoded.value().m_index != index)
    return Refuse("snapshot for index " + std::to_string(index) +
                  " contains index " + std::to_string(decoded.value().m_index));
  m_state =
      std::make_shared<const FeedState>(Canonical(std::move(decoded).value()));
  return Progress::kApplied;
}

void Follower::OnSubscribe() {
  m_partial_index = 0;
  m_partial_total_bytes = 0;
  std::string().swap(m_partial_data);
}

Progress Follower::Refuse(std::string message) {
  m_error = MakeError(ErrorCode::kInvalidInput, "feed: " + std::move(message));
  OnSubscribe();
  return Progress::kRefused;
}

Progress Follower::ReportGap(std::string message) {
  m_error = MakeError(ErrorCode::kConflict, "feed: " + std::move(message));
  return Progress::kGap;
}

Follower::State Follower::Current() const {
  return m_state;
}

std::uint64_t Follower::Index() const {
  return m_state ? m_state->m_index : 0;
}

std::size_t Follower::PartialSnapshotBytes() const {
  return m_partial_data.capacity();
}

const Error& Follower::LastError() const {
  return m_error;
}

}  // namespace jujube::feed
