// Forwarder: carries a request from admission to the end of its response.
//
//   route -> admission -> claim -> select -> attempt -> respond -> finish claim
//
// One for each worker thread. The steps that decide are functions of
// steering/ and request/; this class connects them to the exchange.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "entry/attempt_runner.h"
#include "entry/attempt_watch.h"
#include "entry/connection_pool.h"
#include "entry/dialect.h"
#include "entry/entry_shared.h"
#include "entry/refusal.h"
#include "entry/request_metrics.h"
#include "entry/route.h"
#include "entry/tracer.h"
#include "gen/claims.h"
#include "request/deadline.h"
#include "steering/selector.h"

namespace jujube::entry {

class ClaimClient;

template <Dialect D, steering::SelectionPolicy P>
class Forwarder {
 public:
  Forwarder(EntryShared& shared,
            ClaimClient& claims,
            const boost::asio::any_io_executor& executor,
            std::uint64_t seed);

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange);

  ConnectionPool& Pool() { return m_pool; }

 private:
  struct Request;

  // A newer configuration may be in force elsewhere.
  bool MayBeOutdated() const;
  // Sends the refusal and logs it; `request` may be null before it is parsed.
  boost::asio::awaitable<void> Refuse(net::HttpExchange& exchange,
                                      const Request* request,
                                      Refusal refusal);
  void LogAttempt(const Request& request,
                  const AttemptResult& result,
                  bool is_retried) const;
  std::optional<Refusal> Admit(net::HttpExchange& exchange, Request& request);
  static std::optional<Refusal> CheckKey(const Request& request);
  boost::asio::awaitable<std::optional<Refusal>> ReadBody(
      net::HttpExchange& exchange,
      Request& request);
  boost::asio::awaitable<bool> Claim(net::HttpExchange& exchange,
                                     Request& request);
  boost::asio::awaitable<void> Carry(net::HttpExchange& exchange,
                                     Request& request);
  boost::asio::awaitable<AttemptResult> Attempt(net::HttpExchange& exchange,
                                                Request& request,
                                                steering::Selection& selection,
                                                SpanScope& span);
  std::optional<steering::Selection> Select(Request& request);
  void NoteRefusedDemand(const ServingView& view,
                         const steering::ServiceUpstreams& service);
  bool MayRetry(Request& request, const AttemptResult& result);
  // The upstream answered a repeatable request with an error; another one may
  // do better.
  bool MayRetryError(Request& request, const AttemptResult& result);
  bool TakeRetry(Request& request);
  boost::asio::awaitable<void> RespondWithAnswer(net::HttpExchange& exchange,
                                                 Request& request,
                                                 AttemptResult result);
  boost::asio::awaitable<void> RespondWithoutUpstream(
      net::HttpExchange& exchange,
      Request& request);
  boost::asio::awaitable<void> RespondToFailure(net::HttpExchange& exchange,
                                                Request& request,
                                                const AttemptResult& result);
  void Finish(Request& request, const std::optional<StoredAnswer>& answer);
  void Count(Request& request);

  EntryShared& m_shared;
  ClaimClient& m_claims;
  ConnectionPool m_pool;
  AttemptWatch m_watch;
  Tracer m_tracer;
  RequestMetrics m_metrics;
  std::size_t m_next_refusal = 0;
  steering::FastRandom m_random;
  steering::Selector<P> m_selector;
};

}  // namespace jujube::entry
