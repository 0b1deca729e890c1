#include "stub/upstream.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "core/clock.h"
#include "core/hash.h"
#include "gen/load_json.h"
#include "gen/membership_json.h"
#include "net/http_call.h"
#include "net/http_fields.h"
#include "net/http_listener.h"
#include "stub/run_log.h"

namespace jujube::stub {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxBodyBytes = 64U << 20U;
// The upstream serves for at least this long after SIGTERM or SIGINT: an entry
// host that did not receive the leaving announcement sends requests until the
// lease of the previous announcement has expired.
constexpr milliseconds kAnnouncementLease{2000};
constexpr milliseconds kDrainPollInterval{10};
constexpr std::uint64_t kColdDelayFactor = 4;

std::uint64_t ParseNumberParameter(std::string_view target,
                                   std::string_view name,
                                   std::uint64_t fallback) {
  const auto text = net::QueryParameter(target, name);
  std::uint64_t value = fallback;
  if (text)
    std::from_chars(text->data(), text->data() + text->size(), value);
  return value;
}

ResponseHead ShedResponseHead() {
  return {.m_status = 503,
          .m_headers = {{"Jujube-Started", "no"}, {"Retry-After", "1"}}};
}

net::HttpRequest AnnounceRequest(const std::string& key,
                                 const Announcement& announcement) {
  return {.m_method = "POST",
          .m_target = "/announce",
          .m_headers = {{"Authorization", "Bearer " + key},
                        {"Content-Type", "application/json"}},
          .m_body = boost::json::serialize(ToJson(announcement))};
}

}  // namespace

struct Upstream::State {
  State(UpstreamSettings settings, std::string platform_key)
      : m_settings(std::move(settings)),
        m_platform_key(std::move(platform_key)),
        m_run_log(m_settings.m_run_log),
        m_incarnation(
            static_cast<std::uint64_t>(SystemClock().WallNow().count())),
        m_listener(m_io, [this](net::HttpExchange& exchange) {
          return Handle(exchange);
        }) {}

  asio::awaitable<void> Handle(net::HttpExchange& exchange);
  asio::awaitable<void> RunRequest(net::HttpExchange& exchange,
                                   const std::string& body);
  asio::awaitable<void> SendResponse(net::HttpExchange& exchange,
                                     ResponseHead head,
                                     std::string body);
  asio::awaitable<void> RespondStats(net::HttpExchange& exchange);
  asio::awaitable<void> AnnounceLoop();
  asio::awaitable<void> AnnounceTo(Endpoint entry_host,
                                   Announcement announcement);
  asio::awaitable<void> LeaveOnSignal();
  void AnnounceToAll();
  Announcement NextAnnouncement();
  std::string ResponseBody(const RequestHead& head, const std::string& body);

  const UpstreamSettings m_settings;
  const std::string m_platform_key;
  const RunLog m_run_log;
  const std::uint64_t m_incarnation;
  asio::io_context m_io{1};
  net::HttpListener m_listener;
  Endpoint m_endpoint;
  UpstreamState m_state = UpstreamState::kServing;
  MonoTime m_start_time = MonoClock::now();
  std::uint64_t m_sequence = 0;
  std::uint16_t m_in_progress = 0;
  UpstreamStats m_stats;
};

asio::awaitable<void> Upstream::State::Handle(net::HttpExchange& exchange) {
  if (exchange.Head().m_target == "/stub/stats") {
    co_await RespondStats(exchange);
    co_return;
  }
  const Result<std::string> body = co_await exchange.ReadAll(kMaxBodyBytes);
  if (!body)
    co_return;
  m_stats.m_peak_in_progress =
      std::max<std::uint32_t>(m_stats.m_peak_in_progress, m_in_progress + 1U);
  if (m_in_progress >= m_settings.m_slots) {
    ++m_stats.m_shed;
    co_await exchange.Respond(ShedResponseHead(), "all slots are in use\n");
    co_return;
  }
  ++m_in_progress;
  ++m_stats.m_ran;
  co_await RunRequest(exchange, body.value());
  --m_in_progress;
}

asio::awaitable<void> Upstream::State::RunRequest(net::HttpExchange& exchange,
                                                  const std::string& body) {
  const RequestHead& head = exchange.Head();
  m_run_log.Append(
      head.m_method + " " + head.m_target + " " +
      std::string(
          net::FindHeader(head.m_headers, "Idempotency-Key").value_or("-")) +
      " " + m_settings.m_instance.m_value);
  const bool is_cold = MonoClock::now() - m_start_time < m_settings.m_cold_time;
  const auto default_delay =
      static_cast<std::uint64_t>(m_settings.m_service_time.count()) *
      (is_cold ? kColdDelayFactor : 1);
  asio::steady_timer timer(
      m_io, milliseconds(ParseNumberParameter(head.m_target, "delay_ms",
                                              default_delay)));
  co_await timer.async_wait(kTuple);
  if (ParseNumberParameter(head.m_target, "no_response", 0) == 1)
    co_return;
  const auto status = static_cast<std::uint16_t>(
      ParseNumberParameter(head.m_target, "status", 200));
  ResponseHead response{.m_status = status};
  response.m_headers.push_back({"Content-Type", "application/json"});
  co_await SendResponse(exchange, std::move(response),
                        ResponseBody(head, body));
}

