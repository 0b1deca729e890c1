// Publisher: the sending side of the feed.
//
//   feed::Publisher publisher(limits);
//   publisher.Publish(state);                  // for each new state
//   feed::Cursor cursor{.m_index = have};      // for each subscription
//   // whenever the connection has buffer space:
//   if (auto message = publisher.NextMessage(&cursor))
//     connection.SendEncoded(message->m_type, message->m_payload);
//
// The publisher retains the most recent changes, called the tail. A subscriber
// receives a snapshot in chunks if the tail has no change that applies to its
// index.
//
// Call NextMessage again only when the connection has buffer space, so that at
// most one message is buffered for a slow subscriber. All subscribers share the
// encoded changes and at most one encoded snapshot. Used by control voters and
// by entry hosts that relay the feed. Not thread-safe.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "core/result.h"
#include "feed/cursor.h"
#include "gen/feed.h"
#include "gen/frames.h"

namespace jujube::feed {

struct PublisherLimits {
  // A day has about 940 changes.
  std::size_t m_max_tail_changes = 1024;
  // Size of the encoded changes. All control functions of an entry host may use
  // 32 MB in total.
  std::size_t m_max_tail_bytes = 4U << 20U;
  // Size of the data in a snapshot chunk.
  std::size_t m_chunk_bytes = 65536;

  friend auto operator<=>(const PublisherLimits&,
                          const PublisherLimits&) = default;
};

// Encoded message for a subscriber.
struct FeedMessage {
  FrameType m_type = FrameType::kFeedChange;
  std::shared_ptr<const std::string> m_payload;

  friend auto operator<=>(const FeedMessage&, const FeedMessage&) = default;
};

class Publisher {
 public:
  using State = std::shared_ptr<const FeedState>;

  explicit Publisher(const PublisherLimits& limits = {});

  // Sets a canonical state (feed/change.h) and computes the change from the
  // previous state. kConflict: the index is not above the current one; the call
  // has no effect then.
  Status Publish(State state);

  // As above, with the change that a relay has received. kConflict: as above,
  // or the change does not lead from the current index to that of the state.
  Status Publish(State state, const FeedChange& change);

  // Returns the next message for a subscriber, or nullopt if it is up to date.
  // Advances the cursor past the message.
  std::optional<FeedMessage> NextMessage(Cursor* cursor);

  // True if the subscriber has been sent all changes.
  bool IsUpToDate(const Cursor& cursor) const;

  // Frees the encoded snapshot if it is not being sent to any subscriber. Call
  // it periodically, for example with each heartbeat.
  void ReleaseUnusedSnapshot();

  State Current() const;        // null before the first state
  std::uint64_t Index() const;  // 0 before the first state
  // Size of the tail and the encoded snapshot.
  std::size_t RetainedBytes() const;
  std::uint64_t SnapshotsStarted() const;

 private:
  struct TailChange {
    std::uint64_t m_previous_index;
    std::uint64_t m_index;
    std::shared_ptr<const std::string> m_payload;
  };
  struct Snapshot {
    // Shared with the cursors of the subscribers that receive this snapshot;
    // the use count shows whether there are any.
    std::shared_ptr<const std::uint64_t> m_index;
    std::string m_bytes;
  };

  Status CheckNewer(const State& state) const;
  void DropTail();
  void AppendToTail(const FeedChange& change);
  // Returns the change that applies to the index, or null.
  const TailChange* FindChangeAfter(std::uint64_t index) const;
  std::optional<FeedMessage> NextChunk(Cursor* cursor);
  void StartSnapshot(Cursor* cursor);

  PublisherLimits m_limits;
  State m_state;
  std::deque<TailChange> m_tail;
  std::size_t m_tail_bytes = 0;
  std::optional<Snapshot> m_snapshot;
  std::uint64_t m_snapshots_started = 0;
};

}  // namespace jujube::feed
