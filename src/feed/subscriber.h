// Subscriber: the receiving side of the feed.
//
//   feed::Subscriber subscriber;
//   connection.Send(
//       FeedSubscribe{.m_host = ..., .m_have_index = subscriber.Index()});
//   switch (subscriber.OnChange(change)) {
//     case feed::MessageResult::kApplied:  // use subscriber.Current()
//     case feed::MessageResult::kGap:      // send FeedSubscribe again
//     ...
//   }
//
// The index of the state never decreases, also if messages are lost, duplicated
// or reordered. Not thread-safe.

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/result.h"
#include "gen/feed.h"

namespace jujube::feed {

// Result of a received message.
enum class MessageResult : std::uint8_t {
  kApplied,  // Current() is a new state
  kPartial,  // a chunk was stored; the snapshot is not complete yet
  kIgnored,  // older than the state, or a duplicate
  kGap,      // an earlier message is missing; subscribe again at Index()
  kRefused,  // inconsistent; disconnect from the parent. See LastError()
};

// Maximum size of an encoded state; as in schema/feed.json.
inline constexpr std::uint64_t kMaxSnapshotBytes = 67108864;

class Subscriber {
 public:
  using State = std::shared_ptr<const FeedState>;

  // The initial state, for example from a previous parent, may be null.
  explicit Subscriber(State state = nullptr);

  MessageResult OnChange(const FeedChange& change);
  MessageResult OnChunk(const FeedSnapshotChunk& chunk);

  // Discards a partial snapshot. Call it before each new subscription.
  void DiscardPartialSnapshot();

  State Current() const;        // null before the first state
  std::uint64_t Index() const;  // 0 before the first state
  // Memory allocated for a partial snapshot.
  std::size_t PartialSnapshotBytes() const;
  // Reason for the last kRefused or kGap.
  const Error& LastError() const;

 private:
  MessageResult Refuse(std::string message);
  MessageResult ReportGap(std::string message);
  MessageResult FinishSnapshot();

  State m_state;
  std::uint64_t m_partial_index = 0;  // index of the partial snapshot; 0: none
  std::uint64_t m_partial_total_bytes = 0;
  std::string m_partial_data;
  Error m_error;
};

}  // namespace jujube::feed
