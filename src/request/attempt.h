// Attempt: progress of one attempt to send a request to one upstream, from
// which follows whether the upstream may have run the request.
//
// The front end creates a value for each attempt and replaces it on each event.
// It reports each event before acting on it, and kSendStarted before the first
// write call.
//
//   Attempt attempt{.m_is_reused_connection = is_from_pool};
//   attempt = ApplyEvent(attempt, AttemptEvent::kSendStarted);
//   ...write...
//   attempt = ApplyEvent(attempt, AttemptEvent::kSent);
//   VerdictOf(attempt);  // kMayHaveRun until the response is complete
//
// When an attempt fails, DecideOnFailure (request/failure_decision.h) chooses
// what to do next. An event that is not valid in the current state, such as a
// response head after the end of the response, is ignored, so a late callback
// cannot weaken a verdict.

#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "gen/types.h"

namespace jujube::request {

enum class AttemptState : std::uint8_t {
  kNotSent,            // no byte written, with or without a connection
  kWriting,            // from just before the first write call
  kSent,               // the whole request was written
  kReceivingResponse,  // a response head arrived: kResponseHead
  kNotStarted,         // a refusal arrived: kResponseHeadNotStarted
  kResponseComplete,   // the whole response arrived
};

enum class AttemptEvent : std::uint8_t {
  kSendStarted,     // about to call write for the first time
  kNothingWritten,  // the first write failed before the kernel took any byte
  kSent,            // the last byte of the request was written
  kResponseHead,    // a response head arrived
  kResponseHeadNotStarted,  // as kResponseHead, and IsNotStarted is true
  kResponseComplete,        // the last byte of the response arrived
};

struct Attempt {
  AttemptState m_state = AttemptState::kNotSent;
  bool m_is_reused_connection = false;  // carried an earlier request

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

// Returns the attempt after the event. kNothingWritten leads back to kNotSent
// on a new connection only: a reused one may fail because the upstream closed
// it after the kernel had accepted the request, so it stays kMayHaveRun.
Attempt ApplyEvent(const Attempt& attempt, AttemptEvent event);

// Whether the request may have run in this attempt.
Verdict VerdictOf(const Attempt& attempt);

// Combined verdict of several attempts of a request: kRan if any attempt ran
// it, else kMayHaveRun if any attempt may have run it, else kNotRun.
Verdict CombineVerdicts(Verdict earlier, Verdict later);

// Whether a response head states that the request was not started. `started` is
// the value of Jujube-Started, empty if absent. Only error statuses (400 to
// 599) are accepted: any other status contradicts the header.
bool IsNotStarted(unsigned status, std::string_view started);

}  // namespace jujube::request
