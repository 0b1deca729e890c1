// Forwarder: processes a request from admission to the end of its response.
//
//   route -> admission -> read body -> claim -> room -> select -> attempt
//         -> finish claim -> respond
//
// A retry starts again at "select". Repeatable requests are not claimed.
//
// One per worker thread. The decisions are made by functions in steering/ and
// request/; this class connects them to the HTTP exchange.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "entry/attempt_runner.h"
#include "entry/attempt_watch.h"
#include "entry/body_share.h"
#include "entry/connection_pool.h"
#include "entry/dialect.h"
#include "entry/entry_shared.h"
#include "entry/refusal.h"
#include "entry/request_cost.h"
#include "entry/request_metrics.h"
#include "entry/room_keeper.h"
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
            std::uint64_t seed,
            bool controls_overload);

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange);

  ConnectionPool& Pool() { return m_pool; }

 private:
  struct Request;

  // True if other hosts may run a newer configuration.
  bool MayBeOutdated() const;
  // Sends and logs a refusal. `request` is null if it could not be parsed.
  boost::asio::awaitable<void> Refuse(net::HttpExchange& exchange,
                                      const Request* request,
                                      Refusal refusal);
  static boost::asio::awaitable<void> RespondRefusal(
      net::HttpExchange& exchange,
      const Route* route,
      const Refusal& refusal);
  // A response that exists since `ready_at` did not reach the caller. `route`
  // is null if none was determined.
  static void LogUndelivered(const Route* route,
                             std::uint16_t status,
                             MonoTime ready_at,
                             const Error& error);
  void LogAttempt(const Request& request,
                  const AttemptResult& result,
                  bool is_retried) const;
  // Checks the key of the caller against the configuration in force, and sets
  // the tenant of the request.
  std::optional<Refusal> CheckAccess(net::HttpExchange& exchange,
                                     Request& request);
  // Refuses a request of a tenant that is over its quota. Waits for a moment if
  // only this host has no tokens left.
  boost::asio::awaitable<std::optional<Refusal>> AwaitQuota(
      const Request& request);
  // Spends a token of the tenant.
  std::optional<Refusal> SpendQuota(const Request& request);
  Refusal RefuseOverQuota(const Request& request);
  std::optional<Refusal> Admit(net::HttpExchange& exchange, Request& request);
  Refusal RefuseAdmission(const Request& request,
                          steering::AdmissionAnswer answer);
  // Shortens the deadline of the request to a planned stop of this host. False
  // if the request has to be refused because of the stop.
  static bool ShortenToStop(const ServingView& view,
                            MonoTime now,
                            Request& request);
  // Refuses a request that is about to be sent and no longer fits into a
  // planned stop.
  std::optional<Refusal> RecheckStop(net::HttpExchange& exchange,
                                     Request& request);
  static std::optional<Refusal> CheckKey(const Request& request);

  // With EntrySettings::m_waits_for_room (forwarder_room_impl.h).
  void PrepareRoom(const net::HttpExchange& exchange,
                   const steering::ServiceUpstreams& service,
                   std::size_t entry_hosts,
                   Request& request);
  // Refuses a request with a body for which no room is expected, before the
  // body is read.
  std::optional<Refusal> PreviewRoom(const net::HttpExchange& exchange,
                                     Request& request);
  // Waits for room if it pays. If false, the request was refused or its caller
  // left.
  boost::asio::awaitable<bool> TakeRoom(net::HttpExchange& exchange,
                                        Request& request);
  Refusal RefuseRoom(Request& request, overload::RoomAnswer answer);
  void RecordRoom(Request& request,
                  const AttemptResult& result,
                  std::chrono::nanoseconds elapsed);
  // Retry-After of a refused request.
  std::chrono::milliseconds ReturnDelayFor(const Request& request);
  static void LogRefusalWithRoom(const Request& request,
                                 const Refusal& refusal);
  static void LogWait(const Request& request,
                      std::chrono::nanoseconds waited,
                      const WaitOutcome& outcome);

  boost::asio::awaitable<std::optional<Refusal>> ReadBody(
      net::HttpExchange& exchange,
      Request& request);
  // Reads the beginning of an upload, whose rest is passed on as it arrives.
  boost::asio::awaitable<std::optional<Refusal>> BeginUpload(
      net::HttpExchange& exchange,
      Request& request,
      std::uint64_t content_length);
  Refusal RefuseBody(Request& request, const std::string& reason);
  static boost::asio::awaitable<Status> ReadBeginning(
      net::HttpExchange& exchange,
      std::string* beginning);
  // Reserves memory for a large body. False if there is none.
  bool TryReserveBody(Request& request, std::uint64_t content_length) const;
  // Returns true if the claim was granted; otherwise the response is sent.
  boost::asio::awaitable<bool> AcquireClaim(net::HttpExchange& exchange,
                                            Request& request);
  boost::asio::awaitable<void> Forward(net::HttpExchange& exchange,
                                       Request& request);
  boost::asio::awaitable<AttemptResult> RunAttempt(
      net::HttpExchange& exchange,
      Request& request,
      steering::Selection& selection,
      SpanScope& span);
  // Bytes that the body of an upload takes at an upstream; 0 for other
  // requests.
  static std::uint64_t LargeBodyBytes(net::HttpExchange& exchange,
                                      const Request& request);
  std::optional<steering::Selection> Select(net::HttpExchange& exchange,
                                            Request& request);
  // Makes the next renewal of allotments ask for more slots of the service.
  void RecordUnmetDemand(const ServingView& view,
                         const steering::ServiceUpstreams& service);
  // After a connect timeout: whether the load of the upstream explains it.
  void CheckUpstreamLoad(const Request& request,
                         const steering::Selection& selection,
                         AttemptResult& result) const;
  // Whether to retry a failed attempt. If so, uses up a retry of the budget,
  // unless all attempts so far were connect timeouts.
  bool TryRetryFailure(Request& request, const AttemptResult& result);
  // Whether to retry a repeatable request that got a server error. Uses up a
  // retry of the budget if it returns true.
  bool TryRetryErrorResponse(Request& request, const AttemptResult& result);
  bool TryUseRetry(Request& request);
  boost::asio::awaitable<void> RespondFromUpstream(net::HttpExchange& exchange,
                                                   Request& request,
                                                   AttemptResult result);
  boost::asio::awaitable<void> RespondNoFreeSlot(net::HttpExchange& exchange,
                                                 Request& request);
  boost::asio::awaitable<void> RespondAttemptFailed(
      net::HttpExchange& exchange,
      Request& request,
      const AttemptResult& result);
  void FinishClaim(Request& request, const std::optional<StoredAnswer>& answer);
  void CountOutcome(Request& request);

  EntryShared& m_shared;
  ClaimClient& m_claims;
  const bool m_controls_overload;  // the settings for overload apply
  ConnectionPool m_pool;
  BodyShare m_body_share;
  AttemptWatch m_watch;
  RoomKeeper m_rooms;
  Tracer m_tracer;
  RequestMetrics m_metrics;
  RequestCost m_cost;
  std::size_t m_next_demand_position = 0;
  steering::FastRandom m_random;
  steering::Selector<P> m_selector;
};

}  // namespace jujube::entry
