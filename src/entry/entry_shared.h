// EntryShared: what the threads of an entry daemon share.

#pragma once

#include <atomic>
#include <cstdint>

#include "core/clock.h"
#include "entry/serving_view.h"
#include "gen/settings.h"
#include "gen/types.h"
#include "observe/counter.h"
#include "observe/gauge.h"
#include "observe/span_exporter.h"
#include "rcu/cell.h"

namespace jujube::entry {

struct EntryShared {
  EntryShared(EntrySettings settings,
              std::uint64_t incarnation,
              ServingView first);

  const EntrySettings m_settings;
  const std::uint64_t m_incarnation;  // grows with each start of the daemon
  rcu::Cell<ServingView> m_view;      // published by the control thread
  // Last time at which no newer configuration was known to exist.
  std::atomic<MonoTime> m_current_at{MonoTime{}};
  std::atomic<std::uint32_t> m_in_progress = 0;   // requests being carried
  std::atomic<std::uint64_t> m_next_attempt = 1;  // numbers claims

  observe::SpanExporter m_spans;  // takes spans from any thread

  observe::Counter& m_lookups;
  observe::Counter& m_not_run;  // requests by verdict
  observe::Counter& m_ran;
  observe::Counter& m_may_have_run;
  observe::Gauge& m_in_progress_gauge;
};

}  // namespace jujube::entry
