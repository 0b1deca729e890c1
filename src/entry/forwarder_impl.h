// Definitions of Forwarder, included by the sources that instantiate it.

#pragma once

#include "entry/forwarder.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "entry/attempt_runner_impl.h"
#include "entry/caller_key.h"
#include "entry/claim_client.h"
#include "entry/claim_digest.h"
#include "entry/link_turn.h"
#include "entry/refusal.h"
#include "entry/tenant_access.h"
#include "limits/topology.h"
#include "net/http_exchange.h"
#include "observe/log.h"
#include "quotas/quota_timing.h"
#include "request/idempotency_key.h"
#include "steering/admission.h"
#include "steering/retry_decision.h"
#include "tenants/access.h"

// Sections: request state, responses. The steps of a request in their order are
// in forwarder_admission_impl.h, forwarder_room_impl.h, forwarder_body_impl.h
// and forwarder_attempt_impl.h.

namespace jujube::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace forwarder_internal {

// A repeatable request with a larger body is streamed. It cannot be retried
// once part of its body has been read from the caller.
inline constexpr std::size_t kMaxBufferedBodyBytes = 65536;

// Maximum number of connect timeouts per request. The preferred instances for
// an affinity key may all be in an availability zone that lost power.
inline constexpr std::uint32_t kMaxConnectTimeouts = 4;

// An upload is passed on once this much of it has arrived, so that a caller
// that sends nothing occupies no upstream.
inline constexpr std::size_t kMinUploadBeginning = 4096;

// The rest of an upload that was answered early is read so that the caller gets
// the response, up to this size and time.
inline constexpr std::size_t kMaxDiscardedUploadBytes = 512U << 10U;
inline constexpr std::chrono::seconds kMaxDiscardTime{2};

// A request that waits for a token checks at this interval, short compared with
// the round trip to the leader.
inline constexpr milliseconds kTokenCheckInterval{10};

inline constexpr std::uint16_t kTooManyRequests = 429;
inline constexpr std::uint16_t kMinServerError = 500;
inline constexpr std::uint16_t kRequestTimeout = 408;
inline constexpr std::uint16_t kServiceUnavailable = 503;
// Retry-After if the route could not be determined. A slot becomes free or a
// new configuration arrives within about a second.
inline constexpr std::chrono::milliseconds kRetryAfter{1000};

inline milliseconds ToMilliseconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

inline std::uint16_t StatusOf(request::CallerAnswer answer) {
  switch (answer) {
    case request::CallerAnswer::kUnavailable:
      return 503;
    case request::CallerAnswer::kTimeout:
      return 504;
    default:
      return 502;
  }
}

// Outcome for the statistics of the instance, or nullopt if the attempt does
// not count.
inline std::optional<steering::Outcome> OutcomeOf(const AttemptResult& result) {
  if (!result.m_failure) {
    const bool is_error =
        result.m_response && result.m_response->m_status >= 500;
    return is_error ? steering::Outcome::kFailure : steering::Outcome::kSuccess;
  }
  if (*result.m_failure == request::AttemptFailure::kNotStarted)
    return result.m_is_misdirected ? steering::Outcome::kGone
                                   : steering::Outcome::kShed;
  if (result.m_is_upstream_full)
    return steering::Outcome::kShed;
  if (result.m_is_connect_timeout && !result.m_is_link_busy)
    return steering::Outcome::kUnreachable;
  // The instance is gone, which the response of another one has shown, or it
  // got no request.
  if (result.m_is_cancelled || result.m_is_withheld || result.m_is_link_busy)
    return std::nullopt;
  const request::FailureDecision decision = request::DecideOnFailure(
      result.m_attempt, *result.m_failure, result.m_is_head_forwarded);
  if (decision.m_counts_as_failure)
    return steering::Outcome::kFailure;
  return std::nullopt;
}

// Refusal for a claim that was not granted. `verdict_without_claim` applies if
// the claim store has made no decision about the key.
inline Refusal RefusalForClaim(std::optional<ClaimOutcome> outcome,
                               Verdict verdict_without_claim) {
  if (!outcome) {
    return {.m_verdict = verdict_without_claim,
            .m_reason = "no control host could record the claim in time",
            .m_retry_after = std::chrono::seconds(1)};
  }
  switch (*outcome) {
    case ClaimOutcome::kFinished:
      return {.m_status = 409,
              .m_verdict = Verdict::kRan,
              .m_reason = "the request ran, but its response was not stored"};
    case ClaimOutcome::kInProgress:
      return {.m_status = 409,
              .m_verdict = Verdict::kMayHaveRun,
              .m_reason = "the request is in progress",
              .m_retry_after = std::chrono::seconds(1)};
    case ClaimOutcome::kConflict:
      return {.m_status = 422,
              .m_reason = "the Idempotency-Key was used for another request"};
    case ClaimOutcome::kStoreFull:
      return {.m_reason = "the claim store is full",
              .m_retry_after = std::chrono::seconds(1)};
    case ClaimOutcome::kBadKey:
      return {.m_status = 400,
              .m_reason = "the Idempotency-Key was issued in the future"};
    case ClaimOutcome::kStaleHost:
      return {.m_verdict = verdict_without_claim,
              .m_reason = "this entry host is not registered"};
    default:
      return {.m_status = 409,
              .m_verdict = Verdict::kMayHaveRun,
              .m_reason = "the outcome of an earlier attempt is unknown"};
  }
}

inline asio::awaitable<void> Replay(net::HttpExchange& exchange,
                                    const StoredAnswer& answer) {
  ResponseHead head{.m_status = answer.m_status, .m_headers = answer.m_headers};
  head.m_headers.push_back({"Jujube-Replayed", "yes"});
  co_await exchange.Respond(std::move(head), answer.m_body);
}

}  // namespace forwarder_internal

