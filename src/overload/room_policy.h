// RoomPolicy: concept of a policy that decides whether a request goes to an
// upstream, waits at this host or is refused. Implementations:
//
//   WaitByRank       waits where the room is expected in time
//   RefuseAtOnce     never waits; lower ranks may use less of the room
//   QueueAtUpstream  always goes; requests queue at the upstreams
//
// docs/design/overload.md compares them.

#pragma once

#include <chrono>
#include <compare>
#include <concepts>
#include <cstdint>
#include <string_view>

#include "overload/room_request.h"

namespace jujube::overload {

struct RoomInputs {
  MonoTime m_now;
  bool m_is_short = false;            // upstreams state queues or refuse
  double m_room = 1;                  // requests that may be in progress
  std::uint32_t m_in_progress = 0;    // of this host, at the service
  std::uint32_t m_ranks_above = 0;    // higher ranks that ask for room too
  double m_reserved_above = 0;        // part of the room that is kept for them
  bool m_is_above_share = false;      // its tenant started more than its share
  std::uint32_t m_waiting_ahead = 0;  // waiting with the same or a higher rank
  bool m_is_owed = false;             // its rank got less than its least share
  bool m_is_other_owed = false;       // one with such a rank waits
  std::chrono::nanoseconds m_mean_response{0};  // of the service; 0: unknown

  friend auto operator<=>(const RoomInputs&, const RoomInputs&) = default;
};

enum class RoomAnswer : std::uint8_t {
  kGo,
  kWait,
  kTooLate,        // room is expected too late for a response in time
  kRankTooLow,     // higher ranks ask for the room
  kRepeat,         // an early repeat, and there is no room now
  kQueueFull,      // others in the queue come first
  kWaitedTooLong,  // the expected room did not come
  kHostStops,      // planned stop of this host
};

// Reason in logs and label of metrics.
std::string_view ToString(RoomAnswer answer);

constexpr bool IsRefused(RoomAnswer answer) {
  return answer != RoomAnswer::kGo && answer != RoomAnswer::kWait;
}

struct RoomDecision {
  RoomAnswer m_answer = RoomAnswer::kGo;
  std::chrono::nanoseconds m_expected_room{0};  // time until there is room

  friend auto operator<=>(const RoomDecision&, const RoomDecision&) = default;
};

template <class P>
concept RoomPolicy = requires(const RoomRequest& request,
                              const RoomInputs& inputs) {
  { P::Decide(request, inputs) } -> std::same_as<RoomDecision>;
};

// Part of the room that a request may use. The rest is kept free for higher
// ranks, and for other tenants if its own has more than its share.
double UsableRoom(const RoomInputs& inputs);

// Time until room for the request is expected, by Little's law: with n requests
// in progress, one ends each n-th part of the mean response time.
std::chrono::nanoseconds ExpectedRoom(const RoomInputs& inputs);

}  // namespace jujube::overload
