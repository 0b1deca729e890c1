// Definitions of Forwarder for attempts at upstreams and retries. Included by
// forwarder_impl.h.

#pragma once

#include "entry/forwarder_impl.h"

namespace jujube::entry {

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<void> Forwarder<D, P>::Forward(net::HttpExchange& exchange,
                                               Request& request) {
  const std::optional<Refusal> stop_refusal = RecheckStop(exchange, request);
  if (stop_refusal) {
    FinishClaim(request, std::nullopt);
    co_await Refuse(exchange, &request, *stop_refusal);
    co_return;
  }
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
    std::optional<steering::Selection> selection = Select(exchange, request);
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
    const MonoTime attempt_started = MonoClock::now();
    AttemptResult result =
        co_await RunAttempt(exchange, request, *selection, attempt);
    RecordRoom(request, result, MonoClock::now() - attempt_started);
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
      request.m_room_ticket.Reset();
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
std::uint64_t Forwarder<D, P>::LargeBodyBytes(net::HttpExchange& exchange,
                                              const Request& request) {
  if (!request.m_route.m_is_upload)
    return 0;
  return std::max<std::uint64_t>(exchange.Head().m_content_length.value_or(
                                     forwarder_internal::kMaxBufferedBodyBytes),
                                 request.m_outgoing.m_body.size());
}

template <Dialect D, steering::SelectionPolicy P>
std::optional<steering::Selection> Forwarder<D, P>::Select(
    net::HttpExchange& exchange,
    Request& request) {
  std::vector<RegionId> full_regions;
  std::vector<InstanceId> excluded = request.m_tried_instances;
  const std::uint64_t body_bytes = LargeBodyBytes(exchange, request);
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
                   .m_object = request.m_route.m_affinity_hash,
                   .m_route = RouteHash(request.m_route),
                   .m_remaining = request::Remaining(request.m_deadline, now)});
    if (!selection) {
      RecordUnmetDemand(view, *service);
      return std::nullopt;
    }
    const std::uint64_t share = BodyShareOfThread(
        kMaxBodyBytesPerUpstream,
        m_shared.m_entry_hosts.load(std::memory_order_relaxed),
        m_shared.m_settings.m_worker_threads);
    if (body_bytes > 0 &&
        !m_body_share.HasRoom(selection->m_instance, body_bytes, share)) {
      excluded.push_back(selection->m_instance);
      continue;
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
  const BodyShare::Sending sending(m_body_share, selection.m_instance,
                                   LargeBodyBytes(exchange, request));
  AttemptRunner<D> runner(
      exchange, m_pool, m_watch, pacer, m_shared.m_link, lease, request.m_route,
      {.m_deadline = request.m_deadline.m_time,
       .m_connect_timeout = m_shared.m_settings.m_connect_timeout},
      span);
  AttemptResult result = co_await runner.Run(selection, request.m_outgoing,
                                             request.m_is_repeatable);
  const MonoTime ended = MonoClock::now();
  if (result.m_is_connect_timeout)
    CheckUpstreamLoad(request, selection, result);
  const std::optional<steering::Outcome> outcome =
      forwarder_internal::OutcomeOf(result);
  if (outcome)
    selection.m_slot.Counters()->Record(*outcome, ended - started, ended);
  if (request.m_work != nullptr) {
    m_cost.Record(request.m_route, selection, result, started, ended,
                  *request.m_work);
  }
  co_return result;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::CheckUpstreamLoad(const Request& request,
                                        const steering::Selection& selection,
                                        AttemptResult& result) const {
  if (!m_controls_overload)
    return;
  const steering::Observation observation =
      selection.m_slot.Counters()->Observe();
  UpstreamLoad load{
      .m_in_progress =
          observation.m_in_progress + observation.m_others_in_progress,
      .m_report_age = MonoClock::now() - observation.m_others_reported_at};
  {
    const rcu::ReadSection section;
    const steering::ServiceUpstreams* service = steering::FindService(
        *m_shared.m_view.Read(section).m_upstreams, request.m_route.m_service);
    if (service == nullptr)
      return;
    const auto found =
        std::find_if(service->m_upstreams.begin(), service->m_upstreams.end(),
                     [&](const steering::Upstream& upstream) {
                       return upstream.m_member.m_announcement.m_instance ==
                              selection.m_instance;
                     });
    if (found != service->m_upstreams.end())
      load.m_slots = found->m_member.m_announcement.m_slots;
  }
  result.m_is_upstream_full = IsUpstreamFull(load);
  const auto age_ms =
      std::chrono::duration_cast<milliseconds>(load.m_report_age).count();
  result.m_error +=
      "; upstream reported " + std::to_string(load.m_in_progress) + " of " +
      std::to_string(load.m_slots) + " slots " +
      std::to_string(std::min<std::int64_t>(age_ms, 99999)) + " ms ago";
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::TryRetryFailure(Request& request,
                                      const AttemptResult& result) {
  const request::FailureDecision decision = request::DecideOnFailure(
      result.m_attempt, *result.m_failure, result.m_is_head_forwarded);
  // Chunks of a streamed body have been read from the caller and not kept.
  const bool is_body_consumed =
      request.m_outgoing.m_body_mode == BodyMode::kStreamed &&
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
         request.m_outgoing.m_body_mode != BodyMode::kStreamed &&
         TryUseRetry(request);
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
  // If an earlier attempt may have run, this one counts as another request of
  // the tenant.
  quotas::QuotaCell* const quota =
      request.m_verdict != Verdict::kNotRun ? request.m_quota.get() : nullptr;
  if (quota != nullptr && !quota->HasRoom(MonoClock::now()))
    return false;
  const steering::RetryAnswer answer = steering::DecideRetry(
      {.m_verdict = request.m_verdict,
       .m_is_repeatable = request.m_is_repeatable,
       .m_attempts = request.m_attempts,
       .m_max_attempts = request.m_route.m_max_attempts,
       .m_remaining = request::Remaining(request.m_deadline, MonoClock::now())},
      request.m_service.m_retry_budget_permille, *request.m_retry_budget);
  if (answer != steering::RetryAnswer::kRetry)
    m_metrics.CountDeniedRetry(answer);
  return answer == steering::RetryAnswer::kRetry &&
         (quota == nullptr || quota->TrySpend(MonoClock::now()));
}

}  // namespace jujube::entry
