// Definitions of Forwarder for admission: key, quota and cap. Included by
// forwarder_impl.h.

#pragma once

#include "entry/forwarder_impl.h"

namespace jujube::entry {

template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::CheckAccess(net::HttpExchange& exchange,
                                                    Request& request) {
  const AccessState state{
      .m_may_be_outdated = MayBeOutdated(),
      .m_lease_end = m_shared.m_key_lease_end.load(std::memory_order_acquire)};
  const rcu::ReadSection section;
  const ServingView& view = m_shared.m_view.Read(section);
  request.m_quota.reset();
  const tenants::AccessAnswer answer = CheckTenantAccess(
      exchange.Head().m_headers, *view.m_tenants, state, request.m_route);
  if (answer == tenants::AccessAnswer::kTenant && view.m_quotas != nullptr) {
    const auto index = view.m_tenants->FindByKey(
        ReadCallerKey(exchange.Head().m_headers).m_key);
    if (index)
      request.m_quota = view.m_quotas->CellOf(*index);
  }
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

// Only the first answer of a flood: a tenant over its quota causes no other
// work.
template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<std::optional<Refusal>> Forwarder<D, P>::AwaitQuota(
    const Request& request) {
  if (request.m_quota == nullptr)
    co_return std::nullopt;
  const MonoTime wait_until = request.m_received_at + quotas::kMaxTokenWait;
  bool is_waiting = false;
  while (true) {
    const MonoTime now = MonoClock::now();
    if (request.m_quota->HasRoom(now))
      co_return std::nullopt;
    if (now >= wait_until || !request.m_quota->MayWait(now))
      co_return RefuseOverQuota(request);
    if (!std::exchange(is_waiting, true))
      request.m_quota->Want();
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             forwarder_internal::kTokenCheckInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// After admission, so that a request that is refused for another reason costs
// its tenant nothing.
template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::SpendQuota(const Request& request) {
  if (request.m_quota == nullptr || request.m_quota->TrySpend(MonoClock::now()))
    return std::nullopt;
  return RefuseOverQuota(request);
}

template <Dialect D, steering::SelectionPolicy P>
Refusal Forwarder<D, P>::RefuseOverQuota(const Request& request) {
  m_metrics.m_quota_refused.Add();
  return {
      .m_status = forwarder_internal::kTooManyRequests,
      .m_reason = "the tenant is over its quota",
      .m_retry_after = request.m_quota->Refuse(m_random(), MonoClock::now())};
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
  request.m_work = service->m_work;
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
  request.m_full_deadline = request.m_deadline.m_time;
  const bool fits_into_stop =
      ShortenToStop(view, request.m_received_at, request);
  std::optional<Refusal> bad_key = CheckKey(request);
  if (bad_key) {
    m_metrics.CountRefusal(RefusalCause::kBadKey);
    return bad_key;
  }
  if (m_controls_overload && m_shared.m_settings.m_waits_for_room)
    PrepareRoom(exchange, *service, view.m_entry_hosts, request);
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
       .m_may_outlast_host = !fits_into_stop});
  if (answer == steering::AdmissionAnswer::kAdmitted)
    return std::nullopt;
  RecordUnmetDemand(view, *service);
  return RefuseAdmission(request, answer);
}

template <Dialect D, steering::SelectionPolicy P>
Refusal Forwarder<D, P>::RefuseAdmission(const Request& request,
                                         steering::AdmissionAnswer answer) {
  m_metrics.CountRefusal(answer);
  return {.m_status = 503,
          .m_verdict = request.VerdictWithoutClaim(),
          .m_reason = std::string(steering::ToString(answer)),
          .m_retry_after = steering::RetryAfter(answer)};
}

template <Dialect D, steering::SelectionPolicy P>
bool Forwarder<D, P>::ShortenToStop(const ServingView& view,
                                    MonoTime now,
                                    Request& request) {
  if (!view.m_stop)
    return true;
  const request::StopFit fit = request::FitIntoStop(
      *view.m_stop, {.m_deadline = request.m_full_deadline,
                     .m_now = now,
                     .m_is_repeatable = request.m_is_repeatable});
  if (fit == request::StopFit::kShortened)
    request.m_deadline.m_time = view.m_stop->m_requests_end_by;
  return fit != request::StopFit::kRefused;
}

// Since the admission, a planned stop may have begun or have come closer:
// reading the body, the claim and the wait for room take time.
template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::RecheckStop(net::HttpExchange& exchange,
                                                    Request& request) {
  const rcu::ReadSection section;
  const ServingView& view = m_shared.m_view.Read(section);
  if (!view.m_stop)
    return std::nullopt;
  if (ShortenToStop(view, MonoClock::now(), request)) {
    exchange.SetResponseDeadline(request.m_deadline.m_time);
    return std::nullopt;
  }
  request.m_verdict = request.VerdictWithoutClaim();
  return RefuseAdmission(request, steering::AdmissionAnswer::kHostDraining);
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

}  // namespace jujube::entry
