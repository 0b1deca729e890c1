// CallLeader: sends a request to the leader of the control hosts.
//
//   HttpTransport transport;
//   const CallResult result = CallLeader(transport, cursor, request,
//                                        RetrySafety::kSafe, timeout);
//
// Tries the control hosts in turn until the outcome of an attempt is final or
// the timeout has expired. If a response names the leader, the leader is tried
// next.

#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <string>
#include <utility>

#include "core/clock.h"
#include "ctl/call_outcome.h"
#include "ctl/host_cursor.h"
#include "ctl/retry_decision.h"
#include "net/http_call.h"

namespace jujube::ctl {

template <class T>
concept Transport = requires(T& transport,
                             const Endpoint& endpoint,
                             const net::HttpRequest& request,
                             MonoTime deadline) {
  { transport.Call(endpoint, request, deadline) } -> std::same_as<CallOutcome>;
  { transport.Now() } -> std::same_as<MonoTime>;
  transport.SleepUntil(deadline);  // blocks without spinning
};

struct CallResult {
  // Decision after the last attempt; m_step is kFinish. If the timeout has
  // expired, m_may_have_executed covers all attempts.
  RetryDecision m_decision;
  CallOutcome m_outcome;  // of the last attempt
  Endpoint m_host;        // host of the last attempt

  friend auto operator<=>(const CallResult&, const CallResult&) = default;
};

// Delay before each attempt once every host has been tried. About the duration
// of an election with the default election timeout.
inline constexpr std::chrono::milliseconds kRetryDelay{200};
// An attempt that is safe to retry gets 1 / kMinAttemptsPerTimeout of the
// timeout, so that a host that accepts connections but never responds leaves
// time for the other hosts.
inline constexpr int kMinAttemptsPerTimeout = 4;

// The deadline of one attempt. A request that is unsafe to retry gets the whole
// remaining time, since its outcome is unknown if the attempt times out.
inline MonoTime AttemptDeadline(MonoTime now,
                                MonoTime deadline,
                                std::chrono::milliseconds timeout,
                                RetrySafety retry_safety) {
  if (retry_safety == RetrySafety::kUnsafe)
    return deadline;
  return std::min<MonoTime>(deadline, now + timeout / kMinAttemptsPerTimeout);
}

// If the timeout expires, the result is kUnknown if any attempt may have been
// executed, else that of the last attempt.
template <Transport T>
CallResult CallLeader(T& transport,
                      HostCursor cursor,
                      const net::HttpRequest& request,
                      RetrySafety retry_safety,
                      std::chrono::milliseconds timeout) {
  const MonoTime deadline = transport.Now() + timeout;
  bool may_have_executed = false;
  while (true) {
    CallResult result{.m_host = CurrentHost(cursor)};
    result.m_outcome = transport.Call(
        result.m_host, request,
        AttemptDeadline(transport.Now(), deadline, timeout, retry_safety));
    result.m_decision = DecideRetry(result.m_outcome, retry_safety);
    if (result.m_decision.m_step == NextStep::kFinish)
      return result;
    may_have_executed |= result.m_decision.m_may_have_executed;
    cursor = Advance(std::move(cursor), result.m_decision.m_leader);
    const MonoTime next_attempt_time =
        transport.Now() +
        (NeedsRetryDelay(cursor) ? kRetryDelay : std::chrono::milliseconds(0));
    if (next_attempt_time >= deadline) {
      result.m_decision.m_step = NextStep::kFinish;
      result.m_decision.m_may_have_executed = may_have_executed;
      if (may_have_executed)
        result.m_decision.m_result = ExitCode::kUnknown;
      return result;
    }
    if (NeedsRetryDelay(cursor))
      transport.SleepUntil(next_attempt_time);
  }
}

}  // namespace jujube::ctl
