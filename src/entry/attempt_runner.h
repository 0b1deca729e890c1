// AttemptRunner: sends a request to one upstream and receives its response.
//
// A response of up to kMaxBufferedResponseBytes is buffered completely before
// anything is sent to the caller, so that a truncated response can still be
// replaced by an error or a retry. A larger response is streamed.

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
#include "entry/send_lease.h"
#include "entry/span_scope.h"
#include "gen/claims.h"
#include "gen/http.h"
#include "net/http_exchange.h"
#include "request/attempt.h"
#include "request/failure_decision.h"
#include "steering/selection.h"

namespace jujube::entry {

inline constexpr std::size_t kMaxBufferedResponseBytes = 65536;

// Request as sent to the upstream.
struct OutgoingRequest {
  RequestHead m_head;
  std::string m_body;               // buffered body; empty if streamed
  bool m_is_body_streamed = false;  // read the body from the caller
};

struct AttemptResult {
  request::Attempt m_attempt;                        // progress and verdict
  std::optional<request::AttemptFailure> m_failure;  // empty: complete response
  std::string m_error;               // description of the failure
  bool m_is_head_forwarded = false;  // part of the response went to the caller
  std::optional<StoredAnswer> m_response;  // buffered, not sent to the caller
  // Status 421: another instance uses the address.
  bool m_is_misdirected = false;
  // Cancelled because the instance was ejected or is gone.
  bool m_is_cancelled = false;
  // The connection was neither accepted nor refused in time.
  bool m_is_connect_timeout = false;
  // Not sent: after its selection the instance stated that it wants no
  // requests, or the caller's key was taken away or its lease ran out.
  bool m_is_withheld = false;
};

template <Dialect D>
class AttemptRunner {
 public:
  AttemptRunner(net::HttpExchange& exchange,
                ConnectionPool& pool,
                AttemptWatch& watch,
                const LinkPacer& pacer,
                const SendLease& lease,
                const Route& route,
                MonoTime deadline,
                std::chrono::milliseconds connect_timeout,
                const SpanScope& span)
      : m_exchange(exchange),
        m_pool(pool),
        m_watch(watch),
        m_pacer(pacer),
        m_lease(lease),
        m_route(route),
        m_deadline(deadline),
        m_connect_timeout(connect_timeout),
        m_span(span) {}

  // A repeatable request may use an idle connection. While it waits for the
  // response head, it is cancelled if the caller disconnects or the instance is
  // ejected or gone.
  //
  // A non-repeatable request gets a new connection unless the dialect allows
  // reuse: after a failed write on an idle connection that is being closed, it
  // is unknown whether the request ran. Once sending has started, it continues
  // even if the caller disconnects.
  boost::asio::awaitable<AttemptResult> Run(
      const steering::Selection& selection,
      const OutgoingRequest& request,
      bool is_repeatable);

 private:
  using Failure = request::AttemptFailure;

  void RecordEvent(request::AttemptEvent event);
  void SetFailure(Failure failure, const Error& error);
  boost::asio::awaitable<bool> OpenConnection(
      const steering::Selection& selection);
  boost::asio::awaitable<bool> SendRequest(
      const OutgoingRequest& request,
      const steering::InstanceCounters& counters);
  boost::asio::awaitable<bool> SendBodyChunk(std::string_view data);
  boost::asio::awaitable<bool> StreamRequestBody();
  boost::asio::awaitable<std::optional<ResponseHead>> ReadHead(
      const steering::InstanceCounters& counters);
  // Records what the instance states about itself.
  void RecordReport(const ResponseHead& head,
                    const steering::Selection& selection) const;
  boost::asio::awaitable<void> ReceiveResponse(ResponseHead& head,
                                               bool has_body);
  // Reads a chunk of the response body. Returns 0 at its end, nullopt on
  // failure.
  boost::asio::awaitable<std::optional<std::size_t>> ReadBodyChunk(
      std::span<char> buffer);
  // Sets the result from a response whose body, possibly truncated, is in
  // memory.
  void FinishBufferedResponse(const ResponseHead& head,
                              const std::string& body,
                              bool is_not_started);
  boost::asio::awaitable<void> StreamResponse(ResponseHead& head,
                                              std::string buffered);

  net::HttpExchange& m_exchange;
  ConnectionPool& m_pool;
  AttemptWatch& m_watch;
  const LinkPacer& m_pacer;
  const SendLease& m_lease;
  const Route& m_route;
  const MonoTime m_deadline;
  const std::chrono::milliseconds m_connect_timeout;
  bool m_is_repeatable = true;
  const SpanScope& m_span;  // span of the attempt
  std::unique_ptr<net::HttpConnection> m_connection;
  AttemptResult m_result;
};

}  // namespace jujube::entry
