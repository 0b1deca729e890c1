// Attempt: how far one attempt of a request got at one upstream, and with it
// whether the request may have run.
//
// The front end creates a value for each attempt and replaces it on each event.
// It reports an event before it acts: kSendStarted before the first write call.
//
//   Attempt attempt{.m_is_reused_connection = pooled};
//   attempt = Next(attempt, AttemptEvent::kSendStarted);
//   ...write...
//   attempt = Next(attempt, AttemptEvent::kSent);
//   VerdictOf(attempt);  // kMayHaveRun until a whole answer arrived
//
// On a failure, Decide (request/failure_decision.h) says what to do. Events
// that do not fit the state, such as a head after the end, leave it unchanged,
// so a late callback cannot weaken a verdict.

#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "gen/types.h"

namespace jujube::request {

enum class AttemptState : std::uint8_t {
  kWaiting,     // no connection yet, or an idle one: no byte was written
  kSending,     // a write call was made
  kSent,        // the whole request was written
  kAnswering,   // the answer's head arrived and says nothing about the start
  kNotStarted,  // the answer's head says that the request was not started
  kAnswered,    // the whole answer arrived
};

enum class AttemptEvent : std::uint8_t {
  kSendStarted,     // about to call write for the first time
  kNothingWritten,  // the first write failed and took over no byte
  kSent,            // the last byte was written
  kHead,            // the answer's head arrived
  kHeadNotStarted,  // as kHead, and SaysNotStarted is true for it
  kAnswerEnd,       // the last byte of the answer arrived
};

struct Attempt {
  AttemptState m_state = AttemptState::kWaiting;
  bool m_is_reused_connection = false;  // carried a request before

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

// State after the event. kNothingWritten returns to kWaiting on a new
// connection only: an idle connection that the upstream closes may have lost a
// request that the kernel accepted.
Attempt Next(const Attempt& attempt, AttemptEvent event);

// Whether the request may have run in this attempt.
Verdict VerdictOf(const Attempt& attempt);

// Verdict of a request after several attempts: not run only if no attempt may
// have run it, ran if one of them did.
Verdict Combine(Verdict earlier, Verdict later);

// Whether an answer's head states that the request was not started. `started`
// is the value of Jujube-Started, empty if absent. With a status below 400 the
// head contradicts itself and is not believed.
bool SaysNotStarted(unsigned status, std::string_view started);

}  // namespace jujube::request
