#include "entry/attempt_watch.h"

#include <utility>

namespace jujube::entry {
namespace {

// Twice the interval at which failing instances are looked for.
constexpr std::chrono::milliseconds kInterval{100};

}  // namespace

AttemptWatch::Entry::Entry(AttemptWatch& watch,
                           const steering::InstanceCounters& counters,
                           std::function<void()> cancel)
    : m_watch(watch) {
  watch.m_waiting.push_front(
      {.m_counters = counters, .m_cancel = std::move(cancel)});
  m_place = watch.m_waiting.begin();
  watch.Schedule();
}

AttemptWatch::Entry::~Entry() {
  m_watch.m_waiting.erase(m_place);
}

void AttemptWatch::Schedule() {
  if (m_is_scheduled)
    return;
  m_is_scheduled = true;
  m_timer.expires_after(kInterval);
  m_timer.async_wait([this](const boost::system::error_code& error) {
    // The watch is gone if the wait was cancelled.
    if (error)
      return;
    m_is_scheduled = false;
    Check(MonoClock::now());
    if (!m_waiting.empty())
      Schedule();
  });
}

void AttemptWatch::Check(MonoTime now) {
  for (const Waiting& waiting : m_waiting) {
    if (waiting.m_counters.IsSetAside(now))
      waiting.m_cancel();
  }
}

}  // namespace jujube::entry
