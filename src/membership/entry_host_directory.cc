#include "membership/entry_host_directory.h"

#include <algorithm>

#include "membership/known_sender.h"

namespace jujube::membership {
namespace {

// What the reports of one kind say of a host, combined.
struct CombinedState {
  EntryHostState m_state;  // of the newest incarnation
  bool m_is_leaving = false;
  bool m_is_ready = false;
};

// All reports of a host, by what they are worth.
struct Reports {
  bool m_is_reported = false;  // by a control host that is heard
  // Of control hosts that are heard and hear the host. Only these incarnations
  // are compared: a host whose clock was set back has a lower incarnation after
  // a restart, and control hosts that it has not reached may know the other
  // one.
  CombinedState m_live;
  CombinedState m_last_known;  // of the other control hosts
};

void Combine(CombinedState& combined, const EntryHostState& state) {
  if (state.m_incarnation < combined.m_state.m_incarnation || !state.m_live)
    return;
  if (state.m_incarnation > combined.m_state.m_incarnation)
    combined = {};
  combined.m_state = state;
  // A planned stop is final for an incarnation.
  combined.m_is_leaving |= state.m_leaving;
  combined.m_is_ready |= state.m_presence.m_ready;
}

bool IsUsable(const CombinedState& combined) {
  return combined.m_is_ready && !combined.m_is_leaving;
}

}  // namespace

bool EntryHostDirectory::IsHeard(const Reporter& reporter, MonoTime now) {
  return now - reporter.m_heard_at < kReporterTimeout;
}

bool EntryHostDirectory::IsConfirmationDue(MonoTime now) const {
  const bool is_in_contact =
      std::any_of(m_reporters.begin(), m_reporters.end(),
                  [&](const auto& item) { return IsHeard(item.second, now); });
  return is_in_contact && m_in_contact_since &&
         now - *m_in_contact_since >= kConfirmationTime;
}

void EntryHostDirectory::Prune(Reporter& reporter, MonoTime now) const {
  std::erase_if(reporter.m_reports, [&](const auto& item) {
    const Report& report = item.second;
    if (!report.m_is_current)
      return IsConfirmationDue(now);
    // A control host does not report that it has forgotten a silent host.
    return !report.m_state.m_live &&
           now - report.m_received_at > kReporterRetention;
  });
}

void EntryHostDirectory::OnReport(const HostId& reporter,
                                  std::uint64_t reporter_incarnation,
                                  const std::vector<EntryHostState>& states,
                                  MonoTime now) {
  const bool was_in_contact =
      std::any_of(m_reporters.begin(), m_reporters.end(),
                  [&](const auto& item) { return IsHeard(item.second, now); });
  if (!was_in_contact)
    m_in_contact_since = now;
  Reporter& sender = m_reporters[reporter];
  if (IsFromEarlierProcess({.m_incarnation = sender.m_incarnation,
                            .m_last_received = sender.m_heard_at,
                            .m_silence = kReporterTimeout},
                           reporter_incarnation, now))
    return;
  if (reporter_incarnation != sender.m_incarnation) {
    for (auto& [host, report] : sender.m_reports)
      report.m_is_current = false;
  }
  sender.m_incarnation = reporter_incarnation;
  sender.m_heard_at = now;
  for (const EntryHostState& state : states)
    sender.m_reports[state.m_host] = {.m_state = state, .m_received_at = now};
  Prune(sender, now);
  std::erase_if(m_reporters, [&](const auto& item) {
    return now - item.second.m_heard_at > kReporterRetention;
  });
}

std::vector<EntryHostState> EntryHostDirectory::UsableHosts(
    MonoTime now) const {
  std::map<HostId, Reports> reports_by_host;
  for (const auto& [name, reporter] : m_reporters) {
    const bool is_heard = IsHeard(reporter, now);
    for (const auto& [host, report] : reporter.m_reports) {
      Reports& reports = reports_by_host[host];
      const bool is_valid = is_heard && report.m_is_current;
      reports.m_is_reported |= is_valid;
      Combine(is_valid ? reports.m_live : reports.m_last_known, report.m_state);
    }
  }
  const bool is_confirmation_due = IsConfirmationDue(now);
  std::vector<EntryHostState> usable;
  for (const auto& [host, reports] : reports_by_host) {
    if (IsUsable(reports.m_live))
      usable.push_back(reports.m_live.m_state);
    else if (!reports.m_is_reported && !is_confirmation_due &&
             IsUsable(reports.m_last_known))
      usable.push_back(reports.m_last_known.m_state);
  }
  return usable;
}

}  // namespace jujube::membership
