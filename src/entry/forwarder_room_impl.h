// Definitions of Forwarder for room at the upstreams of a service. Included by
// forwarder_impl.h.

#pragma once

#include "core/hash.h"
#include "entry/forwarder_impl.h"

namespace jujube::entry {

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::PrepareRoom(const net::HttpExchange& exchange,
                                  const steering::ServiceUpstreams& service,
                                  std::size_t entry_hosts,
                                  Request& request) {
  const Route& route = request.m_route;
  const MonoTime now = request.m_received_at;
  request.m_room_state = &m_rooms.ForService(
      service, entry_hosts * m_shared.m_settings.m_worker_threads, now);
  request.m_repeat_key =
      MixHash(Hash64(exchange.RemoteAddress()), Hash64(route.m_target));
  const auto& room = request.m_room_state->m_room;
  // A request whose work alone takes longer than its target is held to its
  // deadline only: a late response is worth more to the caller than none.
  const bool can_be_in_time =
      route.m_target_latency &&
      room.CanMeet(route.m_rule_name, *route.m_target_latency);
  request.m_room_request = {
      .m_id = m_rooms.NextId(),
      .m_priority =
          std::min(route.m_priority.value_or(request.m_service.m_priority),
                   overload::kHighestPriority),
      .m_tenant = Hash64(route.m_tenant ? route.m_tenant->m_value
                                        : exchange.RemoteAddress()),
      .m_expected_response = room.ExpectedResponse(route.m_rule_name),
      .m_target_at = can_be_in_time ? now + *route.m_target_latency
                                    : request.m_deadline.m_time,
      .m_deadline = request.m_deadline.m_time,
      .m_is_early_repeat = m_rooms.IsEarlyRepeat(request.m_repeat_key, now)};
}

template <Dialect D, steering::SelectionPolicy P>
Refusal Forwarder<D, P>::RefuseRoom(Request& request,
                                    overload::RoomAnswer answer) {
  m_metrics.CountRefusal(RefusalCause::kNoRoom);
  request.m_verdict = request.VerdictWithoutClaim();
  return {.m_status = 503,
          .m_verdict = request.m_verdict,
          .m_reason = std::string(overload::ToString(answer)),
          .m_retry_after = forwarder_internal::kRetryAfter};
}

template <Dialect D, steering::SelectionPolicy P>
std::optional<Refusal> Forwarder<D, P>::PreviewRoom(
    const net::HttpExchange& exchange,
    Request& request) {
  if (request.m_room_state == nullptr || !exchange.Head().m_has_body)
    return std::nullopt;
  const overload::RoomDecision decision = request.m_room_state->m_room.Preview(
      request.m_room_request, request.m_received_at);
  request.m_expected_room = decision.m_expected_room;
  if (!overload::IsRefused(decision.m_answer))
    return std::nullopt;
  request.m_room_state->m_room.OnAsked(request.m_room_request.m_priority,
                                       request.m_received_at);
  return RefuseRoom(request, decision.m_answer);
}

template <Dialect D, steering::SelectionPolicy P>
asio::awaitable<bool> Forwarder<D, P>::TakeRoom(net::HttpExchange& exchange,
                                                Request& request) {
  if (request.m_room_state == nullptr)
    co_return true;
  const MonoTime asked_at = MonoClock::now();
  const overload::RoomDecision decision =
      m_rooms.Ask(*request.m_room_state, request.m_room_request, asked_at,
                  &request.m_room_ticket);
  request.m_expected_room = decision.m_expected_room;
  WaitOutcome outcome = decision.m_answer;
  if (decision.m_answer == overload::RoomAnswer::kWait) {
    SpanScope step = request.m_span.Child("wait");
    const std::function<bool()> is_stopping = [this] {
      const rcu::ReadSection section;
      return m_shared.m_view.Read(section).m_is_refusing_requests;
    };
    outcome = co_await m_rooms.Wait(
        exchange, *request.m_room_state, request.m_room_request,
        request.m_outgoing.m_body_mode == BodyMode::kBuffered, is_stopping,
        &request.m_room_ticket);
    step.SetAttribute("outcome", std::string(WaitOutcomeText(outcome)));
    step.End();
    LogWait(request, MonoClock::now() - asked_at, outcome);
  }
  if (outcome == overload::RoomAnswer::kGo)
    co_return true;
  FinishClaim(request, std::nullopt);
  // A caller that left gets no response; its connection is closed.
  if (outcome) {
    const Refusal refusal = RefuseRoom(request, *outcome);
    co_await Refuse(exchange, &request, refusal);
  }
  co_return false;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::RecordRoom(Request& request,
                                 const AttemptResult& result,
                                 std::chrono::nanoseconds elapsed) {
  if (request.m_room_state == nullptr)
    return;
  auto& room = request.m_room_state->m_room;
  const MonoTime now = MonoClock::now();
  const std::string& rule = request.m_route.m_rule_name;
  const milliseconds target = request.m_route.m_target_latency.value_or(
      request.m_service.m_default_deadline);
  const overload::StatedQueue stated{
      .m_waiting = result.m_report.m_waiting.value_or(0),
      .m_slots = result.m_report.m_slots.value_or(0)};
  if (result.m_failure == request::AttemptFailure::kNotStarted &&
      !result.m_is_misdirected) {
    room.OnRefused(now);
  } else if (result.m_failure == request::AttemptFailure::kTimeout ||
             result.m_failure == request::AttemptFailure::kCallerDisconnected) {
    room.OnGivenUp(rule, elapsed);
  } else if (!result.m_failure && forwarder_internal::OutcomeOf(result) ==
                                      steering::Outcome::kSuccess) {
    // A fast failure must not make the work look short.
    room.OnResponse(rule, elapsed, target, stated, now);
  }
}

template <Dialect D, steering::SelectionPolicy P>
milliseconds Forwarder<D, P>::ReturnDelayFor(const Request& request) {
  const MonoTime now = MonoClock::now();
  const std::chrono::nanoseconds remaining =
      request::Remaining(request.m_deadline, now);
  if (request.m_room_state == nullptr)
    return steering::SpreadRetryAfter(remaining, m_random());
  const overload::RoomRequest& asked = request.m_room_request;
  // The caller has the rest of its own time, which may exceed the time limit of
  // the route.
  const std::chrono::nanoseconds caller_remaining =
      request.m_route.m_caller_time_limit
          ? *request.m_route.m_caller_time_limit - (now - request.m_received_at)
          : remaining;
  const milliseconds delay = overload::ReturnDelay(
      {.m_remaining = caller_remaining,
       .m_expected_room = request.m_expected_room,
       .m_until_latest_start = overload::LatestStart(asked) - now,
       .m_ranks_above =
           request.m_room_state->m_room.RanksAbove(asked.m_priority, now),
       .m_draw = m_random()});
  m_rooms.RecordRefusal(request.m_repeat_key, now + delay);
  return delay;
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::LogRefusalWithRoom(const Request& request,
                                         const Refusal& refusal) {
  const Route& route = request.m_route;
  observe::Log(
      LogEvent::kRequestRefused,
      {{"request", route.m_request_id},
       {"route", route.m_rule_name},
       {"tenant", route.m_tenant ? std::string_view(route.m_tenant->m_value)
                                 : std::string_view()},
       {"status", refusal.m_status},
       {"verdict", VerdictText(refusal.m_verdict)},
       {"reason", refusal.m_reason},
       {"priority", request.m_room_request.m_priority},
       {"expected_room_ms",
        forwarder_internal::ToMilliseconds(request.m_expected_room)},
       {"retry_after_ms", refusal.m_retry_after}});
}

template <Dialect D, steering::SelectionPolicy P>
void Forwarder<D, P>::LogWait(const Request& request,
                              std::chrono::nanoseconds waited,
                              const WaitOutcome& outcome) {
  observe::Log(LogEvent::kRequestWaited,
               {{"request", request.m_route.m_request_id},
                {"route", request.m_route.m_rule_name},
                {"priority", request.m_room_request.m_priority},
                {"expected_room_ms",
                 forwarder_internal::ToMilliseconds(request.m_expected_room)},
                {"waited_ms", forwarder_internal::ToMilliseconds(waited)},
                {"outcome", WaitOutcomeText(outcome)}});
}

}  // namespace jujube::entry
