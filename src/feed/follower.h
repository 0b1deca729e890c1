// Follower: the side of the feed that a subscriber runs.
//
//   feed::Follower follower;
//   connection.Send(FeedSubscribe{.m_host = ..., .m_have_index =
//   follower.Index()}); switch (follower.OnChange(change)) {
//     case feed::Progress::kApplied:  // use follower.Current()
//     case feed::Progress::kGap:      // send FeedSubscribe again
//     ...
//   }
//
// The index of the state only grows, whatever arrives in whatever order. Not
// thread-safe.

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/result.h"
#include "gen/feed.h"

namespace jujube::feed {

// What a message led to.
enum class Progress : std::uint8_t {
  kApplied,  // Current() is a new state
  kPartial,  // a chunk was stored; more must follow
  kIgnored,  // older than the state, or a duplicate
  kGap,      // something is missing; subscribe again at Index()
  kRefused,  // inconsistent; drop the parent. LastError() says why
};

// Largest encoded state that is assembled; the limit in schema/feed.json.
inline constexpr std::uint64_t kMaxSnapshotBytes = 67108864;

class Follower {
 public:
  using State = std::shared_ptr<const FeedState>;

  // Starts with a state, for example of an earlier parent, or with none.
  explicit Follower(State state = nullptr);

  Progress OnChange(const FeedChange& change);
  Progress OnChunk(const FeedSnapshotChunk& chunk);

  // Drops a partial snapshot; call it before each new subscription.
  void OnSubscribe();

  State Current() const;             // null before the first state
  std::uint64_t Index() const;       // 0 before the first state
  std::size_t PartialBytes() const;  // held for a snapshot
  const Error& LastError() const;    // after kRefused or kGap

 private:
  Progress Refuse(std::string message);
  Progress Gap(std::string message);
  Progress FinishSnapshot();

  State m_state;
  std::uint64_t m_partial_index = 0;  // of the snapshot in m_partial; 0: none
  std::uint64_t m_partial_total = 0;
  std::string m_partial;
  Error m_error;
};

}  // namespace jujube::feed
