// Judgement: what a client does after one attempt at a control host.

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
  kNextHost  // ask the leader if one was named, else the next control host
};

// Whether a request may be sent again after an attempt without an answer.
enum class Resend : std::uint8_t {
  kSafe,    // a read, or a document, which is answered as the first time
  kUnsafe,  // a second run could undo what another operator did in between
};

struct Judgement {
  NextStep m_step = NextStep::kFinish;
  ExitCode m_result = ExitCode::kDone;  // if no later attempt says otherwise
  std::string m_message;                // what is wrong
  std::optional<Endpoint> m_leader;     // whom to ask next, if it was named
  bool m_may_be_done = false;           // the request may have been carried out

  friend auto operator<=>(const Judgement&, const Judgement&) = default;
};

Judgement Judge(const CallOutcome& outcome, Resend resend);

}  // namespace jujube::ctl
