// RankShares: requests of each priority that asked for room and that started,
// over the last seconds.

#pragma once

#include <array>
#include <cstdint>

#include "overload/room_request.h"

namespace jujube::overload {

class RankShares {
 public:
  void OnAsked(std::uint8_t priority, MonoTime now);
  void OnStarted(std::uint8_t priority, MonoTime now);

  // Whether a smaller part of its requests started than a third of the part of
  // all requests. It then comes first, so that no rank starves.
  bool IsOwed(std::uint8_t priority) const;

  // Part of the room that is kept free for higher priorities: for each of them
  // its part of the requests, at most kMaxReserve.
  //
  // A small host has room for about ten requests, so the most is two of them.
  // A fixed reserve of 0.12 for each rank kept 0.83 of the highest rank in time
  // at 1.5 of the room, one of 0.2 kept 0.85 (bench/overload_bench).
  static constexpr double kMaxReserve = 0.2;
  double ReservedAbove(std::uint8_t priority) const;

  // Number of higher priorities that asked lately.
  std::uint32_t CountAbove(std::uint8_t priority, MonoTime now) const;

 private:
  struct Rank {
    double m_asked = 0;
    double m_started = 0;
    MonoTime m_last_asked_at{};
  };

  void Decay(MonoTime now);

  std::array<Rank, kHighestPriority + 1> m_ranks;
  MonoTime m_decayed_at{};
};

}  // namespace jujube::overload
