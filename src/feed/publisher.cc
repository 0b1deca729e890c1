#include "feed/publisher.h"

#include <algorithm>
#include <cassert>

#include "feed/change.h"
#include "gen/feed_wire.h"

namespace jujube::feed {

Publisher::Publisher(const PublisherLimits& limits) : m_limits(limits) {
  assert(limits.m_chunk_bytes > 0 && limits.m_chunk_bytes <= 262144);
}

Status Publisher::Publish(State state) {
  JUJUBE_TRY(CheckNewer(state));
  if (m_state) {
    const auto change = MakeChange(*m_state, *state);
    if (change)
      AppendToTail(change.value());
    else
      DropTail();
  }
  m_state = std::move(state);
  return Success();
}

Status Publisher::Publish(State state, const FeedChange& change) {
  JUJUBE_TRY(CheckNewer(state));
  if (change.m_previous_index != Index() || change.m_index != state->m_index) {
    return MakeError(
        ErrorCode::kConflict,
        "feed: change from " + std::to_string(change.m_previous_index) +
            " to " + std::to_string(change.m_index) +
            " does not lead from index " + std::to_string(Index()) + " to " +
            std::to_string(state->m_index));
  }
  // A subscriber without a state receives the first state as a snapshot.
  if (m_state)
    AppendToTail(change);
  m_state = std::move(state);
  return Success();
}

Status Publisher::CheckNewer(const State& state) const {
  if (state->m_index <= Index()) {
    return MakeError(ErrorCode::kConflict,
                     "feed: index " + std::to_string(state->m_index) +
                         " is not above " + std::to_string(Index()));
  }
  return Success();
}

void Publisher::AppendToTail(const FeedChange& change) {
  auto payload = std::make_shared<const std::string>(Encode(change));
  if (payload->size() >
      MaxPayloadBytes(static_cast<std::uint16_t>(FrameType::kFeedChange))) {
    DropTail();
    return;
  }
  m_tail_bytes += payload->size();
  m_tail.push_back({.m_previous_index = change.m_previous_index,
                    .m_index = change.m_index,
                    .m_payload = std::move(payload)});
  // The newest change is kept even if it alone exceeds the byte limit, because
  // most subscribers need only this one.
  while (m_tail.size() > 1 && (m_tail.size() > m_limits.m_max_tail_changes ||
                               m_tail_bytes > m_limits.m_max_tail_bytes)) {
    m_tail_bytes -= m_tail.front().m_payload->size();
    m_tail.pop_front();
  }
}

// Called for a change that exceeds the limits of FeedChange. Subscribers then
// receive a snapshot. Changes before the gap are dropped, since an encoded
// snapshot that they follow would be sent again at the gap.
void Publisher::DropTail() {
  m_tail.clear();
  m_tail_bytes = 0;
}

const Publisher::TailChange* Publisher::FindChangeAfter(
    std::uint64_t index) const {
  const auto found =
      std::lower_bound(m_tail.begin(), m_tail.end(), index,
                       [](const TailChange& change, std::uint64_t value) {
                         return change.m_previous_index < value;
                       });
  if (found == m_tail.end() || found->m_previous_index != index)
    return nullptr;
  return &*found;
}

std::optional<FeedMessage> Publisher::NextMessage(Cursor* cursor) {
  if (!m_state || IsUpToDate(*cursor))
    return std::nullopt;
  if (cursor->m_snapshot_index != 0)
    return NextChunk(cursor);
  const TailChange* change = FindChangeAfter(cursor->m_index);
  if (change == nullptr) {
    StartSnapshot(cursor);
    return NextChunk(cursor);
  }
  cursor->m_index = change->m_index;
  return FeedMessage{.m_type = FrameType::kFeedChange,
                     .m_payload = change->m_payload};
}

bool Publisher::IsUpToDate(const Cursor& cursor) const {
  return cursor.m_index >= Index();
}

void Publisher::StartSnapshot(Cursor* cursor) {
  // The encoded snapshot is reused if it is current or if the tail contains the
  // change that directly follows it. Otherwise each slow subscriber could
  // require its own copy of the state.
  const bool is_reusable =
      m_snapshot && (*m_snapshot->m_index == Index() ||
                     FindChangeAfter(*m_snapshot->m_index) != nullptr);
  if (!is_reusable) {
    m_snapshot.reset();
    m_snapshot =
        Snapshot{.m_index = std::make_shared<const std::uint64_t>(Index()),
                 .m_bytes = Encode(*m_state)};
  }
  cursor->m_snapshot_index = *m_snapshot->m_index;
  cursor->m_offset = 0;
  cursor->m_snapshot_ref = m_snapshot->m_index;
  ++m_snapshots_started;
}

std::optional<FeedMessage> Publisher::NextChunk(Cursor* cursor) {
  // The snapshot was replaced for another subscriber in the meantime: restart
  // with the new one.
  if (!m_snapshot || *m_snapshot->m_index != cursor->m_snapshot_index)
    StartSnapshot(cursor);
  const std::string& bytes = m_snapshot->m_bytes;
  const FeedSnapshotChunk chunk{
      .m_index = cursor->m_snapshot_index,
      .m_offset = cursor->m_offset,
      .m_total_bytes = bytes.size(),
      .m_data = bytes.substr(cursor->m_offset, m_limits.m_chunk_bytes)};
  cursor->m_offset += chunk.m_data.size();
  if (cursor->m_offset == bytes.size())
    *cursor = Cursor{.m_index = cursor->m_snapshot_index};
  return FeedMessage{
      .m_type = FrameType::kFeedSnapshotChunk,
      .m_payload = std::make_shared<const std::string>(Encode(chunk))};
}

void Publisher::ReleaseUnusedSnapshot() {
  if (m_snapshot && m_snapshot->m_index.use_count() == 1)
    m_snapshot.reset();
}

Publisher::State Publisher::Current() const {
  return m_state;
}

std::uint64_t Publisher::Index() const {
  return m_state ? m_state->m_index : 0;
}

std::size_t Publisher::RetainedBytes() const {
  return m_tail_bytes + (m_snapshot ? m_snapshot->m_bytes.size() : 0);
}

std::uint64_t Publisher::SnapshotsStarted() const {
  return m_snapshots_started;
}

}  // namespace jujube::feed
