// RoomTicket: room of a request at a service, from its start to its end.

#pragma once

#include <cstdint>
#include <utility>

namespace jujube::entry {

struct ServiceRoomState;
class RoomKeeper;

// Move-only. Gives the room back when it is destroyed. One that is empty has no
// effect.
class RoomTicket {
 public:
  RoomTicket() = default;
  RoomTicket(RoomKeeper& keeper, ServiceRoomState& service)
      : m_keeper(&keeper), m_service(&service) {}
  RoomTicket(RoomTicket&& other) noexcept
      : m_keeper(std::exchange(other.m_keeper, nullptr)),
        m_service(other.m_service) {}
  RoomTicket& operator=(RoomTicket&& other) noexcept {
    std::swap(m_keeper, other.m_keeper);
    std::swap(m_service, other.m_service);
    return *this;
  }
  RoomTicket(const RoomTicket&) = delete;
  RoomTicket& operator=(const RoomTicket&) = delete;
  ~RoomTicket() { Reset(); }

  void Reset();

 private:
  RoomKeeper* m_keeper = nullptr;
  ServiceRoomState* m_service = nullptr;
};

}  // namespace jujube::entry
