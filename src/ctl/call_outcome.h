// CallOutcome: the result of one HTTP call to a control host.

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace jujube::ctl {

enum class Delivery : std::uint8_t {
  kNotSent,     // no connection, so the request was not sent
  kNoResponse,  // connected, so the request may have been sent; no complete
                // response arrived
  kResponseReceived,
};

struct CallOutcome {
  Delivery m_delivery = Delivery::kNotSent;
  std::uint16_t m_status = 0;  // HTTP status, with kResponseReceived
  std::string m_body;          // response body, with kResponseReceived
  std::string m_error;         // cause of the failure, without a response

  friend auto operator<=>(const CallOutcome&, const CallOutcome&) = default;
};

}  // namespace jujube::ctl
