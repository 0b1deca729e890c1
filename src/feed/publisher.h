// Publisher: the side of the feed that answers subscribers.
//
//   feed::Publisher publisher(limits);
//   publisher.Publish(state);                  // at each change
//   feed::Cursor cursor{.m_index = have};      // for each subscription
//   while (auto message = publisher.Next(&cursor))
//     connection.SendEncoded(message->m_type, message->m_payload);
//
// Call Next again only when the connection has room, so that a slow subscriber
// costs one message. All subscribers share the encoded changes and at most one
// encoded snapshot. Used by control voters and by entry hosts that relay. Not
// thread-safe.

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
  std::size_t m_max_tail_changes = 1024;     // a day at 940 changes
  std::size_t m_max_tail_bytes = 4U << 20U;  // encoded; a node has 32 MB in all
  std::size_t m_chunk_bytes = 65536;         // of a snapshot

  friend auto operator<=>(const PublisherLimits&,
                          const PublisherLimits&) = default;
};

// An encoded message for a subscriber.
struct FeedMessage {
  FrameType m_type = FrameType::kFeedChange;
  std::shared_ptr<const std::string> m_payload;

  friend auto operator<=>(const FeedMessage&, const FeedMessage&) = default;
};

class Publisher {
 public:
  using State = std::shared_ptr<const FeedState>;

  explicit Publisher(const PublisherLimits& limits = {});

  // Sets a canonical state (feed/change.h) and derives the change. kConflict:
  // the index is not above the current one; nothing changes then.
  Status Publish(State state);

  // The same with a change that is known already, as a relay has it.
  // kConflict: the change does not lead from the current index to the state's.
  Status Publish(State state, const FeedChange& change);

  // Next message for a subscriber, or none if it has everything. Moves the
  // cursor past the message.
  std::optional<FeedMessage> Next(Cursor* cursor);

  // Frees the encoded snapshot if no subscriber is in the middle of it. Call it
  // now and then, for example with each heartbeat.
  void Trim();

  State Current() const;          // null before the first state
  std::uint64_t Index() const;    // 0 before the first state
  std::size_t HeldBytes() const;  // of the tail and the encoded snapshot
  std::uint64_t SnapshotsStarted() const;

 private:
  struct TailChange {
    std::uint64_t m_previous_index;
    std::uint64_t m_index;
    std::shared_ptr<const std::string> m_payload;
  };
  struct Snapshot {
    std::shared_ptr<const std::uint64_t> m_lease;  // the index
    std::string m_bytes;
  };

  Status CheckNewer(const State& state) const;
  void Append(const FeedChange& change);
  const TailChange* After(std::uint64_t index) const;
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