// ---- Request state ---------------------------------------------------------

template <Dialect D, steering::SelectionPolicy P>
struct Forwarder<D, P>::Request {
  Route m_route;
  Service m_service;  // policy at the time of admission
  Weights m_weights;  // selection weights of the deployment
  RegionId m_region;  // region of this host
  std::shared_ptr<steering::RetryBudget> m_retry_budget;
  // Null if upstreams are not selected by cost.
  std::shared_ptr<steering::WorkEstimator> m_work;
  request::Deadline m_deadline;
  MonoTime m_full_deadline;  // not shortened to a planned stop
  MonoTime m_received_at;
  bool m_is_repeatable = true;
  bool m_is_claimed = false;
  std::uint64_t m_claim_attempt = 0;  // attempt number of the claim
  OutgoingRequest m_outgoing;
  std::vector<InstanceId> m_tried_instances;
  std::uint32_t m_attempts = 0;  // without connect timeouts and unsent ones
  std::uint32_t m_connect_timeouts = 0;  // attempts that ended in one
  Verdict m_verdict = Verdict::kNotRun;  // combined over all attempts
  limits::Permit m_region_permit;
  limits::Permit m_slot_permit;
  std::shared_ptr<quotas::QuotaCell> m_quota;  // null: no quota
  limits::Permit m_body_permit;  // memory of a large buffered body
  // Error response of an upstream, sent if no later attempt succeeds.
  std::optional<AttemptResult> m_fallback;
  // Room at the service; null without EntrySettings::m_waits_for_room.
  ServiceRoomState* m_room_state = nullptr;
  overload::RoomRequest m_room_request;
  std::uint64_t m_repeat_key = 0;  // names the caller and what it requested
  std::chrono::nanoseconds m_expected_room{0};
  RoomTicket m_room_ticket;
  SpanScope m_span;  // span of the request

