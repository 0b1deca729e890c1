// ServiceRoom: who goes, waits or is refused at one service, on one thread.
//
//   ServiceRoom<WaitByRank> room;
//   room.SetFairShare(slots_of_the_service / entry_hosts);
//   const RoomDecision decision = room.Ask(request, now);
//   if (decision.m_answer == RoomAnswer::kGo)
//     ...send it, then OnResponse, OnRefused or OnGivenUp, and Release
//   else if (decision.m_answer == RoomAnswer::kWait)
//     ...suspend until TakeWoken returns its id, or Withdraw
//   for (const Woken& woken : room.TakeWoken())
//     ...resume; with kGo it is in progress, else it was refused
//
// Without I/O and without a clock of its own. Not thread-safe.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "overload/response_times.h"
#include "overload/room_policy.h"
#include "overload/wait_queue.h"

namespace jujube::overload {

struct Woken {
  std::uint64_t m_id = 0;
  RoomAnswer m_answer = RoomAnswer::kGo;

  friend auto operator<=>(const Woken&, const Woken&) = default;
};

template <RoomPolicy P>
class ServiceRoom {
 public:
  void SetFairShare(double slots) { m_estimate.SetFairShare(slots); }

  // What Ask would decide. Changes nothing.
  RoomDecision Preview(const RoomRequest& request, MonoTime now) const {
    return P::Decide(request,
                     InputsFor(request.m_priority, request.m_tenant, now));
  }

  // With kGo the request is in progress, with kWait it is in the queue.
  RoomDecision Ask(const RoomRequest& request, MonoTime now) {
    m_ranks.OnAsked(request.m_priority, now);
    RoomDecision decision = Preview(request, now);
    if (decision.m_answer == RoomAnswer::kGo)
      Start(request.m_priority, request.m_tenant, now);
    if (decision.m_answer != RoomAnswer::kWait)
      return decision;
    const auto removed = m_queue.Push({.m_id = request.m_id,
                                       .m_priority = request.m_priority,
                                       .m_tenant = request.m_tenant,
                                       .m_latest_start = LatestStart(request)});
    if (removed && removed->m_id == request.m_id)
      decision.m_answer = RoomAnswer::kQueueFull;
    else if (removed)
      m_woken.push_back({removed->m_id, RoomAnswer::kQueueFull});
    return decision;
  }

  // A request was refused after Preview, without Ask.
  void OnAsked(std::uint8_t priority, MonoTime now) {
    m_ranks.OnAsked(priority, now);
  }

  // Takes a waiting request out, because its caller left.
  void Withdraw(std::uint64_t id) { m_queue.Remove(id); }

  void OnResponse(const std::string& route,
                  std::chrono::nanoseconds elapsed,
                  std::chrono::nanoseconds target,
                  const StatedQueue& stated,
                  MonoTime now) {
    m_times.OnResponse(route, elapsed, stated);
    m_estimate.OnResponse(stated, m_times.BearableQueue(route, target),
                          m_in_progress, now);
  }
  void OnRefused(MonoTime now) { m_estimate.OnRefused(now); }
  void OnGivenUp(const std::string& route, std::chrono::nanoseconds elapsed) {
    m_times.OnGivenUp(route, elapsed);
  }

  // A request in progress has ended.
  void Release(MonoTime now) {
    --m_in_progress;
    Advance(now);
  }

  // Starts waiting requests for which there is room and refuses those whose
  // time has passed.
  void Advance(MonoTime now) {
    while (const auto expired = m_queue.TakeExpired(now))
      m_woken.push_back({expired->m_id, RoomAnswer::kWaitedTooLong});
    while (const auto next = m_queue.Next(m_ranks, m_tenants)) {
      const RoomInputs inputs =
          InputsFor(next->m_priority, next->m_tenant, now);
      if (inputs.m_is_short && inputs.m_in_progress >= UsableRoom(inputs))
        return;
      m_queue.Remove(next->m_id);
      Start(next->m_priority, next->m_tenant, now);
      m_woken.push_back({next->m_id, RoomAnswer::kGo});
    }
  }

  // Refuses all who wait.
  void Stop() {
    while (const auto entry = m_queue.TakeAny())
      m_woken.push_back({entry->m_id, RoomAnswer::kHostStops});
  }

  // Requests that left the queue since the last call.
  std::vector<Woken> TakeWoken() { return std::exchange(m_woken, {}); }

  std::uint32_t RanksAbove(std::uint8_t priority, MonoTime now) const {
    return m_ranks.CountAbove(priority, now);
  }
  std::chrono::nanoseconds ExpectedResponse(const std::string& route) const {
    return m_times.Expected(route);
  }
  bool CanMeet(const std::string& route,
               std::chrono::nanoseconds target) const {
    return m_times.CanMeet(route, target);
  }
  double Room() const { return m_estimate.Room(); }
  std::uint32_t InProgress() const { return m_in_progress; }
  bool HasWaiting() const { return !m_queue.empty(); }

 private:
  RoomInputs InputsFor(std::uint8_t priority,
                       std::uint64_t tenant,
                       MonoTime now) const {
    return {.m_now = now,
            .m_is_short = m_estimate.IsShort(now),
            .m_room = m_estimate.Room(),
            .m_in_progress = m_in_progress,
            .m_ranks_above = m_ranks.CountAbove(priority, now),
            .m_reserved_above = m_ranks.ReservedAbove(priority),
            .m_is_above_share = m_tenants.IsAboveShare(priority, tenant),
            .m_waiting_ahead = m_queue.CountFrom(priority),
            .m_is_owed = m_ranks.IsOwed(priority),
            .m_is_other_owed = m_queue.HasOtherOwed(priority, m_ranks),
            .m_mean_response = m_times.Mean()};
  }

  void Start(std::uint8_t priority, std::uint64_t tenant, MonoTime now) {
    ++m_in_progress;
    m_ranks.OnStarted(priority, now);
    m_tenants.OnStarted(priority, tenant, now);
  }

  RoomEstimate m_estimate;
  ResponseTimes m_times;
  RankShares m_ranks;
  TenantShares m_tenants;
  WaitQueue m_queue;
  std::vector<Woken> m_woken;
  std::uint32_t m_in_progress = 0;
};

}  // namespace jujube::overload
