// RoomKeeper: connects the decisions of src/overload to the requests of one
// worker thread.
//
//   RoomAnswer answer = keeper.Ask(service, request, now, &ticket);
//   if (answer.m_answer == overload::RoomAnswer::kWait)
//     outcome = co_await keeper.Wait(exchange, service, request, ...);
//
// A request that waits suspends on a timer that ends with its latest start.
// The end of another request, which gives its room back, cancels the timer.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "entry/room_metrics.h"
#include "entry/room_ticket.h"
#include "gen/instance_report.h"
#include "overload/repeat_filter.h"
#include "overload/return_delay.h"
#include "overload/service_room.h"
#include "overload/wait_by_rank.h"
#include "steering/service_upstreams.h"

namespace jujube::net {
class HttpExchange;
}

namespace jujube::entry {

struct ServiceRoomState {
  overload::ServiceRoom<overload::WaitByRank> m_room;
  MonoTime m_share_updated_at{};
};

// How a wait ended: an answer of the queue, or empty if the caller left.
using WaitOutcome = std::optional<overload::RoomAnswer>;

// Not thread-safe.
class RoomKeeper {
 public:
  explicit RoomKeeper(const boost::asio::any_io_executor& executor)
      : m_executor(executor) {}

  // State of a service of the deployment. Stays valid. `sharers` is the number
  // of threads at all entry hosts.
  ServiceRoomState& ForService(const steering::ServiceUpstreams& service,
                               std::size_t sharers,
                               MonoTime now);

  std::uint64_t NextId() { return ++m_last_id; }

  // With kGo, `ticket` holds the room. With kWait, Wait has to follow at once.
  overload::RoomDecision Ask(ServiceRoomState& service,
                             const overload::RoomRequest& request,
                             MonoTime now,
                             RoomTicket* ticket);

  // Suspends until there is room or the request has to be refused. If
  // `watches_caller`, also until the caller closes its connection; its request
  // body must have been read. `is_stopping` is asked now and then.
  boost::asio::awaitable<WaitOutcome> Wait(
      net::HttpExchange& exchange,
      ServiceRoomState& service,
      const overload::RoomRequest& request,
      bool watches_caller,
      const std::function<bool()>& is_stopping,
      RoomTicket* ticket);

  // `key` identifies the caller and what it requested.
  void RecordRefusal(std::uint64_t key, MonoTime not_before) {
    m_repeats.OnRefused(key, not_before);
  }
  bool IsEarlyRepeat(std::uint64_t key, MonoTime now) const {
    return m_repeats.IsEarly(key, now);
  }

 private:
  friend class RoomTicket;

  struct Waiter {
    boost::asio::steady_timer m_timer;
    WaitOutcome m_answer;
  };
  class WaiterScope;

  void Release(ServiceRoomState& service);
  void Wake(ServiceRoomState& service);
  boost::asio::awaitable<void> Suspend(Waiter& waiter,
                                       ServiceRoomState& service,
                                       MonoTime latest_start,
                                       const std::function<bool()>& is_stopping,
                                       const bool& is_caller_gone);

  const boost::asio::any_io_executor m_executor;
  std::map<ServiceId, ServiceRoomState> m_services;
  std::map<std::uint64_t, Waiter*> m_waiters;  // by the id of the request
  overload::RepeatFilter m_repeats;
  RoomMetrics m_metrics;
  std::uint64_t m_last_id = 0;
};

}  // namespace jujube::entry
