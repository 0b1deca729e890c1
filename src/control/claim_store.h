// Claims of non-repeatable requests: at most one attempt of a key may run.
//
// A key is "<issued unix ms>-<random>". Its life:
//
//   absent --Claim--> in progress --Finish(Ran)--> finished (stored answer)
//     ^                  |  |
//     |                  |  +--Finish(MayHaveRun), or the session of its holder
//     |                  |     ended--> may have run --Finish(Ran)--> finished
//     +--Finish(NotRun)--+
//
// "May have run" never goes back to absent. A Finish counts only if it comes
// from the attempt that holds the claim: host, incarnation and attempt number.
// Without the attempt number a delayed "not run" of an earlier attempt would
// free the key under a later one. A claim that is sent again by its holder with
// the same attempt is granted again (its reply was lost).
//
// Retention: keys issued before the horizon are answered with "may have run",
// whether they are known or not. The horizon is replicated time less the
// retention. It never moves back, so a longer retention or a leader with a slow
// clock does not make forgotten keys new again.

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

// Clocks of callers may be ahead of replicated time by this much.
inline constexpr std::uint64_t kMaxFutureMs = std::uint64_t{5} * 60 * 1000;

// Bound of all stored answers. Beyond it an outcome is kept without its answer,
// so that the state fits into the memory of a small control host.
inline constexpr std::uint64_t kMaxAnswerBytes =
    std::uint64_t{64} * 1024 * 1024;

// Time of issue of a key in Unix milliseconds, or nothing if it is malformed.
std::optional<std::uint64_t> IssueTime(std::string_view key);

class ClaimStore {
 public:
  using Id = std::pair<ServiceId, std::string>;
  using Records = std::map<Id, ClaimRecord>;

  ClaimStore() = default;
  ClaimStore(std::vector<ClaimRecord> records, std::uint64_t horizon);

  // Moves the horizon and forgets a bounded number of old claims.
  void Advance(std::uint64_t now, const ClaimLimits& limits);

  // `session` is the one in which the sender is registered.
  ClaimReply Claim(const ClaimRequest& request,
                   std::uint64_t session,
                   const HostRegistry& hosts,
                   const ClaimLimits& limits,
                   std::uint64_t now);

  ClaimFinishReply Finish(const ClaimFinish& finish,
                          const HostRegistry& hosts,
                          const ClaimLimits& limits);

  const Records& All() const { return m_records; }
  std::uint64_t Horizon() const { return m_horizon; }
  std::uint64_t AnswerBytes() const { return m_answer_bytes; }

  friend bool operator==(const ClaimStore&, const ClaimStore&) = default;

 private:
  void Erase(Records::iterator at);
  void Store(ClaimRecord& record,
             const ClaimFinish& finish,
             const ClaimLimits& limits);

  Records m_records;
  std::set<std::pair<std::uint64_t, Id>> m_by_issue_time;
  std::uint64_t m_horizon = 0;
  std::uint64_t m_answer_bytes = 0;
};

}  // namespace jujube::control
