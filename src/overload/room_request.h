// RoomRequest: a request that asks for room at the upstreams of a service.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "core/clock.h"

namespace jujube::overload {

// Priorities are 0 to 9, 9 is the highest rank.
inline constexpr std::uint8_t kHighestPriority = 9;

struct RoomRequest {
  std::uint64_t m_id = 0;       // unique among the requests of a thread
  std::uint8_t m_priority = 0;  // of the tenant, else of the route
  std::uint64_t m_tenant = 0;   // hash of the tenant, else of the caller
  std::chrono::nanoseconds m_expected_response{0};  // 0: unknown
  MonoTime m_target_at;  // responses after it are late for the caller
  MonoTime m_deadline;   // time limit of the route or of the caller
  // Sent again by a caller that was told to wait longer.
  bool m_is_early_repeat = false;

  friend auto operator<=>(const RoomRequest&, const RoomRequest&) = default;
};

// Last moment at which a start leads to a response before both times.
constexpr MonoTime LatestStart(const RoomRequest& request) {
  return (request.m_target_at < request.m_deadline ? request.m_target_at
                                                   : request.m_deadline) -
         request.m_expected_response;
}

}  // namespace jujube::overload
