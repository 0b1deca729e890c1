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
