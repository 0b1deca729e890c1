// Definitions of Forwarder, for the sources that instantiate it.

#pragma once

#include "entry/forwarder.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/hash.h"
#include "entry/attempt_runner_impl.h"
#include "entry/claim_client.h"
#include "entry/refusal.h"
#include "limits/topology.h"
#include "net/http_exchange.h"
#include "observe/log.h"
#include "request/idempotency_key.h"
#include "steering/admission.h"
#include "steering/retry_decision.h"

// Sections: request state, admission, body and claim, attempts, responses.

namespace jujube::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace forwarder_internal {

// A repeatable request with a larger body is streamed, and is not retried once
// a part of its body was taken from the caller.
inline constexpr std::size_t kMaxBufferedBody = 65536;

// Connections that a request tries in vain: the first instances of an object's
// order may all have stood in a zone that lost power.
inline constexpr std::uint32_t kMaxUnreachable = 4;

// The feed confirms every second that nothing newer exists. A path without a
// route is not denied on older knowledge, since the route may have been added
// meanwhile; changes have 2 s to come into force.
inline constexpr std::chrono::milliseconds kCurrentFor{1700};

inline constexpr std::uint16_t kFirstServerError = 500;
inline constexpr std::uint16_t kUnavailable = 503;
// Slots come free and configurations arrive within about a second.
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

// How the attempt counts for the instance; nothing if it says nothing about it.
inline std::optional<steering::Outcome> OutcomeOf(const AttemptResult& result) {
  if (!result.m_failure) {
    const bool is_error = result.m_answer && result.m_answer->m_status >= 500;
    return is_error ? steering::Outcome::kFailure : steering::Outcome::kSuccess;
  }
  if (*result.m_failure == request::AttemptFailure::kNotStarted)
    return result.m_is_other_instance ? steering::Outcome::kGone
                                      : steering::Outcome::kShed;
  if (result.m_is_silent)
    return steering::Outcome::kUnreachable;
  // It was set aside for what other requests saw.
  if (result.m_is_abandoned)
    return std::nullopt;
  const request::FailureDecision decision = request::Decide(
      result.m_attempt, *result.m_failure, result.m_is_head_forwarded);
  if (decision.m_counts_as_failure)
    return steering::Outcome::kFailure;
  return std::nullopt;
}

// The response for a claim that was not granted. `unclaimed` is the verdict if
// the store of claims did not decide on the key.
inline Refusal RefusalOfClaim(std::optional<ClaimOutcome> outcome,
                              Verdict unclaimed) {
  if (!outcome) {
    return {.m_verdict = unclaimed,
            .m_reason = "no control host could record the claim in time",
            .m_retry_after = std::chrono::seconds(1)};
  }
  switch (*outcome) {
    case ClaimOutcome::kFinished:
      return {.m_status = 409,
              .m_verdict = Verdict::kRan,
              .m_reason = "the request ran; its response was not kept"};
    case ClaimOutcome::kInProgress:
      return {.m_status = 409,
              .m_verdict = Verdict::kMayHaveRun,
              .m_reason = "the request is in progress",
              .m_retry_after = std::chrono::seconds(1)};
    case ClaimOutcome::kConflict:
      return {.m_status = 422,
              .m_reason = "the Idempotency-Key was used for another request"};
    case ClaimOutcome::kStoreFull:
      return {.m_reason = "the store of claims is full",
              .m_retry_after = std::chrono::seconds(1)};
    case ClaimOutcome::kBadKey:
      return {.m_status = 400,
              .m_reason = "the Idempotency-Key was issued in the future"};
    case ClaimOutcome::kStaleHost:
      return {.m_verdict = unclaimed,
              .m_reason = "this entry host is not registered"};
    default:
      return {.m_status = 409,
              .m_verdict = Verdict::kMayHaveRun,
              .m_reason = "the outcome of an earlier attempt is not known"};
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
  Service m_service;  // policy, as of admission
  Weights m_weights;  // of the deployment
  RegionId m_region;  // of this host
  std::shared_ptr<steering::RetryBudget> m_budget;
  request::Deadline m_deadline;
  MonoTime m_received;
  bool m_is_repeatable = true;
  bool m_is_claimed = false;
  std::uint64_t m_attempt_number = 0;  // of the claim
  OutgoingRequest m_outgoing;
  std::vector<InstanceId> m_tried;
  std::uint32_t m_attempts = 0;          // that may have reached an instance
  std::uint32_t m_unreachable = 0;       // attempts at silent instances
  Verdict m_verdict = Verdict::kNotRun;  // of all attempts
  limits::Permit m_region_permit;
  limits::Permit m_slot_permit;
  // Error response of an upstream, returned if no other attempt does better.
  std::optional<AttemptResult> m_fallback;
  SpanScope m_span;  // of the request at this host

  // Verdict of a refusal before the store of claims was asked. An earlier
  // attempt with the same key may have run through another entry host; only a
  // caller that states that none can have run is told "not run".
  Verdict UnclaimedVerdict() const {
    const bool is_known = !D::kHasClaims || m_is_repeatable || m_is_claimed ||
                          m_route.m_has_no_earlier_run;
    return is_known ? Verdict::kNotRun : Verdict::kMayHaveRun;
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
      refusal.m_status = forwarder_internal::kUnavailable;
      refusal.m_reason += "; the configuration here may be out of date";
    }
    if (refusal.m_status == forwarder_internal::kUnavailable)
      refusal.m_retry_after = forwarder_internal::kRetryAfter;
    co_await Refuse(exchange, nullptr, std::move(refusal));
    co_return;
  }
  Request request;
  request.m_route = std::move(route).value();
  request.m_received = MonoClock::now();
  request.m_span = m_tracer.StartRequest(exchange.Head().m_headers);
  request.m_span.Set("service", request.m_route.m_service.m_value);
  SpanScope admission = request.m_span.Child("admission");
  const std::optional<Refusal> refusal = Admit(exchange, request);
  if (refusal)
    admission.Fail();
  admission.End();
  if (refusal) {
    request.m_verdict = refusal->m_verdict;
    Count(request);
    co_await Refuse(exchange, &request, *refusal);
    co_return;
  }
  m_shared.m_in_progress.fetch_add(1, std::memory_order_relaxed);
  m_shared.m_in_progress_gauge.Add(1);
  try {
    const std::optional<Refusal> bad_body =
        co_await ReadBody(exchange, request);
    if (bad_body)
      co_await Refuse(exchange, &request, *bad_body);
    else if (!D::kHasClaims || request.m_is_repeatable ||
             co_await Claim(exchange, request))
      co_await Carry(exchange, request);
  } catch (const std::exception&) {
    // Out of memory: the connection is closed without a response.
    request.m_verdict = Verdict::kMayHaveRun;
    Finish(request, std::nullopt);
  }
  Count(request);
  m_shared.m_in_progress_gauge.Add(-1);
  m_shared.m_in_progress.fetch_sub(1, std::memory_order_relaxed);
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::MayBeOutdated() const {
  return m_shared.m_settings.m_discovers_control &&
         MonoClock::now() - m_shared.m_current_at.load() >
             forwarder_internal::kCurrentFor;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::Count(Request& request) {
  request.m_span.Set("verdict", VerdictText(request.m_verdict));
  request.m_span.Set("attempts", request.m_attempts);
  if (request.m_budget != nullptr) {
    m_metrics.Of(request.m_route.m_service)
        .m_seconds.Observe(
            std::chrono::duration<double>(MonoClock::now() - request.m_received)
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
  observe::Log(LogEvent::kRequestRefused,
               {{"request", route != nullptr ? route->m_id : std::string()},
                {"route", route != nullptr ? route->m_name : std::string()},
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
               {{"request", request.m_route.m_id},
                {"route", request.m_route.m_name},
                {"instance", request.m_tried.back().m_value},
                {"verdict", VerdictText(request::VerdictOf(result.m_attempt))},
                {"reused", result.m_attempt.m_is_reused_connection},
                {"retried", is_retried},
                {"error", result.m_error}});
}

// ---- Admission -------------------------------------------------------------

template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::Admit(net::HttpExchange& exchange,
                                              Request& request) {
  const rcu::ReadSection section;
  const ServingView& view = m_shared.m_view.Read(section);
  const steering::ServiceUpstreams* service =
      steering::FindService(*view.m_upstreams, request.m_route.m_service);
  if (service == nullptr) {
    m_metrics.Refused(RefusalCause::kNoService);
    // A host with a newer or older document may have run it.
    request.m_is_repeatable = request.m_route.m_key.empty();
    return Refusal{
        .m_status = 404,
        .m_verdict = request.UnclaimedVerdict(),
        .m_reason = "there is no service " + request.m_route.m_service.m_value};
  }
  request.m_service = service->m_service;
  request.m_service.m_retry_budget_permille =
      m_shared.m_settings.m_retry_budget_permille.value_or(
          request.m_service.m_retry_budget_permille);
  request.m_budget = service->m_budget;
  request.m_weights = view.m_upstreams->m_weights;
  request.m_region = view.m_region;
  request.m_is_repeatable = request.m_route.m_is_repeatable.value_or(
      steering::IsRepeatable(request.m_service, exchange.Head().m_method));
  request.m_deadline = request::StartDeadline(
      request.m_received, request.m_route.m_stated_deadline,
      request.m_route.m_time_limit.value_or(
          request.m_service.m_default_deadline));
  if (request.m_route.m_time_limit) {
    request.m_deadline.m_at =
        std::min(request.m_deadline.m_at,
                 request.m_received + *request.m_route.m_time_limit);
  }
  std::optional<Refusal> bad_key = CheckKey(request);
  if (bad_key) {
    m_metrics.Refused(RefusalCause::kBadKey);
    return bad_key;
  }
  const steering::AdmissionAnswer answer = steering::DecideAdmission(
      {.m_is_host_draining = view.m_is_refusing,
       .m_priority =
           request.m_route.m_priority.value_or(request.m_service.m_priority),
       .m_slots = steering::CountSlots(*service, request.m_received),
       .m_host_in_progress =
           m_shared.m_in_progress.load(std::memory_order_relaxed),
       .m_host_cap = view.m_host_cap,
       .m_remaining =
           request::Remaining(request.m_deadline, request.m_received)});
  if (answer == steering::AdmissionAnswer::kAdmitted)
    return std::nullopt;
  m_metrics.Refused(answer);
  NoteRefusedDemand(view, *service);
  return Refusal{.m_status = 503,
                 .m_verdict = request.UnclaimedVerdict(),
                 .m_reason = std::string(steering::ToString(answer)),
                 .m_retry_after = steering::RetryAfter(answer)};
}

template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::CheckKey(const Request& request) {
  if (!D::kHasClaims || request.m_is_repeatable)
    return std::nullopt;
  // A request without a valid key is never carried, so it cannot have run.
  const Result<request::IdempotencyKey> key =
      request::ParseIdempotencyKey(request.m_route.m_key);
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
  const std::uint64_t stated = head.m_content_length.value_or(UINT64_MAX);
  const bool is_buffered = !request.m_is_repeatable ||
                           stated <= forwarder_internal::kMaxBufferedBody;
  if (!is_buffered) {
    outgoing.m_streams_rest = true;
    co_return std::nullopt;
  }
  Result<std::string> body =
      co_await exchange.ReadAll(request.m_service.m_max_body_bytes);
  if (!body) {
    m_metrics.Refused(RefusalCause::kBody);
    request.m_verdict = request.UnclaimedVerdict();
    co_return Refusal{.m_status = 413,
                      .m_verdict = request.m_verdict,
                      .m_reason = body.error().m_message};
  }
  outgoing.m_body = std::move(body).value();
  co_return std::nullopt;
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<bool> Forwarder<D, P>::Claim(net::HttpExchange& exchange,
                                             Request& request) {
  const RequestHead& head = exchange.Head();
  request.m_attempt_number =
      m_shared.m_next_attempt.fetch_add(1, std::memory_order_relaxed);
  const ClaimRequest claim{
      .m_host = m_shared.m_settings.m_host,
      .m_incarnation = m_shared.m_incarnation,
      .m_service = request.m_route.m_service,
      .m_key = request.m_route.m_key,
      .m_attempt = request.m_attempt_number,
      .m_digest = Sha256(head.m_method + "\n" + request.m_route.m_target +
                         "\n" + request.m_outgoing.m_body)};
  SpanScope step = request.m_span.Child("claim");
  const std::optional<ClaimReply> reply =
      co_await m_claims.Claim(claim, request.m_deadline.m_at);
  step.Set("outcome", reply ? ToString(reply->m_outcome) : "unknown");
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
  const Refusal refusal = forwarder_internal::RefusalOfClaim(
      reply ? std::optional(reply->m_outcome) : std::nullopt,
      request.UnclaimedVerdict());
  request.m_verdict = refusal.m_verdict;
  m_metrics.Refused(RefusalCause::kClaim);
  co_await Refuse(exchange, &request, refusal);
  co_return false;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::Finish(Request& request,
                             const std::optional<StoredAnswer>& answer) {
  if (!request.m_is_claimed)
    return;
  m_claims.Finish({.m_host = m_shared.m_settings.m_host,
                   .m_incarnation = m_shared.m_incarnation,
                   .m_service = request.m_route.m_service,
                   .m_key = request.m_route.m_key,
                   .m_attempt = request.m_attempt_number,
                   .m_verdict = request.m_verdict,
                   .m_answer = answer});
}

// ---- Attempts --------------------------------------------------------------

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::Carry(net::HttpExchange& exchange,
                                             Request& request) {
  request.m_budget->OnRequest(request.m_service.m_retry_budget_permille);
  while (true) {
    SpanScope attempt = request.m_span.Child("attempt");
    SpanScope step = attempt.Child("select");
    std::optional<steering::Selection> selection = Select(request);
    step.End();
    if (!selection) {
      attempt.Fail();
      attempt.End();
      if (request.m_fallback) {
        co_await RespondWithAnswer(exchange, request,
                                   *std::move(request.m_fallback));
        co_return;
      }
      co_await RespondWithoutUpstream(exchange, request);
      co_return;
    }
    if (!request.m_tried.empty())
      m_metrics.Of(request.m_route.m_service).m_retries.Add();
    request.m_tried.push_back(selection->m_instance);
    AttemptResult result =
        co_await Attempt(exchange, request, *selection, attempt);
    request.m_region_permit.Reset();
    request.m_slot_permit.Reset();
    if (result.m_is_silent)
      ++request.m_unreachable;
    else
      ++request.m_attempts;
    request.m_verdict = request::Combine(request.m_verdict,
                                         request::VerdictOf(result.m_attempt));
    attempt.Set("verdict", VerdictText(request::VerdictOf(result.m_attempt)));
    if (result.m_failure) {
      attempt.Set("error", result.m_error);
      attempt.Fail();
    }
    attempt.End();
    if (!result.m_failure && MayRetryError(request, result)) {
      request.m_fallback = std::move(result);
      continue;
    }
    if (!result.m_failure) {
      co_await RespondWithAnswer(exchange, request, std::move(result));
      co_return;
    }
    const bool is_retried = MayRetry(request, result);
    LogAttempt(request, result, is_retried);
    const bool is_caller_there =
        *result.m_failure != request::AttemptFailure::kCallerGone;
    if (!is_retried && request.m_fallback && is_caller_there &&
        !result.m_is_head_forwarded) {
      co_await RespondWithAnswer(exchange, request,
                                 *std::move(request.m_fallback));
      co_return;
    }
    if (!is_retried) {
      co_await RespondToFailure(exchange, request, result);
      co_return;
    }
  }
}

template <Dialect D, steering::SelectionPolicy P>
std::optional<steering::Selection> Forwarder<D, P>::Select(Request& request) {
  std::vector<RegionId> closed;
  std::vector<InstanceId> excluded = request.m_tried;
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
                   .m_closed = closed,
                   .m_allowed = request.m_route.m_allowed_regions,
                   .m_object = request.m_route.m_object});
    if (!selection) {
      NoteRefusedDemand(view, *service);
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
    closed.push_back(selection->m_region);
  }
  return std::nullopt;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::NoteRefusedDemand(
    const ServingView& view,
    const steering::ServiceUpstreams& service) {
  if (view.m_limits == nullptr || service.m_upstreams.empty())
    return;
  // A failed acquisition counts as demand in the next renewal. Instances take
  // turns, so that the demand of a service spreads over them.
  const std::size_t turn = m_next_refusal++ % service.m_upstreams.size();
  const Announcement& instance =
      service.m_upstreams[turn].m_member.m_announcement;
  (void)view.m_limits->TryAcquire(
      limits::SlotLimit(instance.m_service, instance.m_instance), 1,
      MonoClock::now());
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<AttemptResult> Forwarder<D, P>::Attempt(
    net::HttpExchange& exchange,
    Request& request,
    steering::Selection& selection,
    SpanScope& span) {
  span.Set("upstream.instance", selection.m_instance.m_value);
  span.Set("upstream.region", selection.m_region.m_value);
  const MonoTime started = MonoClock::now();
  const milliseconds remaining =
      request::RemainingFor(request.m_deadline, started, selection.m_delay)
          .value_or(milliseconds(1));
  request.m_outgoing.m_head = D::UpstreamHead(
      exchange.Head(), request.m_route, remaining,
      m_tracer.Outgoing(span, exchange.Head().m_headers), selection);
  const LinkPacer pacer(m_shared.m_view, request.m_region, selection.m_region);
  AttemptRunner<D> runner(exchange, m_pool, m_watch, pacer, request.m_route,
                          request.m_deadline.m_at,
                          m_shared.m_settings.m_connect_timeout, span);
  AttemptResult result = co_await runner.Run(selection, request.m_outgoing,
                                             request.m_is_repeatable);
  const MonoTime ended = MonoClock::now();
  const std::optional<steering::Outcome> outcome =
      forwarder_internal::OutcomeOf(result);
  if (outcome)
    selection.m_slot.Counters()->Record(*outcome, ended - started, ended);
  if (result.m_reported_requests)
    selection.m_slot.Counters()->ReportLoad(*result.m_reported_requests, ended);
  co_return result;
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::MayRetry(Request& request, const AttemptResult& result) {
  const request::FailureDecision decision = request::Decide(
      result.m_attempt, *result.m_failure, result.m_is_head_forwarded);
  // The streamed part of a body is gone.
  const bool is_body_lost =
      request.m_outgoing.m_streams_rest &&
      result.m_attempt.m_state != request::AttemptState::kWaiting;
  if (!decision.m_may_retry || is_body_lost)
    return false;
  return TakeRetry(request);
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::MayRetryError(Request& request,
                                    const AttemptResult& result) {
  const bool is_error =
      result.m_answer &&
      result.m_answer->m_status >= forwarder_internal::kFirstServerError;
  // A streamed body is gone, and without a rule the caller decides.
  return is_error && request.m_is_repeatable &&
         request.m_route.m_is_repeatable &&
         !request.m_outgoing.m_streams_rest && TakeRetry(request);
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::TakeRetry(Request& request) {
  if (request.m_unreachable >= forwarder_internal::kMaxUnreachable)
    return false;
  // Nothing arrived anywhere, so a retry adds no load. An instance that refuses
  // connections may be overloaded.
  if (request.m_attempts == 0 && request.m_unreachable > 0 &&
      request::Remaining(request.m_deadline, MonoClock::now()).count() > 0)
    return true;
  const steering::RetryAnswer answer = steering::DecideRetry(
      {.m_verdict = request.m_verdict,
       .m_is_repeatable = request.m_is_repeatable,
       .m_attempts = request.m_attempts,
       .m_max_attempts = request.m_route.m_max_attempts,
       .m_remaining = request::Remaining(request.m_deadline, MonoClock::now())},
      request.m_service.m_retry_budget_permille, *request.m_budget);
  if (answer != steering::RetryAnswer::kRetry)
    m_metrics.RetryDenied(answer);
  return answer == steering::RetryAnswer::kRetry;
}

// ---- Responses -------------------------------------------------------------

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::RespondWithAnswer(
    net::HttpExchange& exchange,
    Request& request,
    AttemptResult result) {
  // A streamed response is too large to be kept for resent requests.
  Finish(request, result.m_answer);
  if (!result.m_answer)
    co_return;
  ResponseHead head{.m_status = result.m_answer->m_status,
                    .m_headers = std::move(result.m_answer->m_headers)};
  co_await exchange.Respond(std::move(head), result.m_answer->m_body);
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::RespondWithoutUpstream(
    net::HttpExchange& exchange,
    Request& request) {
  Finish(request, std::nullopt);
  if (request.m_tried.empty())
    m_metrics.Refused(RefusalCause::kNoSlot);
  const Refusal refusal{.m_status = 503,
                        .m_verdict = request.m_verdict,
                        .m_reason = "no instance has a free slot",
                        .m_retry_after = std::chrono::seconds(1)};
  co_await Refuse(exchange, &request, refusal);
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::RespondToFailure(
    net::HttpExchange& exchange,
    Request& request,
    const AttemptResult& result) {
  Finish(request, std::nullopt);
  const request::FailureDecision decision = request::Decide(
      result.m_attempt, *result.m_failure, result.m_is_head_forwarded);
  // Returning without the end of a response closes the connection.
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
