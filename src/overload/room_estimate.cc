#include "overload/room_estimate.h"

#include <algorithm>

namespace jujube::overload {
namespace {

// Requests are not spread evenly over hosts, so one host may need more than its
// share while others need less.
constexpr double kStartFactor = 2;
// A host keeps learning only while some of its requests are in progress.
constexpr double kMinFactor = 0.25;
// Each response changes the room by a small part, as it tells of one upstream
// only. Shrinking is faster, so that queues end within a few response times.
constexpr double kGrowth = 0.01;
constexpr double kShrinking = 0.03;
// Lower ranks leave some of the room free, so it is used up earlier.
constexpr double kUsedUp = 0.75;
constexpr double kRefusalShrinking = 0.02;
// An upstream may state any number.
constexpr double kMaxStatedQueue = 4;
// Weight of a statement in the average. With 1/8, a few busy upstreams that
// serve popular objects are not taken for a shortage of the service.
constexpr double kStatementWeight = 0.125;
// Part of the bearable queue from which on there is a shortage.
constexpr double kShortageExcess = 0.5;
// Older statements say nothing of the load now, since a queue lasts about the
// time of a response.
constexpr std::chrono::seconds kStatementLifetime{2};
constexpr std::chrono::seconds kRefusalLifetime{1};

}  // namespace

void RoomEstimate::SetFairShare(double slots) {
  if (slots == m_fair_share)
    return;
  // After the loss of upstreams the room shrinks in proportion at once.
  const double room =
      m_fair_share > 0 ? m_room * slots / m_fair_share : slots * kStartFactor;
  m_fair_share = slots;
  SetRoom(room);
}

void RoomEstimate::SetRoom(double room) {
  m_room = std::max({room, m_fair_share * kMinFactor, 1.0});
}

void RoomEstimate::OnResponse(const StatedQueue& stated,
                              double bearable_queue,
                              std::uint32_t in_progress,
                              MonoTime now) {
  if (stated.m_slots == 0)
    return;
  const double queue = std::min(
      kMaxStatedQueue, static_cast<double>(stated.m_waiting) / stated.m_slots);
  m_excess += (queue / bearable_queue - m_excess) * kStatementWeight;
  m_stated_at = now;
  // Requests in progress without a shortage show that there is room for them.
  if (!IsShort(now)) {
    SetRoom(std::max<double>(m_room, in_progress));
    return;
  }
  if (queue > bearable_queue)
    SetRoom(m_room * (1 - kShrinking * std::min(queue - bearable_queue, 1.0)));
  else if (in_progress >= m_room * kUsedUp)
    SetRoom(m_room * (1 + kGrowth));
}

void RoomEstimate::OnRefused(MonoTime now) {
  m_refused_at = now;
  SetRoom(m_room * (1 - kRefusalShrinking));
}

bool RoomEstimate::IsShort(MonoTime now) const {
  return (m_excess > kShortageExcess &&
          now - m_stated_at < kStatementLifetime) ||
         (m_refused_at != MonoTime{} && now - m_refused_at < kRefusalLifetime);
}

}  // namespace jujube::overload
