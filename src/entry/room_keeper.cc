#include "entry/room_keeper.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/http_exchange.h"

namespace jujube::entry {
namespace {

namespace asio = boost::asio;

// Instances come, go and are ejected; counting them for each request would cost
// more than the decision.
constexpr std::chrono::milliseconds kShareUpdateInterval{250};

// A planned stop starts without an event on the worker threads.
constexpr std::chrono::milliseconds kStopCheckInterval{100};

double UsableSlotsOf(const steering::ServiceUpstreams& service, MonoTime now) {
  std::uint64_t slots = 0;
  for (const steering::Upstream& upstream : service.m_upstreams) {
    if (steering::IsServing(upstream, now) &&
        !upstream.m_counters->IsSetAside(now))
      slots += upstream.m_member.m_announcement.m_slots;
  }
  return static_cast<double>(slots);
}

}  // namespace

// Registers a waiter during its lifetime.
class RoomKeeper::WaiterScope {
 public:
  WaiterScope(RoomKeeper& keeper, std::uint64_t id, Waiter& waiter)
      : m_keeper(keeper), m_id(id) {
    m_keeper.m_waiters[id] = &waiter;
  }
  ~WaiterScope() { m_keeper.m_waiters.erase(m_id); }
  WaiterScope(const WaiterScope&) = delete;
  WaiterScope& operator=(const WaiterScope&) = delete;

 private:
  RoomKeeper& m_keeper;
  const std::uint64_t m_id;
};

void RoomTicket::Reset() {
  if (m_keeper != nullptr)
    std::exchange(m_keeper, nullptr)->Release(*m_service);
}

ServiceRoomState& RoomKeeper::ForService(
    const steering::ServiceUpstreams& service,
    std::size_t sharers,
    MonoTime now) {
  ServiceRoomState& state = m_services[service.m_service.m_name];
  if (now - state.m_share_updated_at >= kShareUpdateInterval) {
    state.m_share_updated_at = now;
    state.m_room.SetFairShare(
        UsableSlotsOf(service, now) /
        static_cast<double>(std::max<std::size_t>(sharers, 1)));
  }
  return state;
}

overload::RoomDecision RoomKeeper::Ask(ServiceRoomState& service,
                                       const overload::RoomRequest& request,
                                       MonoTime now,
                                       RoomTicket* ticket) {
  const overload::RoomDecision decision = service.m_room.Ask(request, now);
  if (decision.m_answer == overload::RoomAnswer::kGo)
    *ticket = RoomTicket(*this, service);
  Wake(service);
  return decision;
}

asio::awaitable<WaitOutcome> RoomKeeper::Wait(
    net::HttpExchange& exchange,
    ServiceRoomState& service,
    const overload::RoomRequest& request,
    bool watches_caller,
    const std::function<bool()>& is_stopping,
    RoomTicket* ticket) {
  const MonoTime started = MonoClock::now();
  Waiter waiter{.m_timer = asio::steady_timer(m_executor), .m_answer = {}};
  bool is_caller_gone = watches_caller && exchange.IsCallerGone();
  const WaiterScope scope(*this, request.m_id, waiter);
  m_metrics.OnWaitStarted();
  if (watches_caller) {
    exchange.Watch([&] {
      is_caller_gone = true;
      waiter.m_timer.cancel();
    });
  }
  co_await Suspend(waiter, service, overload::LatestStart(request), is_stopping,
                   is_caller_gone);
  if (watches_caller)
    exchange.Unwatch();
  if (waiter.m_answer == overload::RoomAnswer::kGo)
    *ticket = RoomTicket(*this, service);
  if (is_caller_gone) {
    service.m_room.Withdraw(request.m_id);
    ticket->Reset();
    waiter.m_answer.reset();
  }
  m_metrics.OnWaitEnded(request.m_priority, waiter.m_answer,
                        MonoClock::now() - started);
  co_return waiter.m_answer;
}

asio::awaitable<void> RoomKeeper::Suspend(
    Waiter& waiter,
    ServiceRoomState& service,
    MonoTime latest_start,
    const std::function<bool()>& is_stopping,
    const bool& is_caller_gone) {
  while (!waiter.m_answer && !is_caller_gone) {
    waiter.m_timer.expires_after(std::clamp<std::chrono::nanoseconds>(
        latest_start - MonoClock::now(), std::chrono::milliseconds(1),
        kStopCheckInterval));
    boost::system::error_code error;
    co_await waiter.m_timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (waiter.m_answer || is_caller_gone)
      co_return;
    if (is_stopping())
      service.m_room.Stop();
    else
      service.m_room.Advance(MonoClock::now());
    Wake(service);
  }
}

void RoomKeeper::Release(ServiceRoomState& service) {
  service.m_room.Release(MonoClock::now());
  Wake(service);
}

void RoomKeeper::Wake(ServiceRoomState& service) {
  for (const overload::Woken& woken : service.m_room.TakeWoken()) {
    const auto found = m_waiters.find(woken.m_id);
    if (found == m_waiters.end())
      continue;
    found->second->m_answer = woken.m_answer;
    found->second->m_timer.cancel();
  }
}

}  // namespace jujube::entry