  // Verdict of a refusal before the claim is decided. A non-repeatable request
  // with the same key may have run earlier through another entry host, so its
  // verdict is "not run" only if the caller states that no earlier attempt can
  // have run. For other requests the verdict concerns this attempt only.
  Verdict VerdictWithoutClaim() const {
    const bool has_not_run = !D::kUsesClaims || m_is_repeatable ||
                             m_is_claimed || m_route.m_has_no_earlier_run;
    return has_not_run ? Verdict::kNotRun : Verdict::kMayHaveRun;
  }
};

template <Dialect D, steering::SelectionPolicy P>
Forwarder<D, P>::Forwarder(EntryShared& shared,
                           ClaimClient& claims,
                           const asio::any_io_executor& executor,
                           std::uint64_t seed,
                           bool controls_overload)
    : m_shared(shared),
      m_claims(claims),
      m_controls_overload(controls_overload),
      m_pool(executor,
             shared.m_settings.m_pool_per_instance,
             controls_overload && shared.m_settings.m_reuses_connections),
      m_watch(executor),
      m_rooms(executor),
      m_tracer(shared.m_spans, shared.m_settings.m_trace, seed),
      m_random(seed + 1),
      m_selector(seed) {}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::Handle(net::HttpExchange& exchange) {
  Result<Route> route = [&] {
    const rcu::ReadSection section;
    return D::Parse(exchange.Head(), m_shared.m_view.Read(section));
  }();
  if (!route) {
    Refusal refusal{.m_status = entry::StatusOf(route.error().m_code),
                    .m_reason = route.error().m_message};
    if (route.error().m_code == ErrorCode::kNotFound && MayBeOutdated()) {
      refusal.m_status = forwarder_internal::kServiceUnavailable;
      refusal.m_reason += "; the configuration of this host may be outdated";
    }
    if (refusal.m_status == forwarder_internal::kServiceUnavailable)
      refusal.m_retry_after = forwarder_internal::kRetryAfter;
    co_await Refuse(exchange, nullptr, std::move(refusal));
    co_return;
  }
  Request request;
  request.m_route = std::move(route).value();
  request.m_received_at = MonoClock::now();
  request.m_span = m_tracer.StartRequestSpan(exchange.Head().m_headers);
  request.m_span.SetAttribute("service", request.m_route.m_service.m_value);
  // The policy of the service is not known yet, so a request with an
  // Idempotency-Key may have run through another host.
  request.m_is_repeatable = request.m_route.m_idempotency_key.empty();
  // For the Retry-After of a refusal; Admit() sets the final deadline.
  request.m_deadline = request::StartDeadline(
      request.m_received_at, request.m_route.m_caller_time_limit,
      request.m_route.m_time_limit.value_or(milliseconds(0)));
  SpanScope admission = request.m_span.Child("admission");
  std::optional<Refusal> refusal = CheckAccess(exchange, request);
  if (!refusal)
    refusal = co_await AwaitQuota(request);
  if (!refusal)
    refusal = Admit(exchange, request);
  if (!refusal)
    refusal = PreviewRoom(exchange, request);
  if (!refusal)
    refusal = SpendQuota(request);
  if (refusal)
    admission.SetFailed();
  admission.End();
  if (refusal) {
    request.m_verdict = refusal->m_verdict;
    CountOutcome(request);
    co_await Refuse(exchange, &request, *refusal);
    co_return;
  }
  m_shared.m_link.Record(limits::LinkSide::kIn, attempt_internal::kHeadBytes,
                         request.m_received_at);
  // A caller that stops reading must not keep the instance and the connections
  // occupied after the deadline.
  exchange.SetResponseDeadline(request.m_deadline.m_time);
  m_shared.m_in_progress.fetch_add(1, std::memory_order_relaxed);
  m_shared.m_in_progress_gauge.Add(1);
  try {
    const std::optional<Refusal> bad_body =
        co_await ReadBody(exchange, request);
    if (bad_body)
      co_await Refuse(exchange, &request, *bad_body);
    else if (!D::kUsesClaims || request.m_is_repeatable ||
             co_await AcquireClaim(exchange, request)) {
      if (co_await TakeRoom(exchange, request))
        co_await Forward(exchange, request);
    }
  } catch (const std::exception&) {
    // Out of memory: the connection is closed without a response.
    request.m_verdict = Verdict::kMayHaveRun;
    FinishClaim(request, std::nullopt);
  }
  CountOutcome(request);
  m_shared.m_in_progress_gauge.Add(-1);
  m_shared.m_in_progress.fetch_sub(1, std::memory_order_relaxed);
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::MayBeOutdated() const {
  return m_shared.m_settings.m_discovers_control &&
         MonoClock::now() - m_shared.m_config_confirmed_at.load() >
             kMaxConfigAge;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::CountOutcome(Request& request) {
  request.m_span.SetAttribute("verdict", VerdictText(request.m_verdict));
  request.m_span.SetAttribute("attempts", request.m_attempts);
  // Not set for an unknown service, which must not get metrics of its own.
  if (request.m_retry_budget != nullptr) {
    m_metrics.ForService(request.m_route.m_service)
        .m_duration_seconds.Observe(
            std::chrono::duration<double>(MonoClock::now() -
                                          request.m_received_at)
                .count());
  }
  switch (request.m_verdict) {
    case Verdict::kNotRun:
      m_shared.m_not_run.Add();
      break;
    case Verdict::kRan:
      m_shared.m_ran.Add();
      break;
    case Verdict::kMayHaveRun:
      m_shared.m_may_have_run.Add();
      break;
  }
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::Refuse(net::HttpExchange& exchange,
                                              const Request* request,
                                              Refusal refusal) {
  const Route* route = request != nullptr ? &request->m_route : nullptr;
  // The quota has set a time at which there is room again.
  if (route != nullptr && route->m_time_limit &&
      refusal.m_status != forwarder_internal::kTooManyRequests &&
      refusal.m_retry_after > std::chrono::milliseconds::zero()) {
    refusal.m_retry_after = ReturnDelayFor(*request);
  }
  if (request != nullptr && request->m_room_state != nullptr) {
    LogRefusalWithRoom(*request, refusal);
    co_await RespondRefusal(exchange, route, refusal);
    co_return;
  }
  observe::Log(
      LogEvent::kRequestRefused,
      {{"request", route != nullptr ? route->m_request_id : std::string()},
       {"route", route != nullptr ? route->m_rule_name : std::string()},
       {"tenant", route != nullptr && route->m_tenant ? route->m_tenant->m_value
                                                      : std::string()},
       {"status", refusal.m_status},
       {"verdict", VerdictText(refusal.m_verdict)},
       {"reason", refusal.m_reason}});
  co_await RespondRefusal(exchange, route, refusal);
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::RespondRefusal(
    net::HttpExchange& exchange,
    const Route* route,
    const Refusal& refusal) {
  const std::string body = D::RefusalText(refusal);
  ResponseHead head = D::RefusalHead(refusal);
  const std::uint16_t status = head.m_status;
  const MonoTime ready_at = MonoClock::now();
  const Status sent = co_await exchange.Respond(std::move(head), body);
  if (!sent)
    LogUndelivered(route, status, ready_at, sent.error());
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::LogUndelivered(const Route* route,
                                     std::uint16_t status,
                                     MonoTime ready_at,
                                     const Error& error) {
  observe::Log(
      LogEvent::kResponseNotDelivered,
      {{"request", route != nullptr ? route->m_request_id : std::string()},
       {"route", route != nullptr ? route->m_rule_name : std::string()},
       {"status", status},
       {"waited_ms",
        forwarder_internal::ToMilliseconds(MonoClock::now() - ready_at)},
       {"reason", error.m_message}});
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::LogAttempt(const Request& request,
                                 const AttemptResult& result,
                                 bool is_retried) const {
  observe::Log(LogEvent::kAttemptFailed,
               {{"request", request.m_route.m_request_id},
                {"route", request.m_route.m_rule_name},
                {"instance", request.m_tried_instances.back().m_value},
                {"verdict", VerdictText(request::VerdictOf(result.m_attempt))},
                {"reused", result.m_attempt.m_is_reused_connection},
                {"retried", is_retried},
                {"error", result.m_error}});
}

// ---- Responses -------------------------------------------------------------

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::RespondFromUpstream(
    net::HttpExchange& exchange,
    Request& request,
    AttemptResult result) {
  // Empty for a streamed response, which has been sent and is too large to be
  // stored for repeated requests.
  FinishClaim(request, result.m_response);
  if (!result.m_response)
    co_return;
  ResponseHead head{.m_status = result.m_response->m_status,
                    .m_headers = std::move(result.m_response->m_headers)};
  const std::string& body = result.m_response->m_body;
  const std::uint16_t response_status = head.m_status;
  const MonoTime ready_at = MonoClock::now();
  Status status = Success();
  if (m_shared.m_link.HasRate() &&
      body.size() > limits::HostLink::kMaxSmallBytes) {
    head.m_content_length = body.size();
    status = co_await exchange.Begin(std::move(head));
    if (status) {
      status = co_await WriteInTurn(exchange, m_shared.m_link, body,
                                    request.m_deadline.m_time);
    }
    if (status)
      status = co_await exchange.End();
  } else {
    m_shared.m_link.Record(limits::LinkSide::kOut,
                           body.size() + attempt_internal::kHeadBytes,
                           MonoClock::now());
    status = co_await exchange.Respond(std::move(head), body);
  }
  if (!status) {
    LogUndelivered(&request.m_route, response_status, ready_at, status.error());
  }
  if (request.m_route.m_is_upload && !exchange.IsBodyRead()) {
    co_await exchange.DiscardBody(
        forwarder_internal::kMaxDiscardedUploadBytes,
        MonoClock::now() + forwarder_internal::kMaxDiscardTime);
  }
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::RespondNoFreeSlot(
    net::HttpExchange& exchange,
    Request& request) {
  FinishClaim(request, std::nullopt);
  if (request.m_tried_instances.empty())
    m_metrics.CountRefusal(RefusalCause::kNoSlot);
  const Refusal refusal{.m_status = 503,
                        .m_verdict = request.m_verdict,
                        .m_reason = m_selector.IsExpectedLate()
                                        ? "the response would come after the "
                                          "deadline"
                                        : "no instance has a free slot",
                        .m_retry_after = std::chrono::seconds(1)};
  co_await Refuse(exchange, &request, refusal);
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::RespondAttemptFailed(
    net::HttpExchange& exchange,
    Request& request,
    const AttemptResult& result) {
  FinishClaim(request, std::nullopt);
  const request::FailureDecision decision = request::DecideOnFailure(
      result.m_attempt, *result.m_failure, result.m_is_head_forwarded);
  // Returning before the response is complete closes the caller's connection.
  if (decision.m_answer == request::CallerAnswer::kAbort ||
      decision.m_answer == request::CallerAnswer::kNothing)
    co_return;
  const Refusal refusal{
      .m_status = forwarder_internal::StatusOf(decision.m_answer),
      .m_verdict = request.m_verdict,
      .m_reason = result.m_error};
  co_await Refuse(exchange, &request, refusal);
}

}  // namespace jujube::entry

#include "entry/forwarder_admission_impl.h"  // NOLINT(llvm-include-order)
#include "entry/forwarder_attempt_impl.h"    // NOLINT(llvm-include-order)
#include "entry/forwarder_body_impl.h"       // NOLINT(llvm-include-order)
#include "entry/forwarder_room_impl.h"       // NOLINT(llvm-include-order)
