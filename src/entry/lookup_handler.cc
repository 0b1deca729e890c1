#include "entry/lookup_handler.h"

#include <boost/json.hpp>

#include "entry/refusal.h"
#include "gen/lookup_json.h"
#include "lookup/address.h"
#include "net/http_fields.h"

namespace jujube::entry {

namespace asio = boost::asio;

bool LookupHandler::Matches(const RequestHead& head) {
  return net::TargetPath(head.m_target) == "/lookup";
}

Result<LookupAnswer> LookupHandler::ComputeAnswer(
    net::HttpExchange& exchange) const {
  const std::string& target = exchange.Head().m_target;
  const auto service = net::QueryParameter(target, "service");
  if (!service) {
    return MakeError(ErrorCode::kInvalidInput,
                     "missing query parameter service; expected "
                     "/lookup?service=NAME[&caller=IP]");
  }
  const std::string caller =
      net::QueryParameter(target, "caller").value_or(exchange.RemoteAddress());
  JUJUBE_TRY(const lookup::IpAddress address, lookup::ParseAddress(caller));
  const rcu::ReadSection section;
  const lookup::Table& table = *m_shared.m_view.Read(section).m_lookup;
  if (!table.HasService({*service})) {
    return MakeError(ErrorCode::kNotFound, "there is no service " + *service);
  }
  return table.Find({*service}, address);
}

asio::awaitable<void> LookupHandler::Handle(net::HttpExchange& exchange) {
  const Result<LookupAnswer> answer = ComputeAnswer(exchange);
  if (!answer) {
    const Refusal refusal{.m_status = StatusOf(answer.error().m_code),
                          .m_reason = answer.error().m_message};
    co_await Refuse(exchange, refusal);
    co_return;
  }
  m_shared.m_lookups.Add();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      answer.value().m_lifetime);
  ResponseHead head;
  head.m_headers.push_back({"Content-Type", "application/json"});
  head.m_headers.push_back(
      {"Cache-Control", "max-age=" + std::to_string(seconds.count())});
  const std::string body = boost::json::serialize(ToJson(answer.value()));
  co_await exchange.Respond(std::move(head), body);
}

}  // namespace jujube::entry
