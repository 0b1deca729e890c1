// CallOutcome: what came of sending a request to one control host.

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jujube::ctl {

enum class Delivery : std::uint8_t {
  kNotSent,   // no byte of the request left
  kNoAnswer,  // it was sent at least in part, and no whole answer arrived
  kAnswered,
};

struct CallOutcome {
  Delivery m_delivery = Delivery::kNotSent;
  std::uint16_t m_status = 0;  // HTTP status, if answered
  std::string m_body;          // body, if answered
  std::string m_error;         // what failed, if not answered

  friend auto operator<=>(const CallOutcome&, const CallOutcome&) = default;
};

}  // namespace jujube::ctl
