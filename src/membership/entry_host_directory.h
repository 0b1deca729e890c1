// EntryHostDirectory: the entry hosts that an entry host names to callers,
// learned from the reports of the control hosts.
//
//   directory.OnReport(sender, incarnation, states, now);  // each message
//   for (const EntryHostState& host : directory.UsableHosts(now)) ...
//
// A host is usable if it is ready, not leaving, and a control host that was
// heard lately hears it. While no control host is heard, the hosts that were
// usable last stay usable: they serve without control hosts. Once control hosts
// are heard again, a host that none of them reports is dropped after
// kConfirmationTime, since it may have died meanwhile.
//
// Not thread-safe.

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "gen/membership.h"

namespace jujube::membership {

// A control host that is silent for longer counts as not heard: three messages
// at its interval of 500 ms, and a margin.
inline constexpr std::chrono::milliseconds kReporterTimeout{1700};

// Entry hosts reconnect to a restarted control host and announce themselves to
// it within this time.
inline constexpr std::chrono::milliseconds kConfirmationTime{2500};

// A control host or an entry host that is silent for longer is forgotten.
inline constexpr std::chrono::milliseconds kReporterRetention{60000};

class EntryHostDirectory {
 public:
  // `states` are those that changed since the previous message of the reporter.
  void OnReport(const HostId& reporter,
                std::uint64_t reporter_incarnation,
                const std::vector<EntryHostState>& states,
                MonoTime now);

  // In the order of their names.
  std::vector<EntryHostState> UsableHosts(MonoTime now) const;

 private:
  // What a control host reported of an entry host.
  struct Report {
    EntryHostState m_state;
    MonoTime m_received_at;
    // False once the control host has restarted: it does not know the host then
    // unless it reports it again.
    bool m_is_current = true;
  };
  struct Reporter {
    std::uint64_t m_incarnation = 0;
    MonoTime m_heard_at;
    std::map<HostId, Report> m_reports;
  };

  static bool IsHeard(const Reporter& reporter, MonoTime now);
  bool IsConfirmationDue(MonoTime now) const;
  void Prune(Reporter& reporter, MonoTime now) const;

  std::map<HostId, Reporter> m_reporters;
  // Start of the current span in which some control host was always heard.
  std::optional<MonoTime> m_in_contact_since;
};

}  // namespace jujube::membership
