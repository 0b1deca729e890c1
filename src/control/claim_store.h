// Store of claims: allows at most one running attempt per idempotency key of a
// non-repeatable request.
//
// A key has the form "<issue time in Unix ms>-<random>". States of a key:
//
//   absent --Claim--> in progress --Finish(Ran)--> finished (stored answer)
//     ^                  |  |
//     |                  |  +--Finish(MayHaveRun), or the session of the
//     |                  |     claiming host ended
//     |                  |       --> may have run --Finish(Ran)--> finished
//     +--Finish(NotRun)--+
//
// "Finished" here means that the request ran; ClaimRecord::m_finished is also
// true after Finish(MayHaveRun).
//
// "May have run" never returns to absent. Finish() is accepted only from the
// attempt that holds the claim, identified by host, incarnation and attempt
// number. Without the attempt number, a delayed "not run" of an earlier attempt
// would release the key while a later attempt runs. A claim that its holder
// resends with the same attempt number is granted again, because the first
// reply may have been lost.
//
// Retention: a key issued before the horizon is answered with "may have run",
// whether or not a record of it exists. The horizon is the replicated time
// minus the retention. It never moves back, so an evicted key does not count as
// new after the retention is raised or a leader with a slow clock takes over.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control/host_registry.h"
#include "gen/claims.h"
#include "gen/control.h"
#include "gen/deployment.h"

namespace jujube::control {

// Maximum time by which an issue time may be ahead of the replicated time.
inline constexpr std::uint64_t kMaxCallerClockSkewMs =
    std::uint64_t{5} * 60 * 1000;

// Maximum total size of the stored answers. An answer that would exceed it is
// not stored, only its outcome is, so that the state fits into the memory of a
// small control host.
inline constexpr std::uint64_t kMaxTotalAnswerBytes =
    std::uint64_t{64} * 1024 * 1024;

// Issue time of a key in Unix milliseconds, or nullopt if the key is malformed.
std::optional<std::uint64_t> ParseIssueTimeMs(std::string_view key);

class ClaimStore {
 public:
  using Id = std::pair<ServiceId, std::string>;
  using Records = std::map<Id, ClaimRecord>;

  ClaimStore() = default;
  ClaimStore(std::vector<ClaimRecord> records, std::uint64_t horizon_ms);

  // Moves the horizon forward and evicts a bounded number of claims older than
  // it.
  void AdvanceHorizon(std::uint64_t now_ms, const ClaimLimits& limits);

  // `session` is the current session of the requesting host.
  ClaimReply Claim(const ClaimRequest& request,
                   std::uint64_t session,
                   const HostRegistry& hosts,
                   const ClaimLimits& limits,
                   std::uint64_t now_ms);

  ClaimFinishReply Finish(const ClaimFinish& finish,
                          const HostRegistry& hosts,
                          const ClaimLimits& limits);

  const Records& All() const { return m_records; }
  std::uint64_t HorizonMs() const { return m_horizon_ms; }
  std::uint64_t TotalAnswerBytes() const { return m_total_answer_bytes; }

  friend bool operator==(const ClaimStore&, const ClaimStore&) = default;

 private:
  void EraseRecord(Records::iterator it);
  void RecordOutcome(ClaimRecord& record,
                     const ClaimFinish& finish,
                     const ClaimLimits& limits);

  Records m_records;
  std::set<std::pair<std::uint64_t, Id>> m_by_issue_time;
  std::uint64_t m_horizon_ms = 0;
  std::uint64_t m_total_answer_bytes = 0;
};

}  // namespace jujube::control
