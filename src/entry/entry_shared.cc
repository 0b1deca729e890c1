#include "entry/entry_shared.h"

#include <memory>
#include <utility>

#include "entry/refusal.h"
#include "observe/metrics.h"

namespace jujube::entry {

EntryShared::EntryShared(EntrySettings settings,
                         std::uint64_t incarnation,
                         ServingView initial_view)
    : m_settings(std::move(settings)),
      m_incarnation(incarnation),
      m_view(std::make_unique<const ServingView>(std::move(initial_view))),
      m_entry_host_lists(std::make_unique<const lookup::EntryHostLists>()),
      m_body_bytes(std::make_shared<limits::LimitCell>()),
      m_link(m_settings.m_link_kbit_s),
      m_spans(m_settings.m_trace, m_settings.m_host.m_value),
      m_lookups(observe::CounterOf(Metric::kLookups)),
      m_not_run(
          observe::CounterOf(Metric::kRequests, VerdictText(Verdict::kNotRun))),
      m_ran(observe::CounterOf(Metric::kRequests, VerdictText(Verdict::kRan))),
      m_may_have_run(observe::CounterOf(Metric::kRequests,
                                        VerdictText(Verdict::kMayHaveRun))),
      m_in_progress_gauge(observe::GaugeOf(Metric::kInProgress)) {
  m_link.SetActive(false);
  m_body_bytes->Adopt({.m_safe = m_settings.m_body_bytes});
}

}  // namespace jujube::entry
