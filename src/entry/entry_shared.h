// EntryShared: state shared by the threads of an entry daemon.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

#include "core/clock.h"
#include "entry/serving_view.h"
#include "gen/settings.h"
#include "gen/types.h"
#include "limits/host_link.h"
#include "limits/limit_cell.h"
#include "lookup/entry_host_lists.h"
#include "observe/counter.h"
#include "observe/gauge.h"
#include "observe/span_exporter.h"
#include "rcu/cell.h"

namespace jujube::entry {

// The feed confirms every 500 ms that the configuration is the newest. If the
// last confirmation is older than this, an unknown path gets 503 instead of
// 404, because its route may have been added meanwhile, and a host that has
// just started serves no route yet. Changes must be in force within 2 s.
inline constexpr std::chrono::milliseconds kMaxConfigAge{1700};

struct EntryShared {
  EntryShared(EntrySettings settings,
              std::uint64_t incarnation,
              ServingView initial_view);

  const EntrySettings m_settings;
  const std::uint64_t m_incarnation;  // increases with each start
  rcu::Cell<ServingView> m_view;      // published by the control thread
  // Entry hosts for callers. Apart from the view, because they change without
  // it and building a view is expensive. Published by the control thread.
  rcu::Cell<lookup::EntryHostLists> m_entry_host_lists;
  // Last time at which the configuration was confirmed to be the newest.
  std::atomic<MonoTime> m_config_confirmed_at{MonoTime{}};
  // End of the lease for requests with keys (tenants/key_lease.h).
  std::atomic<MonoTime> m_key_lease_end{MonoTime{}};
  // The document in force has overload control.
  std::atomic<bool> m_controls_overload = false;
  std::atomic<std::uint32_t> m_in_progress = 0;  // requests on this host
  // Usable slots of all services. Not part of the view, because ejections and
  // pauses of instances end without a new view.
  std::atomic<std::uint32_t> m_host_cap = 0;
  // Memory for request bodies of all worker threads (EntrySettings).
  const std::shared_ptr<limits::LimitCell> m_body_bytes;
  limits::HostLink m_link;  // of this host (EntrySettings)
  // Entry hosts of the deployment, for bounds that all of them share.
  std::atomic<std::uint32_t> m_entry_hosts = 1;
  std::atomic<std::uint64_t> m_next_claim_attempt = 1;  // numbers claims

  observe::SpanExporter m_spans;  // thread-safe

  observe::Counter& m_lookups;
  // Requests by verdict.
  observe::Counter& m_not_run;
  observe::Counter& m_ran;
  observe::Counter& m_may_have_run;
  observe::Gauge& m_in_progress_gauge;
};

}  // namespace jujube::entry
