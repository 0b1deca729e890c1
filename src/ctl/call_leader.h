// CallLeader: sends a request to the leader of the control hosts.
//
//   HttpTransport transport;
//   const CallResult result = CallLeader(transport, cursor, request,
//                                        Resend::kSafe, timeout);
//
// Asks one control host after the other until an answer is final or the time
// is over. Follows the leader that an answer names.

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
  transport.SleepUntil(deadline);  // blocks in the kernel
};

struct CallResult {
  Judgement m_judgement;  // m_step is kFinish
  CallOutcome m_outcome;  // of the last attempt
  Endpoint m_host;        // host of the last attempt

  friend auto operator<=>(const CallResult&, const CallResult&) = default;
};

// An election takes about this long with the default election timeout.
inline constexpr std::chrono::milliseconds kRetryPause{200};
// A host that accepts connections and never answers takes at most this part of
// the time, so that the others are asked as well.
inline constexpr int kAttemptsInTimeout = 4;

// The deadline of one attempt. A request that must not be sent twice gets all
// of the time, since giving up on it early leaves its outcome unknown.
inline MonoTime AttemptDeadline(MonoTime now,
                                MonoTime deadline,
                                std::chrono::milliseconds timeout,
                                Resend resend) {
  if (resend == Resend::kUnsafe)
    return deadline;
  return std::min<MonoTime>(deadline, now + timeout / kAttemptsInTimeout);
}

template <Transport T>
CallResult CallLeader(T& transport,
                      HostCursor cursor,
                      const net::HttpRequest& request,
                      Resend resend,
                      std::chrono::milliseconds timeout) {
  const MonoTime deadline = transport.Now() + timeout;
  bool may_be_done = false;
  while (true) {
    CallResult result{.m_host = HostToAsk(cursor)};
    result.m_outcome = transport.Call(
        result.m_host, request,
        AttemptDeadline(transport.Now(), deadline, timeout, resend));
    result.m_judgement = Judge(result.m_outcome, resend);
    if (result.m_judgement.m_step == NextStep::kFinish)
      return result;
    may_be_done |= result.m_judgement.m_may_be_done;
    cursor = Advance(std::move(cursor), result.m_judgement.m_leader);
    const MonoTime next =
        transport.Now() +
        (HasToWait(cursor) ? kRetryPause : std::chrono::milliseconds(0));
    if (next >= deadline) {
      result.m_judgement.m_step = NextStep::kFinish;
      result.m_judgement.m_may_be_done = may_be_done;
      if (may_be_done)
        result.m_judgement.m_result = ExitCode::kUnknown;
      return result;
    }
    if (HasToWait(cursor))
      transport.SleepUntil(next);
  }
}

}  // namespace jujube::ctl
