// AttemptRunner: sends a request to one upstream and receives its response.
//
// A response of up to kMaxBufferedResponseBytes is buffered completely before
// anything is sent to the caller, so that a truncated response can still be
// replaced by an error or a retry. A larger response is streamed.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

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
#include "gen/instance_report.h"
#include "limits/host_link.h"
#include "net/http_exchange.h"
#include "request/attempt.h"
#include "request/failure_decision.h"
#include "steering/selection.h"

namespace jujube::entry {

inline constexpr std::size_t kMaxBufferedResponseBytes = 65536;

// How the body of a request reaches the upstream.
enum class BodyMode : std::uint8_t {
  kBuffered,  // read completely before the first attempt
  kStreamed,  // passed on while it arrives; cannot be sent again
  kKept,      // passed on while it arrives, and kept to be sent again
};

// Request as sent to the upstream.
struct OutgoingRequest {
  RequestHead m_head;
  std::string m_body;  // bytes read from the caller and kept
  BodyMode m_body_mode = BodyMode::kBuffered;
  std::size_t m_max_body_bytes = SIZE_MAX;  // with kKept
};

// Limits of an attempt.
struct AttemptLimits {
  MonoTime m_deadline;
  std::chrono::milliseconds m_connect_timeout{0};
};

struct AttemptResult {
  request::Attempt m_attempt;                        // progress and verdict
  std::optional<request::AttemptFailure> m_failure;  // empty: complete response
  std::string m_error;               // description of the failure
  bool m_is_head_forwarded = false;  // part of the response went to the caller
  std::optional<StoredAnswer> m_response;  // buffered, not sent to the caller
  // Status 421: another instance uses the address.
  bool m_is_misdirected = false;
  // Cancelled because another instance responds at the address.
  bool m_is_cancelled = false;
  // The connection was neither accepted nor refused in time.
  bool m_is_connect_timeout = false;
  // The connect timeout is explained by the link of this host, which was busy.
  bool m_is_link_busy = false;
  // The connect timeout is explained by the load that the upstream reported.
  bool m_is_upstream_full = false;
  // Not sent: after its selection the instance stated that it wants no
  // requests, or the caller's key was taken away or its lease ran out.
  bool m_is_withheld = false;
  InstanceReport m_report;  // what the instance stated in its response
};

template <Dialect D>
class AttemptRunner {
 public:
  AttemptRunner(net::HttpExchange& exchange,
                ConnectionPool& pool,
                AttemptWatch& watch,
                const LinkPacer& pacer,
                limits::HostLink& link,
                const SendLease& lease,
                const Route& route,
                const AttemptLimits& limits,
                const SpanScope& span)
      : m_exchange(exchange),
        m_pool(pool),
        m_watch(watch),
        m_pacer(pacer),
        m_link(link),
        m_lease(lease),
        m_route(route),
        m_deadline(limits.m_deadline),
        m_connect_timeout(limits.m_connect_timeout),
        m_span(span) {}

  // Idle connections are used as DecideReuse (entry/connection_reuse.h) allows.
  // While a repeatable request waits for the response head, it is cancelled if
  // the caller disconnects or the instance is ejected or gone. Once a
  // non-repeatable request is being sent, it continues even if the caller
  // disconnects.
  //
  // With BodyMode::kKept, bytes read from the caller are appended to the body
  // of the request. A response that arrives before the end of the body ends the
  // sending, and the connection is closed after the response.
  boost::asio::awaitable<AttemptResult> Run(
      const steering::Selection& selection,
      OutgoingRequest& request,
      bool is_repeatable);

 private:
  using Failure = request::AttemptFailure;

  void RecordEvent(request::AttemptEvent event);
  void SetFailure(Failure failure, const Error& error);
  boost::asio::awaitable<bool> OpenConnection(
      const steering::Selection& selection);
  boost::asio::awaitable<bool> ConnectNew(const steering::Selection& selection);
  // Records a failed connect and what it may have waited for.
  void SetConnectFailure(const Error& error,
                         MonoTime started,
                         bool was_link_busy,
                         bool is_expired);
  boost::asio::awaitable<bool> SendRequest(
      OutgoingRequest& request,
      const steering::Selection& selection);
  // Sends the body. Returns true as well if a response that arrived ended it.
  boost::asio::awaitable<bool> SendRequestBody(OutgoingRequest& request);
  boost::asio::awaitable<bool> SendBodyChunk(std::string_view data);
  // Sends a chunk of a large body in its turn.
  boost::asio::awaitable<bool> SendInTurn(std::string_view data);
  boost::asio::awaitable<bool> SendBufferedBody(std::string_view body);
  boost::asio::awaitable<bool> StreamRequestBody();
  boost::asio::awaitable<bool> SendKeptBody(OutgoingRequest& request);
  // Reads the next bytes of the body from the caller in their turn. Returns 0
  // at the end or if a response has arrived, nullopt on failure.
  boost::asio::awaitable<std::optional<std::size_t>> ReadCallerChunk(
      std::span<char> buffer);
  boost::asio::awaitable<std::optional<ResponseHead>> ReadHead(
      const steering::InstanceCounters& counters);
  // Records what the instance states about itself.
  void RecordReport(const ResponseHead& head,
                    const steering::Selection& selection);
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
  limits::HostLink& m_link;
  const SendLease& m_lease;
  const Route& m_route;
  const MonoTime m_deadline;
  const std::chrono::milliseconds m_connect_timeout;
  bool m_is_repeatable = true;
  const SpanScope& m_span;  // span of the attempt
  std::unique_ptr<net::HttpConnection> m_connection;
  std::optional<std::chrono::seconds> m_stated_idle_timeout;
  bool m_is_answered_early = false;   // bytes arrived while the body was sent
  bool m_is_body_unfinished = false;  // the upstream is owed bytes of it
  std::size_t m_response_body_bytes = 0;
  MonoTime m_send_started_at;
  AttemptResult m_result;
};

}  // namespace jujube::entry
