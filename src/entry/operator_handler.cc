#include "entry/operator_handler.h"

#include <string_view>

#include <boost/json.hpp>

#include "entry/refusal.h"
#include "gen/status_json.h"
#include "net/bearer.h"
#include "net/http_fields.h"
#include "observe/metrics.h"

namespace jujube::entry {

namespace asio = boost::asio;

namespace {

asio::awaitable<void> RespondText(net::HttpExchange& exchange,
                                  std::string_view type,
                                  std::string body) {
  ResponseHead head;
  head.m_headers.push_back({"Content-Type", std::string(type)});
  co_await exchange.Respond(std::move(head), body);
}

}  // namespace

asio::awaitable<void> OperatorHandler::Handle(
    net::HttpExchange& exchange) const {
  const RequestHead& head = exchange.Head();
  const std::string_view path = net::TargetPath(head.m_target);
  if (path == "/healthz") {
    co_await RespondText(exchange, "text/plain", "ok\n");
    co_return;
  }
  if (path == "/ready") {
    const bool is_ready = m_is_ready();
    ResponseHead ready{.m_status =
                           static_cast<std::uint16_t>(is_ready ? 200 : 503)};
    co_await exchange.Respond(std::move(ready),
                              is_ready ? "ready\n" : "not ready\n");
    co_return;
  }
  Refusal refusal{.m_status = 401, .m_reason = "the operator key is required"};
  if (!net::HasBearerKey(head, m_key)) {
    co_await Refuse(exchange, refusal);
  } else if (path == "/metrics") {
    co_await RespondText(exchange, observe::kMetricsContentType,
                         observe::RenderMetrics());
  } else if (path == "/status") {
    co_await RespondText(exchange, "application/json",
                         boost::json::serialize(ToJson(m_get_status())));
  } else if (path == "/drain" && head.m_method == "POST") {
    m_start_drain();
    co_await RespondText(exchange, "text/plain", "planned stop started\n");
  } else {
    refusal = {.m_status = 404,
               .m_reason =
                   "unknown path or method; expected GET /healthz, /ready, "
                   "/metrics or /status, or POST /drain"};
    co_await Refuse(exchange, refusal);
  }
}

}  // namespace jujube::entry
