// AttemptWatch: gives up attempts at instances that were set aside meanwhile.
//
// An instance that lost power answers nothing, and a request that waits for it
// would wait until its deadline. Another request that fails to connect reveals
// it; the attempts that wait there can then be made elsewhere.
//
//   const AttemptWatch::Entry entry(watch, counters, [&] { ...cancel... });
//   ...wait for the response; `cancel` may be called from the event loop...

#pragma once

#include <chrono>
#include <functional>
#include <list>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"
#include "steering/instance_counters.h"

namespace jujube::entry {

// One for each worker thread, and used on that thread only.
class AttemptWatch {
 public:
  explicit AttemptWatch(const boost::asio::any_io_executor& executor)
      : m_timer(executor) {}

  class Entry;

 private:
  struct Waiting {
    const steering::InstanceCounters& m_counters;
    std::function<void()> m_cancel;
  };

  void Schedule();
  void Check(MonoTime now);

  boost::asio::steady_timer m_timer;
  bool m_is_scheduled = false;
  std::list<Waiting> m_waiting;
};

// Watches an attempt as long as it exists. `counters` outlive it.
class AttemptWatch::Entry {
 public:
  Entry(AttemptWatch& watch,
        const steering::InstanceCounters& counters,
        std::function<void()> cancel);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

 private:
  AttemptWatch& m_watch;
  std::list<Waiting>::iterator m_place;
};

}  // namespace jujube::entry
