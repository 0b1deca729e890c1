#include "entry/attempt_watch.h"

#include <utility>

namespace jujube::entry {
namespace {

// Short compared with the time limits of requests.
constexpr std::chrono::milliseconds kCheckInterval{100};

}  // namespace

AttemptWatch::Registration::Registration(
    AttemptWatch& watch,
    const steering::InstanceCounters& counters,
    std::function<void()> cancel)
    : m_watch(watch) {
  watch.m_pending_attempts.push_front(
      {.m_counters = counters, .m_cancel = std::move(cancel)});
  m_position = watch.m_pending_attempts.begin();
  watch.ScheduleCheck();
}

AttemptWatch::Registration::~Registration() {
  m_watch.m_pending_attempts.erase(m_position);
}

void AttemptWatch::ScheduleCheck() {
  if (m_is_scheduled)
    return;
  m_is_scheduled = true;
  m_timer.expires_after(kCheckInterval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    // The wait is cancelled by the destructor only; `this` is invalid then.
    if (error)
      return;
    m_is_scheduled = false;
    CancelAtReplacedInstances(MonoClock::now());
    if (!m_pending_attempts.empty())
      ScheduleCheck();
  });
}

void AttemptWatch::CancelAtReplacedInstances(MonoTime now) {
  for (const PendingAttempt& pending : m_pending_attempts) {
    if (pending.m_counters.IsReplaced(now))
      pending.m_cancel();
  }
}

}  // namespace jujube::entry
