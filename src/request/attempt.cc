#include "request/attempt.h"

namespace jujube::request {
namespace {

constexpr unsigned kFirstErrorStatus = 400;
constexpr unsigned kLastErrorStatus = 599;

AttemptState NextState(const Attempt& attempt, AttemptEvent event) {
  const AttemptState state = attempt.m_state;
  // An upstream may respond before the whole request is written.
  const bool is_awaiting_response =
      state == AttemptState::kWriting || state == AttemptState::kSent;
  switch (event) {
    case AttemptEvent::kSendStarted:
      return state == AttemptState::kNotSent ? AttemptState::kWriting : state;
    case AttemptEvent::kNothingWritten:
      return state == AttemptState::kWriting && !attempt.m_is_reused_connection
                 ? AttemptState::kNotSent
                 : state;
    case AttemptEvent::kSent:
      return state == AttemptState::kWriting ? AttemptState::kSent : state;
    case AttemptEvent::kResponseHead:
      return is_awaiting_response ? AttemptState::kReceivingResponse : state;
    case AttemptEvent::kResponseHeadNotStarted:
      return is_awaiting_response ? AttemptState::kNotStarted : state;
    case AttemptEvent::kResponseComplete:
      return state == AttemptState::kReceivingResponse
                 ? AttemptState::kResponseComplete
                 : state;
  }
  return state;
}

}  // namespace

Attempt ApplyEvent(const Attempt& attempt, AttemptEvent event) {
  return {.m_state = NextState(attempt, event),
          .m_is_reused_connection = attempt.m_is_reused_connection};
}

Verdict VerdictOf(const Attempt& attempt) {
  switch (attempt.m_state) {
    case AttemptState::kNotSent:
    case AttemptState::kNotStarted:
      return Verdict::kNotRun;
    case AttemptState::kResponseComplete:
      return Verdict::kRan;
    case AttemptState::kWriting:
    case AttemptState::kSent:
    case AttemptState::kReceivingResponse:
      break;
  }
  return Verdict::kMayHaveRun;
}

Verdict CombineVerdicts(Verdict earlier, Verdict later) {
  if (earlier == Verdict::kRan || later == Verdict::kRan)
    return Verdict::kRan;
  if (earlier == Verdict::kMayHaveRun || later == Verdict::kMayHaveRun)
    return Verdict::kMayHaveRun;
  return Verdict::kNotRun;
}

bool IsNotStarted(unsigned status, std::string_view started) {
  return started == "no" && status >= kFirstErrorStatus &&
         status <= kLastErrorStatus;
}

}  // namespace jujube::request
