// Refusal: a response that the entry host gives in place of an upstream.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "core/result.h"
#include "gen/http.h"

namespace jujube::net {
class HttpExchange;
}

namespace jujube::entry {

struct Refusal {
  std::uint16_t m_status = 503;
  Verdict m_verdict = Verdict::kNotRun;
  std::string m_reason;
  std::chrono::milliseconds m_retry_after{0};  // zero: no such field

  friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

// Value of Jujube-Verdict: not-run, ran or may-have-run.
std::string_view VerdictText(Verdict verdict);

// Head and body of the response.
ResponseHead RefusalHead(const Refusal& refusal);
std::string RefusalText(const Refusal& refusal);

// Status code for an error of a request that did not run.
std::uint16_t StatusOf(ErrorCode code);

boost::asio::awaitable<void> Refuse(net::HttpExchange& exchange,
                                    Refusal refusal);

}  // namespace jujube::entry
