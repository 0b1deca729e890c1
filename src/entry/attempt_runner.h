// AttemptRunner: sends a request to one upstream and takes its response.
//
// A response of up to kMaxBufferedResponse bytes is read whole before any of it
// goes to the caller, so that a truncated one can still be replaced by an error
// or a retry. A larger one is passed on in parts as it arrives.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "entry/attempt_watch.h"
#include "entry/connection_pool.h"
#include "entry/dialect.h"
#include "entry/link_pacer.h"
#include "entry/span_scope.h"
#include "gen/claims.h"
#include "gen/http.h"
#include "net/http_exchange.h"
#include "request/attempt.h"
#include "request/failure_decision.h"
#include "steering/selection.h"

namespace jujube::entry {

inline constexpr std::size_t kMaxBufferedResponse = 65536;

// What is sent to the upstream.
struct OutgoingRequest {
  RequestHead m_head;
  std::string m_body;           // the part that was read already
  bool m_streams_rest = false;  // the rest comes from the caller
};

struct AttemptResult {
  request::Attempt m_attempt;                        // how far it got
  std::optional<request::AttemptFailure> m_failure;  // none: whole response
  std::string m_error;                               // detail of the failure
  bool m_is_head_forwarded = false;  // the caller has a part of the response
  std::optional<StoredAnswer> m_answer;  // buffered response, not sent yet
  bool m_is_other_instance = false;      // another instance has the address
  bool m_is_abandoned = false;           // the instance was set aside
  bool m_is_silent = false;  // the connection was neither taken nor refused
  std::optional<std::uint32_t> m_reported_requests;  // at the instance
};

template <Dialect D>
class AttemptRunner {
 public:
  AttemptRunner(net::HttpExchange& exchange,
                ConnectionPool& pool,
                AttemptWatch& watch,
                const LinkPacer& pacer,
                const Route& route,
                MonoTime deadline,
                std::chrono::milliseconds connect_timeout,
                const SpanScope& span)
      : m_exchange(exchange),
        m_pool(pool),
        m_watch(watch),
        m_pacer(pacer),
        m_route(route),
        m_deadline(deadline),
        m_connect_timeout(connect_timeout),
        m_span(span) {}

  // `is_repeatable`: an idle connection is allowed, and the request is
  // cancelled when the caller goes away. A request that must not repeat gets a
  // new connection, since a write on an idle one that is being closed leaves it
  // unknown whether the request ran, and is finished without its caller.
  // A repeatable one is also given up when the instance is set aside.
  boost::asio::awaitable<AttemptResult> Run(
      const steering::Selection& selection,
      const OutgoingRequest& request,
      bool is_repeatable);

 private:
  using Failure = request::AttemptFailure;

  void Note(request::AttemptEvent event);
  void Fail(Failure failure, const Error& error);
  boost::asio::awaitable<bool> Open(const steering::Selection& selection);
  boost::asio::awaitable<bool> Send(const OutgoingRequest& request);
  boost::asio::awaitable<bool> SendPart(std::string_view data);
  boost::asio::awaitable<bool> SendRest();
  boost::asio::awaitable<std::optional<ResponseHead>> ReadHead(
      const steering::InstanceCounters& counters);
  boost::asio::awaitable<void> TakeResponse(ResponseHead& head, bool has_body);
  // Reads a part of the body; 0 at the end; nothing on a failure.
  boost::asio::awaitable<std::optional<std::size_t>> ReadPart(
      std::span<char> buffer);
  // The response is in memory, as far as it arrived.
  void TakeWhole(const ResponseHead& head,
                 const std::string& body,
                 bool is_not_started);
  boost::asio::awaitable<void> Stream(ResponseHead& head, std::string first);

  net::HttpExchange& m_exchange;
  ConnectionPool& m_pool;
  AttemptWatch& m_watch;
  const LinkPacer& m_pacer;
  const Route& m_route;
  const MonoTime m_deadline;
  const std::chrono::milliseconds m_connect_timeout;
  bool m_is_repeatable = true;
  const SpanScope& m_span;  // of the attempt
  std::unique_ptr<net::HttpConnection> m_connection;
  AttemptResult m_result;
};

}  // namespace jujube::entry
