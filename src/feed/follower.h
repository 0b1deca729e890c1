// Follower: the receiving side of the feed.
//
//   feed::Follower follower;
//   connection.Send(
//       FeedSubscribe{.m_host = ..., .m_have_index = follower.Index()});
//   switch (follower.OnChange(change)) {
//     case feed::Progress::kApplied:  // use follower.Current()
//     case feed::Progress::kGap:      // send FeedSubscribe again
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
enum class Progress : std::uint8_t {
  kApplied,  // Current() is a new state
  kPartial,  // a chunk was stored; the snapshot is not complete yet
  kIgnored,  // older than the state, or a duplicate
  kGap,      // an earlier message is missing; subscribe again at Index()
  kRefused,  // inconsistent; disconnect from the parent. See LastError()
};

// Maximum size of an encoded state; as in schema/feed.json.
inline constexpr std::uint64_t kMaxSnapshotBytes = 67108864;

class Follower {
 public:
  using State = std::shared_ptr<const FeedState>;

  // The initial state, for example from a previous parent, may be null.
  explicit Follower(State state = nullptr);

  Progress OnChange(const FeedChange& change);
  Progress OnChunk(const FeedSnapshotChunk& chunk);

  // Discards a partial snapshot. Call it before each new subscription.
  void OnSubscribe();

  State Current() const;        // null before the first state
  std::uint64_t Index() const;  // 0 before the first state
  // Memory allocated for a partial snapshot.
  std::size_t PartialSnapshotBytes() const;
  // Reason for the last kRefused or kGap.
  const Error& LastError() const;

 private:
  Progress Refuse(std::string message);
  Progress ReportGap(std::string message);
  Progress FinishSnapshot();

  State m_state;
  std::uint64_t m_partial_index = 0;  // index of the partial snapshot; 0: none
  std::uint64_t m_partial_total_bytes = 0;
  std::string m_partial_data;
  Error m_error;
};

}  // namespace jujube::feed
