#include "ctl/retry_decision.h"

#include "core/json_document.h"
#include "gen/control_json.h"
#include "gen/control_status_json.h"

namespace jujube::ctl {

namespace {

// Statuses of controld::OperatorApi.
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kKeyRequired = 401;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kTooLarge = 413;
constexpr std::uint16_t kNotTheLeader = 421;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kUnknownOutcome = 504;

ControlError ErrorOf(const CallOutcome& outcome) {
  const auto error = ParseDocument<ControlError>(outcome.m_body, "answer");
  if (error)
    return error.value();
  return {.m_error = "HTTP status " + std::to_string(outcome.m_status)};
}

Judgement Undecided(Resend resend, std::string message) {
  return {.m_step =
              resend == Resend::kSafe ? NextStep::kNextHost : NextStep::kFinish,
          .m_result = ExitCode::kUnknown,
          .m_message = std::move(message),
          .m_may_be_done = true};
}

// 409 carries an ApplyAnswer for a document and a ControlError otherwise.
Judgement JudgeConflict(const CallOutcome& outcome) {
  const auto answer = ParseDocument<ApplyAnswer>(outcome.m_body, "answer");
  if (!answer || answer.value().m_outcome == ApplyOutcome::kAccepted)
    return {.m_result = ExitCode::kRefused,
            .m_message = ErrorOf(outcome).m_error};
  if (answer.value().m_outcome == ApplyOutcome::kBaseChanged)
    return {.m_step = NextStep::kNextHost,
            .m_result = ExitCode::kConflict,
            .m_message = "other documents were accepted at the same time"};
  return {.m_result = ExitCode::kConflict};
}

Judgement JudgeAnswer(const CallOutcome& outcome, Resend resend) {
  switch (outcome.m_status) {
    case kOk:
      return {};
    case kBadRequest:
    case kTooLarge:
      return {.m_result = ExitCode::kBadInput,
              .m_message = ErrorOf(outcome).m_error};
    case kKeyRequired:
      return {.m_result = ExitCode::kBadInput,
              .m_message =
                  "the control host does not accept the key of "
                  "--key_file; use its operator_key_file"};
    case kConflict:
      return JudgeConflict(outcome);
    case kNotTheLeader: {
      const ControlError error = ErrorOf(outcome);
      return {.m_step = NextStep::kNextHost,
              .m_result = ExitCode::kUnreachable,
              .m_message =
                  error.m_leader ? "it does not lead" : "it knows no leader",
              .m_leader = error.m_leader};
    }
    case kUnavailable:
      return {.m_step = NextStep::kNextHost,
              .m_result = ExitCode::kRefused,
              .m_message = ErrorOf(outcome).m_error};
    case kUnknownOutcome:
      return Undecided(resend, ErrorOf(outcome).m_error);
    default:
      return {.m_result = ExitCode::kRefused,
              .m_message = ErrorOf(outcome).m_error};
  }
}

}  // namespace

Judgement Judge(const CallOutcome& outcome, Resend resend) {
  switch (outcome.m_delivery) {
    case Delivery::kNotSent:
      return {.m_step = NextStep::kNextHost,
              .m_result = ExitCode::kUnreachable,
              .m_message = outcome.m_error};
    case Delivery::kNoAnswer:
      return Undecided(resend, outcome.m_error);
    case Delivery::kAnswered:
      return JudgeAnswer(outcome, resend);
  }
  return {};
}

}  // namespace jujube::ctl
