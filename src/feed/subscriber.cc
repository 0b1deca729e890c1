#include "feed/subscriber.h"

#include "feed/change.h"
#include "gen/feed_wire.h"

namespace jujube::feed {

Subscriber::Subscriber(State state) : m_state(std::move(state)) {}

MessageResult Subscriber::OnChange(const FeedChange& change) {
  if (change.m_index <= change.m_previous_index)
    return Refuse("index does not increase in change from " +
                  std::to_string(change.m_previous_index) + " to " +
                  std::to_string(change.m_index));
  if (change.m_index <= Index())
    return MessageResult::kIgnored;
  if (!m_state || change.m_previous_index != Index()) {
    return ReportGap("change applies to index " +
                     std::to_string(change.m_previous_index) +
                     ", the current index is " + std::to_string(Index()));
  }
  auto next = ApplyChange(*m_state, change);
  if (!next)
    return Refuse(next.error().m_message);
  m_state = std::make_shared<const FeedState>(std::move(next).value());
  return MessageResult::kApplied;
}

MessageResult Subscriber::OnChunk(const FeedSnapshotChunk& chunk) {
  if (chunk.m_index <= Index() || chunk.m_index < m_partial_index)
    return MessageResult::kIgnored;
  if (chunk.m_total_bytes > kMaxSnapshotBytes || chunk.m_data.empty() ||
      chunk.m_offset > chunk.m_total_bytes ||
      chunk.m_data.size() > chunk.m_total_bytes - chunk.m_offset) {
    return Refuse("invalid snapshot chunk of " +
                  std::to_string(chunk.m_data.size()) + " bytes at offset " +
                  std::to_string(chunk.m_offset) + " of " +
                  std::to_string(chunk.m_total_bytes));
  }
  if (chunk.m_index != m_partial_index) {
    DiscardPartialSnapshot();
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
    return MessageResult::kIgnored;
  if (chunk.m_offset > m_partial_data.size())
    return ReportGap("snapshot chunk at offset " +
                     std::to_string(chunk.m_offset) + " after " +
                     std::to_string(m_partial_data.size()) + " bytes");
  // Not reserved in advance, because the total size is an unverified statement
  // of the sender.
  m_partial_data += chunk.m_data;
  if (m_partial_data.size() < m_partial_total_bytes)
    return MessageResult::kPartial;
  return FinishSnapshot();
}

MessageResult Subscriber::FinishSnapshot() {
  const std::uint64_t index = m_partial_index;
  const std::string bytes = std::move(m_partial_data);
  DiscardPartialSnapshot();
  auto decoded = DecodeFeedState(bytes);
  if (!decoded)
    return Refuse(decoded.error().m_message);
  if (decoded.value().m_index != index)
    return Refuse("snapshot for index " + std::to_string(index) +
                  " contains index " + std::to_string(decoded.value().m_index));
  m_state =
      std::make_shared<const FeedState>(Canonical(std::move(decoded).value()));
  return MessageResult::kApplied;
}

void Subscriber::DiscardPartialSnapshot() {
  m_partial_index = 0;
  m_partial_total_bytes = 0;
  std::string().swap(m_partial_data);
}

MessageResult Subscriber::Refuse(std::string message) {
  m_error = MakeError(ErrorCode::kInvalidInput, "feed: " + std::move(message));
  DiscardPartialSnapshot();
  return MessageResult::kRefused;
}

MessageResult Subscriber::ReportGap(std::string message) {
  m_error = MakeError(ErrorCode::kConflict, "feed: " + std::move(message));
  return MessageResult::kGap;
}

Subscriber::State Subscriber::Current() const {
  return m_state;
}

std::uint64_t Subscriber::Index() const {
  return m_state ? m_state->m_index : 0;
}

std::size_t Subscriber::PartialSnapshotBytes() const {
  return m_partial_data.capacity();
}

const Error& Subscriber::LastError() const {
  return m_error;
}

}  // namespace jujube::feed
