// RetryDecision: what the client does after one attempt at a control host.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "ctl/call_outcome.h"
#include "gen/ctl.h"

namespace jujube::ctl {

enum class NextStep : std::uint8_t {
  kFinish,   // the outcome is final
  kNextHost  // try the leader if one was named, else the next control host
};

// Whether a request may be sent again if its outcome is unknown.
enum class RetrySafety : std::uint8_t {
  kSafe,    // a read, or an apply, which is idempotent
  kUnsafe,  // a second execution could undo a change that another operator made
            // in between
};

struct RetryDecision {
  NextStep m_step = NextStep::kFinish;
  ExitCode m_result = ExitCode::kDone;  // final unless another attempt follows
  std::string m_message;                // cause of the failure
  std::optional<Endpoint> m_leader;     // named by the host, if known
  bool m_may_have_executed = false;     // the request may have been executed

  friend auto operator<=>(const RetryDecision&, const RetryDecision&) = default;
};

// With kUnsafe, another attempt follows only if the request was certainly not
// executed.
RetryDecision DecideRetry(const CallOutcome& outcome, RetrySafety retry_safety);

}  // namespace jujube::ctl
