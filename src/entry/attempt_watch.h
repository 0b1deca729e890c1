// AttemptWatch: cancels pending attempts at instances that have been replaced.
//
// The machine of an instance that lost power sends no response and no reset, so
// a pending attempt would wait until its deadline. Once another instance
// responds at the address, the pending attempts are cancelled and can be made
// elsewhere.
//
// The ejection of an instance cancels nothing: it follows from other requests,
// and connects also time out on a busy link or at a full instance that works on
// what it has.
//
//   const AttemptWatch::Registration registration(
//       watch, counters, [&] { connection.Close(); });
//   co_await connection.ReadHead();  // the callback runs in the event loop

#pragma once

#include <chrono>
#include <functional>
#include <list>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "steering/instance_counters.h"

namespace jujube::entry {

// One per worker thread; not thread-safe.
class AttemptWatch {
 public:
  explicit AttemptWatch(const boost::asio::any_io_executor& executor)
      : m_timer(executor) {}

  class Registration;

 private:
  struct PendingAttempt {
    const steering::InstanceCounters& m_counters;
    std::function<void()> m_cancel;
  };

  void ScheduleCheck();
  void CancelAtReplacedInstances(MonoTime now);

  boost::asio::steady_timer m_timer;
  bool m_is_scheduled = false;
  std::list<PendingAttempt> m_pending_attempts;
};

// Watches an attempt during its lifetime. `counters` must outlive it.
class AttemptWatch::Registration {
 public:
  Registration(AttemptWatch& watch,
               const steering::InstanceCounters& counters,
               std::function<void()> cancel);
  ~Registration();
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

 private:
  AttemptWatch& m_watch;
  std::list<PendingAttempt>::iterator m_position;
};

}  // namespace jujube::entry
