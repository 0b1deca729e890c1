#include "ctl/retry_decision.h"

#include "core/json_document.h"
#include "gen/control_json.h"
#include "gen/control_status_json.h"

namespace jujube::ctl {

namespace {

// HTTP status codes of controld::OperatorApi.
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kContentTooLarge = 413;
constexpr std::uint16_t kNotLeader = 421;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kUnknownOutcome = 504;

ControlError ParseControlError(const CallOutcome& outcome) {
  const auto error = ParseDocument<ControlError>(outcome.m_body, "answer");
  if (error)
    return error.value();
  return {.m_error = "HTTP status " + std::to_string(outcome.m_status)};
}

RetryDecision MakeUnknownOutcome(RetrySafety retry_safety,
                                 std::string message) {
  return {.m_step = retry_safety == RetrySafety::kSafe ? NextStep::kNextHost
                                                       : NextStep::kFinish,
          .m_result = ExitCode::kUnknown,
          .m_message = std::move(message),
          .m_may_have_executed = true};
}

// The body of a 409 is an ApplyAnswer to an apply and a ControlError otherwise.
RetryDecision DecideOnConflict(const CallOutcome& outcome) {
  const auto answer = ParseDocument<ApplyAnswer>(outcome.m_body, "answer");
  if (!answer || answer.value().m_outcome == ApplyOutcome::kAccepted)
    return {.m_result = ExitCode::kRefused,
            .m_message = ParseControlError(outcome).m_error};
  if (answer.value().m_outcome == ApplyOutcome::kBaseChanged)
    return {.m_step = NextStep::kNextHost,
            .m_result = ExitCode::kConflict,
            .m_message = "other documents were accepted concurrently"};
  return {.m_result = ExitCode::kConflict};
}

RetryDecision DecideOnResponse(const CallOutcome& outcome,
                               RetrySafety retry_safety) {
  switch (outcome.m_status) {
    case kOk:
      return {};
    case kBadRequest:
    case kContentTooLarge:
      return {.m_result = ExitCode::kBadInput,
              .m_message = ParseControlError(outcome).m_error};
    case kUnauthorized:
      return {.m_result = ExitCode::kBadInput,
              .m_message =
                  "the control host rejected the key in --key_file; use its "
                  "operator_key_file"};
    case kConflict:
      return DecideOnConflict(outcome);
    case kNotLeader: {
      const ControlError error = ParseControlError(outcome);
      return {.m_step = NextStep::kNextHost,
              .m_result = ExitCode::kUnreachable,
              .m_message = error.m_leader
                               ? "not the leader"
                               : "not the leader, and no leader is known",
              .m_leader = error.m_leader};
    }
    case kUnavailable:
      return {.m_step = NextStep::kNextHost,
              .m_result = ExitCode::kRefused,
              .m_message = ParseControlError(outcome).m_error};
    case kUnknownOutcome:
      return MakeUnknownOutcome(retry_safety,
                                ParseControlError(outcome).m_error);
    default:
      return {.m_result = ExitCode::kRefused,
              .m_message = ParseControlError(outcome).m_error};
  }
}

}  // namespace

RetryDecision DecideRetry(const CallOutcome& outcome,
                          RetrySafety retry_safety) {
  switch (outcome.m_delivery) {
    case Delivery::kNotSent:
      return {.m_step = NextStep::kNextHost,
              .m_result = ExitCode::kUnreachable,
              .m_message = outcome.m_error};
    case Delivery::kNoResponse:
      return MakeUnknownOutcome(retry_safety, outcome.m_error);
    case Delivery::kResponseReceived:
      return DecideOnResponse(outcome, retry_safety);
  }
  return {};
}

}  // namespace jujube::ctl
