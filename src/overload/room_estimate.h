// RoomEstimate: requests that a thread of this host may have in progress at a
// service.
//
// Other hosts use the same upstreams, and this host has only what upstreams
// state in its own responses. So the estimate starts at a share of the slots
// and follows the stated queues: hosts that see long queues all make their
// room smaller, without a message between them.

#pragma once

#include <compare>
#include <cstdint>

#include "core/clock.h"

namespace jujube::overload {

// What an upstream states in a response.
struct StatedQueue {
  std::uint32_t m_waiting = 0;  // requests that wait for a slot
  std::uint32_t m_slots = 0;    // 0: nothing stated

  friend auto operator<=>(const StatedQueue&, const StatedQueue&) = default;
};

class RoomEstimate {
 public:
  // Share of this thread if the slots of the service were divided equally.
  void SetFairShare(double slots);

  // A response arrived. `bearable_queue` is the queue, in parts of the slots,
  // that the caller of the request can bear. `in_progress` includes it.
  void OnResponse(const StatedQueue& stated,
                  double bearable_queue,
                  std::uint32_t in_progress,
                  MonoTime now);

  // An upstream refused a request without starting it.
  void OnRefused(MonoTime now);

  // Whether upstreams state queues or refuse. False without recent statements.
  bool IsShort(MonoTime now) const;

  double Room() const { return m_room; }  // at least 1

 private:
  void SetRoom(double room);

  double m_fair_share = 0;
  double m_room = 1;
  double m_excess = 0;  // average of stated over bearable queue
  MonoTime m_stated_at{};
  MonoTime m_refused_at{};
};

}  // namespace jujube::overload
