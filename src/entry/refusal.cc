#include "entry/refusal.h"

#include <utility>

#include <boost/json.hpp>

#include "gen/http_json.h"
#include "net/http_exchange.h"

namespace jujube::entry {

std::string_view VerdictText(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kRan:
      return "ran";
    case Verdict::kMayHaveRun:
      return "may-have-run";
  }
  return "may-have-run";
}

ResponseHead RefusalHead(const Refusal& refusal) {
  ResponseHead head{.m_status = refusal.m_status};
  head.m_headers = {
      {"Content-Type", "application/json"},
      {"Jujube-Verdict", std::string(VerdictText(refusal.m_verdict))}};
  if (refusal.m_retry_after > std::chrono::milliseconds::zero()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.m_retry_after);
    head.m_headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  return head;
}

std::string RefusalText(const Refusal& refusal) {
  const RefusalBody body{.m_error = refusal.m_reason,
                         .m_verdict = refusal.m_verdict};
  return boost::json::serialize(ToJson(body)) + "\n";
}

std::uint16_t StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidInput:
      return 400;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kRefused:
      return 401;
    case ErrorCode::kTimeout:
      return 504;
    default:
      return 503;
  }
}

boost::asio::awaitable<void> Refuse(net::HttpExchange& exchange,
                                    Refusal refusal) {
  const std::string body = RefusalText(refusal);
  co_await exchange.Respond(RefusalHead(refusal), body);
}

}  // namespace jujube::entry
