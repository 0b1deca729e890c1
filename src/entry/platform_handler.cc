#include "entry/platform_handler.h"

#include "core/json_document.h"
#include "entry/refusal.h"
#include "gen/membership_json.h"
#include "net/bearer.h"
#include "observe/log.h"

namespace jujube::entry {

namespace {

constexpr std::size_t kMaxAnnouncementBytes = 16384;

}  // namespace

boost::asio::awaitable<void> PlatformHandler::Handle(
    net::HttpExchange& exchange) const {
  const RequestHead& head = exchange.Head();
  Refusal refusal;
  if (head.m_method != "POST" || head.m_target != "/announce") {
    refusal = {.m_status = 404,
               .m_reason = "unknown path or method; expected POST /announce"};
    co_await Refuse(exchange, refusal);
    co_return;
  }
  if (!net::HasBearerKey(head, m_key)) {
    observe::Log(
        LogEvent::kAnnouncementRefused,
        {{"sender", exchange.RemoteAddress()}, {"error", "wrong key"}});
    refusal = {.m_status = 401, .m_reason = "the platform key is required"};
    co_await Refuse(exchange, refusal);
    co_return;
  }
  Result<std::string> body = co_await exchange.ReadAll(kMaxAnnouncementBytes);
  if (!body)
    co_return;
  const Result<Announcement> announcement =
      ParseDocument<Announcement>(body.value(), "announcement");
  if (!announcement) {
    observe::Log(LogEvent::kAnnouncementRefused,
                 {{"sender", exchange.RemoteAddress()},
                  {"error", announcement.error().m_message}});
    refusal = {.m_status = 400, .m_reason = announcement.error().m_message};
    co_await Refuse(exchange, refusal);
    co_return;
  }
  m_on_announcement(announcement.value());
  ResponseHead accepted{.m_status = 204};
  co_await exchange.Respond(std::move(accepted), "");
}

}  // namespace jujube::entry
