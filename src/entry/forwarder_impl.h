// Definitions of Forwarder, included by the sources that instantiate it.

#pragma once

#include "entry/forwarder.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "entry/attempt_runner_impl.h"
#include "entry/caller_key.h"
#include "entry/claim_client.h"
#include "entry/claim_digest.h"
#include "entry/refusal.h"
#include "entry/tenant_access.h"
#include "limits/topology.h"
#include "net/http_exchange.h"
#include "observe/log.h"
#include "request/idempotency_key.h"
#include "steering/admission.h"
#include "steering/retry_decision.h"
#include "tenants/access.h"

// Sections: request state, admission, body and claim, attempts, responses.

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

inline constexpr std::uint16_t kMinServerError = 500;
inline constexpr std::uint16_t kServiceUnavailable = 503;
// Retry-After if the route could not be determined. A slot becomes free or a
// new configuration arrives within about a second.
inline constexpr std::chrono::milliseconds kRetryAfter{1000};

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
  if (result.m_is_connect_timeout)
    return steering::Outcome::kUnreachable;
  // The instance was ejected or is gone because of other requests, which have
  // been counted, or it got no request.
  if (result.m_is_cancelled || result.m_is_withheld)
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
  request::Deadline m_deadline;
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
  limits::Permit m_body_permit;  // memory of a large buffered body
  // Error response of an upstream, sent if no later attempt succeeds.
  std::optional<AttemptResult> m_fallback;
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
                           std::uint64_t seed)
    : m_shared(shared),
      m_claims(claims),
      m_pool(executor, shared.m_settings.m_pool_per_instance),
      m_watch(executor),
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
    refusal = Admit(exchange, request);
  if (refusal)
    admission.SetFailed();
  admission.End();
  if (refusal) {
    request.m_verdict = refusal->m_verdict;
    CountOutcome(request);
    co_await Refuse(exchange, &request, *refusal);
    co_return;
  }
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
             co_await AcquireClaim(exchange, request))
      co_await Forward(exchange, request);
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
  if (route != nullptr && route->m_time_limit &&
      refusal.m_retry_after > std::chrono::milliseconds::zero()) {
    refusal.m_retry_after = steering::SpreadRetryAfter(
        request::Remaining(request->m_deadline, MonoClock::now()), m_random());
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
  const std::string body = D::RefusalText(refusal);
  ResponseHead head = D::RefusalHead(refusal);
  co_await exchange.Respond(std::move(head), body);
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

// ---- Admission -------------------------------------------------------------

template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::CheckAccess(net::HttpExchange& exchange,
                                                    Request& request) {
  const AccessState state{
      .m_may_be_outdated = MayBeOutdated(),
      .m_lease_end = m_shared.m_key_lease_end.load(std::memory_order_acquire)};
  const rcu::ReadSection section;
  const tenants::AccessAnswer answer = CheckTenantAccess(
      exchange.Head().m_headers, *m_shared.m_view.Read(section).m_tenants,
      state, request.m_route);
  if (!tenants::IsRefused(answer))
    return std::nullopt;
  m_metrics.CountRefusal(answer);
  return Refusal{.m_status = tenants::StatusOf(answer),
                 .m_verdict = request::CombineVerdicts(
                     request.m_verdict, request.VerdictWithoutClaim()),
                 .m_reason = std::string(tenants::ReasonOf(answer)),
                 .m_retry_after = tenants::IsTemporary(answer)
                                      ? forwarder_internal::kRetryAfter
                                      : milliseconds(0)};
}

template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::Admit(net::HttpExchange& exchange,
                                              Request& request) {
  const rcu::ReadSection section;
  const ServingView& view = m_shared.m_view.Read(section);
  const steering::ServiceUpstreams* service =
      steering::FindService(*view.m_upstreams, request.m_route.m_service);
  if (service == nullptr) {
    m_metrics.CountRefusal(RefusalCause::kNoService);
    // A host with a newer or older document may know the service and may have
    // run the request. The policy of the service is unknown here, so a request
    // with a key is taken to be non-repeatable.
    request.m_is_repeatable = request.m_route.m_idempotency_key.empty();
    return Refusal{
        .m_status = 404,
        .m_verdict = request.VerdictWithoutClaim(),
        .m_reason = "there is no service " + request.m_route.m_service.m_value};
  }
  request.m_service = service->m_service;
  request.m_service.m_retry_budget_permille =
      m_shared.m_settings.m_retry_budget_permille.value_or(
          request.m_service.m_retry_budget_permille);
  request.m_retry_budget = service->m_budget;
  request.m_weights = view.m_upstreams->m_weights;
  request.m_region = view.m_region;
  request.m_is_repeatable = request.m_route.m_is_repeatable.value_or(
      steering::IsRepeatable(request.m_service, exchange.Head().m_method));
  request.m_deadline = request::StartDeadline(
      request.m_received_at, request.m_route.m_caller_time_limit,
      request.m_route.m_time_limit.value_or(
          request.m_service.m_default_deadline));
  if (request.m_route.m_time_limit) {
    request.m_deadline.m_time =
        std::min(request.m_deadline.m_time,
                 request.m_received_at + *request.m_route.m_time_limit);
  }
  const bool may_outlast_host =
      view.m_requests_end_by &&
      request.m_deadline.m_time > *view.m_requests_end_by;
  // A repeatable request gets its final answer before the host stops, and the
  // caller may send it again. Another one is left to other hosts.
  if (may_outlast_host)
    request.m_deadline.m_time = *view.m_requests_end_by;
  std::optional<Refusal> bad_key = CheckKey(request);
  if (bad_key) {
    m_metrics.CountRefusal(RefusalCause::kBadKey);
    return bad_key;
  }
  const steering::AdmissionAnswer answer = steering::DecideAdmission(
      {.m_is_host_draining = view.m_is_refusing_requests,
       .m_priority =
           request.m_route.m_priority.value_or(request.m_service.m_priority),
       .m_slots = steering::CountSlots(*service, request.m_received_at),
       .m_host_in_progress =
           m_shared.m_in_progress.load(std::memory_order_relaxed),
       .m_host_cap = m_shared.m_host_cap.load(std::memory_order_relaxed),
       .m_remaining =
           request::Remaining(request.m_deadline, request.m_received_at),
       .m_may_outlast_host = may_outlast_host && !request.m_is_repeatable});
  if (answer == steering::AdmissionAnswer::kAdmitted)
    return std::nullopt;
  m_metrics.CountRefusal(answer);
  RecordUnmetDemand(view, *service);
  return Refusal{.m_status = 503,
                 .m_verdict = request.VerdictWithoutClaim(),
                 .m_reason = std::string(steering::ToString(answer)),
                 .m_retry_after = steering::RetryAfter(answer)};
}

template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::CheckKey(const Request& request) {
  if (!D::kUsesClaims || request.m_is_repeatable)
    return std::nullopt;
  // A request without a valid key is never forwarded, so it cannot have run.
  const Result<request::IdempotencyKey> key =
      request::ParseIdempotencyKey(request.m_route.m_idempotency_key);
  if (key)
    return std::nullopt;
  return Refusal{.m_status = 400, .m_reason = key.error().m_message};
}

// ---- Body and claim --------------------------------------------------------

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<std::optional<Refusal>> Forwarder<D, P>::ReadBody(
    net::HttpExchange& exchange,
    Request& request) {
  const RequestHead& head = exchange.Head();
  OutgoingRequest& outgoing = request.m_outgoing;
  if (!head.m_has_body)
    co_return std::nullopt;
  const std::uint64_t content_length =
      head.m_content_length.value_or(UINT64_MAX);
  const bool is_small =
      content_length <= forwarder_internal::kMaxBufferedBodyBytes;
  if (!is_small && request.m_is_repeatable) {
    outgoing.m_is_body_streamed = true;
    co_return std::nullopt;
  }
  std::string beginning;
  if (!head.m_content_length) {
    const Status read = co_await ReadBeginning(exchange, &beginning);
    if (!read)
      co_return RefuseBody(request, read.error().m_message);
  }
  if (!is_small && !exchange.IsBodyRead() &&
      !TryReserveBody(request, content_length)) {
    if (D::kUsesClaims) {
      m_metrics.CountRefusal(RefusalCause::kNoMemory);
      request.m_verdict = request.VerdictWithoutClaim();
      co_return Refusal{.m_verdict = request.m_verdict,
                        .m_reason = "no memory for the request body",
                        .m_retry_after = forwarder_internal::kRetryAfter};
    }
    // The instance waits for the rest of the body, and the request cannot be
    // sent again, which is better for the caller than a refusal.
    outgoing.m_body = std::move(beginning);
    outgoing.m_is_body_streamed = true;
    co_return std::nullopt;
  }
  const std::size_t max_bytes = request.m_service.m_max_body_bytes;
  if (beginning.size() > max_bytes) {
    co_return RefuseBody(request, "the body is larger than " +
                                      std::to_string(max_bytes) + " bytes");
  }
  Result<std::string> body =
      co_await exchange.ReadAll(max_bytes - beginning.size());
  if (!body)
    co_return RefuseBody(request, body.error().m_message);
  outgoing.m_body =
      beginning.empty() ? std::move(body).value() : beginning + body.value();
  co_return std::nullopt;
}

template <Dialect D, steering::SelectionPolicy P>
Refusal Forwarder<D, P>::RefuseBody(Request& request,
                                    const std::string& reason) {
  m_metrics.CountRefusal(RefusalCause::kBadBody);
  request.m_verdict = request.VerdictWithoutClaim();
  return {.m_status = 413, .m_verdict = request.m_verdict, .m_reason = reason};
}

// Reads as much of a body of unknown size as is kept without a reservation.
template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<Status> Forwarder<D, P>::ReadBeginning(
    net::HttpExchange& exchange,
    std::string* beginning) {
  std::array<char, attempt_internal::kChunkBytes> chunk{};
  while (beginning->size() < forwarder_internal::kMaxBufferedBodyBytes) {
    JUJUBE_CO_TRY(const std::size_t count, co_await exchange.ReadSome(chunk));
    if (count == 0)
      break;
    beginning->append(chunk.data(), count);
  }
  co_return Success();
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::TryReserveBody(Request& request,
                                     std::uint64_t content_length) const {
  // A body that is too large is refused before it is read, and one of unknown
  // size once it exceeds the limit.
  const std::uint64_t bytes = std::min<std::uint64_t>(
      content_length, request.m_service.m_max_body_bytes);
  if (!m_shared.m_body_bytes->TryAcquire(bytes, MonoClock::now()))
    return false;
  request.m_body_permit = limits::Permit(m_shared.m_body_bytes, bytes);
  return true;
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<bool> Forwarder<D, P>::AcquireClaim(net::HttpExchange& exchange,
                                                    Request& request) {
  const RequestHead& head = exchange.Head();
  request.m_claim_attempt =
      m_shared.m_next_claim_attempt.fetch_add(1, std::memory_order_relaxed);
  const ClaimRequest claim{.m_host = m_shared.m_settings.m_host,
                           .m_incarnation = m_shared.m_incarnation,
                           .m_service = request.m_route.m_service,
                           .m_key = request.m_route.m_idempotency_key,
                           .m_attempt = request.m_claim_attempt,
                           .m_digest = ClaimDigest(head, request.m_route,
                                                   request.m_outgoing.m_body)};
  SpanScope step = request.m_span.Child("claim");
  const std::optional<ClaimReply> reply =
      co_await m_claims.Claim(claim, request.m_deadline.m_time);
  step.SetAttribute("outcome", reply ? ToString(reply->m_outcome) : "unknown");
  step.End();
  if (reply && reply->m_outcome == ClaimOutcome::kGranted) {
    request.m_is_claimed = true;
    co_return true;
  }
  if (reply && reply->m_outcome == ClaimOutcome::kFinished && reply->m_answer) {
    request.m_verdict = Verdict::kRan;
    co_await forwarder_internal::Replay(exchange, *reply->m_answer);
    co_return false;
  }
  const Refusal refusal = forwarder_internal::RefusalForClaim(
      reply ? std::optional(reply->m_outcome) : std::nullopt,
      request.VerdictWithoutClaim());
  request.m_verdict = refusal.m_verdict;
  m_metrics.CountRefusal(RefusalCause::kClaimNotGranted);
  co_await Refuse(exchange, &request, refusal);
  co_return false;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::FinishClaim(Request& request,
                                  const std::optional<StoredAnswer>& answer) {
  if (!request.m_is_claimed)
    return;
  m_claims.Finish({.m_host = m_shared.m_settings.m_host,
                   .m_incarnation = m_shared.m_incarnation,
                   .m_service = request.m_route.m_service,
                   .m_key = request.m_route.m_idempotency_key,
                   .m_attempt = request.m_claim_attempt,
                   .m_verdict = request.m_verdict,
                   .m_answer = answer});
}

// ---- Attempts --------------------------------------------------------------

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::Forward(net::HttpExchange& exchange,
                                               Request& request) {
  request.m_retry_budget->OnRequest(request.m_service.m_retry_budget_permille);
  while (true) {
    // The key may have been taken away since the request was admitted.
    const std::optional<Refusal> refusal = CheckAccess(exchange, request);
    if (refusal && request.m_fallback) {
      co_await RespondFromUpstream(exchange, request,
                                   *std::move(request.m_fallback));
      co_return;
    }
    if (refusal) {
      FinishClaim(request, std::nullopt);
      co_await Refuse(exchange, &request, *refusal);
      co_return;
    }
    SpanScope attempt = request.m_span.Child("attempt");
    SpanScope step = attempt.Child("select");
    std::optional<steering::Selection> selection = Select(request);
    step.End();
    if (!selection) {
      attempt.SetFailed();
      attempt.End();
      if (request.m_fallback) {
        co_await RespondFromUpstream(exchange, request,
                                     *std::move(request.m_fallback));
        co_return;
      }
      co_await RespondNoFreeSlot(exchange, request);
      co_return;
    }
    if (!request.m_tried_instances.empty())
      m_metrics.ForService(request.m_route.m_service).m_retries.Add();
    request.m_tried_instances.push_back(selection->m_instance);
    AttemptResult result =
        co_await RunAttempt(exchange, request, *selection, attempt);
    request.m_region_permit.Reset();
    request.m_slot_permit.Reset();
    if (result.m_is_connect_timeout)
      ++request.m_connect_timeouts;
    else if (!result.m_is_withheld)
      ++request.m_attempts;
    request.m_verdict = request::CombineVerdicts(
        request.m_verdict, request::VerdictOf(result.m_attempt));
    attempt.SetAttribute("verdict",
                         VerdictText(request::VerdictOf(result.m_attempt)));
    if (result.m_failure) {
      attempt.SetAttribute("error", result.m_error);
      attempt.SetFailed();
    }
    attempt.End();
    if (!result.m_failure && TryRetryErrorResponse(request, result)) {
      request.m_fallback = std::move(result);
      continue;
    }
    if (!result.m_failure) {
      co_await RespondFromUpstream(exchange, request, std::move(result));
      co_return;
    }
    const bool is_retried = TryRetryFailure(request, result);
    LogAttempt(request, result, is_retried);
    const bool is_caller_connected =
        *result.m_failure != request::AttemptFailure::kCallerDisconnected;
    if (!is_retried && request.m_fallback && is_caller_connected &&
        !result.m_is_head_forwarded) {
      co_await RespondFromUpstream(exchange, request,
                                   *std::move(request.m_fallback));
      co_return;
    }
    if (!is_retried) {
      co_await RespondAttemptFailed(exchange, request, result);
      co_return;
    }
  }
}

template <Dialect D, steering::SelectionPolicy P>
std::optional<steering::Selection> Forwarder<D, P>::Select(Request& request) {
  std::vector<RegionId> full_regions;
  std::vector<InstanceId> excluded = request.m_tried_instances;
  const rcu::ReadSection section;
  const ServingView& view = m_shared.m_view.Read(section);
  const steering::ServiceUpstreams* service =
      steering::FindService(*view.m_upstreams, request.m_route.m_service);
  while (service != nullptr) {
    const MonoTime now = MonoClock::now();
    std::optional<steering::Selection> selection = m_selector.Select(
        *service, {.m_now = now,
                   .m_weights = request.m_weights,
                   .m_tried = excluded,
                   .m_closed = full_regions,
                   .m_allowed = request.m_route.m_allowed_regions,
                   .m_object = request.m_route.m_affinity_hash});
    if (!selection) {
      RecordUnmetDemand(view, *service);
      return std::nullopt;
    }
    if (view.m_limits == nullptr)
      return selection;
    request.m_slot_permit = view.m_limits->TryAcquire(
        limits::SlotLimit(request.m_route.m_service, selection->m_instance), 1,
        now);
    if (!request.m_slot_permit) {
      excluded.push_back(selection->m_instance);
      continue;
    }
    request.m_region_permit = view.m_limits->TryAcquire(
        limits::RegionLimit(selection->m_region), 1, now);
    if (request.m_region_permit)
      return selection;
    request.m_slot_permit.Reset();
    full_regions.push_back(selection->m_region);
  }
  return std::nullopt;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::RecordUnmetDemand(
    const ServingView& view,
    const steering::ServiceUpstreams& service) {
  if (view.m_limits == nullptr || service.m_upstreams.empty())
    return;
  // A failed acquisition counts as demand in the next renewal. Rotating over
  // the instances spreads the demand of the service.
  const std::size_t position =
      m_next_demand_position++ % service.m_upstreams.size();
  const Announcement& instance =
      service.m_upstreams[position].m_member.m_announcement;
  (void)view.m_limits->TryAcquire(
      limits::SlotLimit(instance.m_service, instance.m_instance), 1,
      MonoClock::now());
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<AttemptResult> Forwarder<D, P>::RunAttempt(
    net::HttpExchange& exchange,
    Request& request,
    steering::Selection& selection,
    SpanScope& span) {
  span.SetAttribute("upstream.instance", selection.m_instance.m_value);
  span.SetAttribute("upstream.region", selection.m_region.m_value);
  const MonoTime started = MonoClock::now();
  const milliseconds remaining =
      request::RemainingForUpstream(request.m_deadline, started,
                                    selection.m_delay)
          .value_or(milliseconds(1));
  request.m_outgoing.m_head = D::UpstreamHead(
      exchange.Head(), request.m_route, remaining,
      m_tracer.UpstreamTraceparent(span, exchange.Head().m_headers), selection);
  const LinkPacer pacer(m_shared.m_view, request.m_region, selection.m_region);
  const SendLease lease(m_shared.m_view, m_shared.m_key_lease_end,
                        ReadCallerKey(exchange.Head().m_headers).m_key,
                        request.m_route.m_tenant);
  AttemptRunner<D> runner(exchange, m_pool, m_watch, pacer, lease,
                          request.m_route, request.m_deadline.m_time,
                          m_shared.m_settings.m_connect_timeout, span);
  AttemptResult result = co_await runner.Run(selection, request.m_outgoing,
                                             request.m_is_repeatable);
  const MonoTime ended = MonoClock::now();
  const std::optional<steering::Outcome> outcome =
      forwarder_internal::OutcomeOf(result);
  if (outcome)
    selection.m_slot.Counters()->Record(*outcome, ended - started, ended);
  co_return result;
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::TryRetryFailure(Request& request,
                                      const AttemptResult& result) {
  const request::FailureDecision decision = request::DecideOnFailure(
      result.m_attempt, *result.m_failure, result.m_is_head_forwarded);
  // Chunks of a streamed body have been read from the caller and not kept.
  const bool is_body_consumed =
      request.m_outgoing.m_is_body_streamed &&
      result.m_attempt.m_state != request::AttemptState::kNotSent;
  if (!decision.m_may_retry || is_body_consumed)
    return false;
  // Nothing was sent, so the next attempt adds no load. If this one was a
  // retry, it is paid for already.
  if (result.m_is_withheld)
    return request::Remaining(request.m_deadline, MonoClock::now()).count() > 0;
  return TryUseRetry(request);
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::TryRetryErrorResponse(Request& request,
                                            const AttemptResult& result) {
  const bool is_error =
      result.m_response &&
      result.m_response->m_status >= forwarder_internal::kMinServerError;
  // A streamed body cannot be sent again. Without a route rule (m_is_repeatable
  // of the route is empty), the caller decides whether to retry.
  return is_error && request.m_is_repeatable &&
         request.m_route.m_is_repeatable &&
         !request.m_outgoing.m_is_body_streamed && TryUseRetry(request);
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::TryUseRetry(Request& request) {
  if (request.m_connect_timeouts >= forwarder_internal::kMaxConnectTimeouts)
    return false;
  // All attempts were connect timeouts, so a retry adds no load and needs no
  // budget. A refused connection does not count as one, because the instance
  // may be overloaded.
  if (request.m_attempts == 0 && request.m_connect_timeouts > 0 &&
      request::Remaining(request.m_deadline, MonoClock::now()).count() > 0)
    return true;
  const steering::RetryAnswer answer = steering::DecideRetry(
      {.m_verdict = request.m_verdict,
       .m_is_repeatable = request.m_is_repeatable,
       .m_attempts = request.m_attempts,
       .m_max_attempts = request.m_route.m_max_attempts,
       .m_remaining = request::Remaining(request.m_deadline, MonoClock::now())},
      request.m_service.m_retry_budget_permille, *request.m_retry_budget);
  if (answer != steering::RetryAnswer::kRetry)
    m_metrics.CountDeniedRetry(answer);
  return answer == steering::RetryAnswer::kRetry;
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
  co_await exchange.Respond(std::move(head), result.m_response->m_body);
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
                        .m_reason = "no instance has a free slot",
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