asio::awaitable<void> Upstream::State::SendResponse(net::HttpExchange& exchange,
                                                    ResponseHead head,
                                                    std::string body) {
  const std::uint64_t cut_after =
      ParseNumberParameter(exchange.Head().m_target, "cut_after", UINT64_MAX);
  head.m_content_length = body.size();
  if (!co_await exchange.Begin(std::move(head)))
    co_return;
  if (cut_after < body.size()) {
    co_await exchange.Write(std::string_view(body).substr(0, cut_after));
    co_return;
  }
  if (co_await exchange.Write(body))
    co_await exchange.End();
}

asio::awaitable<void> Upstream::State::RespondStats(
    net::HttpExchange& exchange) {
  UpstreamStats stats = m_stats;
  stats.m_in_progress = m_in_progress;
  stats.m_slots = m_settings.m_slots;
  stats.m_connections =
      static_cast<std::uint32_t>(m_listener.OpenConnections());
  ResponseHead head;
  head.m_headers.push_back({"Content-Type", "application/json"});
  const std::string body = boost::json::serialize(ToJson(stats));
  co_await exchange.Respond(std::move(head), body);
}

std::string Upstream::State::ResponseBody(const RequestHead& head,
                                          const std::string& body) {
  const auto key = net::FindHeader(head.m_headers, "Idempotency-Key");
  const EchoedRequest echo{.m_service = m_settings.m_service,
                           .m_instance = m_settings.m_instance,
                           .m_method = head.m_method,
                           .m_target = head.m_target,
                           .m_key = std::string(key.value_or("")),
                           .m_body_bytes = body.size(),
                           .m_body_sha256 = Hex(Sha256(body))};
  std::string text = boost::json::serialize(ToJson(echo));
  const std::uint64_t min_bytes =
      ParseNumberParameter(head.m_target, "body_bytes", 0);
  if (text.size() < min_bytes)
    text.append(min_bytes - text.size(), ' ');
  return text;
}

Announcement Upstream::State::NextAnnouncement() {
  return {.m_service = m_settings.m_service,
          .m_instance = m_settings.m_instance,
          .m_incarnation = m_incarnation,
          .m_sequence = ++m_sequence,
          .m_state = m_state,
          .m_endpoint = m_endpoint,
          .m_availability_zone = m_settings.m_availability_zone,
          .m_slots = m_settings.m_slots,
          .m_connections = m_settings.m_connections,
          .m_in_progress = m_settings.m_reported_load.value_or(m_in_progress),
          .m_uptime = std::chrono::duration_cast<milliseconds>(
              MonoClock::now() - m_start_time)};
}

asio::awaitable<void> Upstream::State::AnnounceTo(Endpoint entry_host,
                                                  Announcement announcement) {
  // A failed call is ignored: the next announcement replaces this one.
  co_await net::HttpCall(entry_host,
                         AnnounceRequest(m_platform_key, announcement),
                         MonoClock::now() + kAnnouncementLease);
}

void Upstream::State::AnnounceToAll() {
  const Announcement announcement = NextAnnouncement();
  for (const Endpoint& entry_host : m_settings.m_announce_to)
    asio::co_spawn(m_io, AnnounceTo(entry_host, announcement), asio::detached);
}

asio::awaitable<void> Upstream::State::AnnounceLoop() {
  asio::steady_timer timer(m_io);
  while (true) {
    AnnounceToAll();
    timer.expires_after(m_settings.m_announce_interval);
    co_await timer.async_wait(kTuple);
  }
}

asio::awaitable<void> Upstream::State::LeaveOnSignal() {
  asio::signal_set signals(m_io, SIGTERM, SIGINT);
  co_await signals.async_wait(kTuple);
  m_state = UpstreamState::kLeaving;
  AnnounceToAll();
  const MonoTime lease_end = MonoClock::now() + kAnnouncementLease;
  asio::steady_timer timer(m_io);
  while (MonoClock::now() < lease_end || m_in_progress > 0) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(kTuple);
  }
  m_io.stop();
}

Upstream::Upstream(UpstreamSettings settings, std::string platform_key)
    : m_state(std::make_unique<State>(std::move(settings),
                                      std::move(platform_key))) {}

Upstream::~Upstream() = default;

Result<Endpoint> Upstream::Listen() {
  State& state = *m_state;
  state.m_endpoint = state.m_settings.m_listen;
  JUJUBE_TRY(state.m_endpoint.m_port,
             state.m_listener.Listen(state.m_settings.m_listen));
  return state.m_endpoint;
}

void Upstream::Run() {
  State& state = *m_state;
  asio::co_spawn(state.m_io, state.AnnounceLoop(), asio::detached);
  asio::co_spawn(state.m_io, state.LeaveOnSignal(), asio::detached);
  state.m_io.run();
}

}  // namespace jujube::stub
