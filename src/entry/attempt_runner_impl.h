// Definitions of AttemptRunner, included by the sources that instantiate it.

#pragma once

#include "entry/attempt_runner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "entry/connect_limit.h"
#include "entry/connection_reuse.h"
#include "entry/link_turn.h"
#include "entry/refusal.h"
#include "net/http_fields.h"
#include "observe/log.h"

namespace jujube::entry {

namespace asio = boost::asio;

namespace attempt_internal {

inline constexpr std::size_t kChunkBytes = 16384;
inline constexpr std::uint16_t kMisdirectedRequest = 421;

// An upstream that has forgotten an idle connection resets it at once. A later
// failure has another cause, such as a response that was lost.
inline constexpr std::chrono::milliseconds kForgottenAnswerTime{100};

// Estimated size of the head of a message.
inline constexpr std::size_t kHeadBytes = kChunkBytes / 16;

// The body of a refusal is read only so that its connection can be kept.
inline constexpr std::chrono::milliseconds kRefusalBodyTimeout{250};

inline bool IsTimeout(const Error& error) {
  return error.m_code == ErrorCode::kTimeout;
}

}  // namespace attempt_internal

template <Dialect D>
void AttemptRunner<D>::RecordEvent(request::AttemptEvent event) {
  m_result.m_attempt = request::ApplyEvent(m_result.m_attempt, event);
}

template <Dialect D>
void AttemptRunner<D>::SetFailure(Failure failure, const Error& error) {
  if (m_result.m_failure)
    return;
  m_result.m_failure =
      attempt_internal::IsTimeout(error) ? Failure::kTimeout : failure;
  m_result.m_error = error.m_message;
}

template <Dialect D>
asio::awaitable<AttemptResult> AttemptRunner<D>::Run(
    const steering::Selection& selection,
    OutgoingRequest& request,
    bool is_repeatable) {
  m_is_repeatable = is_repeatable;
  // Each span ends with its step or, on failure, when this function returns.
  SpanScope connect = m_span.Child("connect");
  if (!co_await OpenConnection(selection)) {
    connect.SetFailed();
    co_return std::move(m_result);
  }
  connect.SetAttribute("reused", m_result.m_attempt.m_is_reused_connection);
  connect.End();
  SpanScope send = m_span.Child("send");
  if (!co_await SendRequest(request, selection)) {
    send.SetFailed();
    co_return std::move(m_result);
  }
  send.End();
  SpanScope response = m_span.Child("response");
  std::optional<ResponseHead> head =
      co_await ReadHead(*selection.m_slot.Counters());
  if (!head) {
    response.SetFailed();
    if (m_result.m_attempt.m_is_reused_connection &&
        *m_result.m_failure == Failure::kResponseTruncated &&
        !m_result.m_is_cancelled &&
        MonoClock::now() - m_send_started_at <
            attempt_internal::kForgottenAnswerTime + 2 * selection.m_delay)
      m_pool.OnReuseFailed(MonoClock::now());
    co_return std::move(m_result);
  }
  const auto keep_alive = net::FindHeader(head->m_headers, "Keep-Alive");
  if (keep_alive)
    m_stated_idle_timeout = ParseKeepAliveTimeout(*keep_alive);
  response.SetAttribute("http.status", head->m_status);
  RecordReport(*head, selection);
  const bool has_body = request.m_head.m_method != "HEAD";
  const bool names_request = D::NamesRequest(*head);
  co_await ReceiveResponse(*head, has_body);
  if (m_result.m_failure)
    response.SetFailed();
  // A faulty instance may write a refusal once more. If the refusal names no
  // request, it would be taken for the response to the next one.
  const bool is_connection_kept =
      !m_result.m_failure ||
      (*m_result.m_failure == Failure::kNotStarted && names_request);
  // Bytes owed to the upstream must not be replaced by those of another
  // request.
  if (is_connection_kept && !m_is_body_unfinished && m_connection != nullptr) {
    m_pool.Return(selection.m_endpoint, selection.m_incarnation,
                  std::move(m_connection), m_stated_idle_timeout,
                  MonoClock::now());
  }
  co_return std::move(m_result);
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::OpenConnection(
    const steering::Selection& selection) {
  m_connection = m_pool.TakeIdle(selection.m_endpoint, selection.m_incarnation,
                                 m_is_repeatable, MonoClock::now());
  if (m_connection != nullptr) {
    m_result.m_attempt.m_is_reused_connection = true;
    m_connection->SetDeadline(m_deadline);
    co_return true;
  }
  co_return co_await ConnectNew(selection);
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::ConnectNew(
    const steering::Selection& selection) {
  const MonoTime now = MonoClock::now();
  m_connection = m_pool.MakeConnection();
  if (D::kTakesCloseDelimited)
    m_connection->TakeCloseDelimited();
  const bool was_link_busy = m_link.IsBusy(now);
  const MonoTime connect_deadline =
      now + ConnectLimit(
                {.m_timeout = m_connect_timeout,
                 .m_one_way_delay = m_link.HasRate()
                                        ? m_pool.OneWayDelay(selection.m_region,
                                                             selection.m_delay)
                                        : selection.m_delay,
                 .m_link_backlog = m_link.Backlog(limits::LinkSide::kOut, now) +
                                   m_link.Backlog(limits::LinkSide::kIn, now),
                 .m_remaining = m_deadline - now});
  m_connection->SetDeadline(std::min(m_deadline, connect_deadline));
  const Status connected = co_await m_connection->Connect(selection.m_endpoint);
  m_connection->SetDeadline(m_deadline);
  if (connected) {
    m_pool.OnConnected(selection.m_region, now, MonoClock::now());
    co_return true;
  }
  SetConnectFailure(connected.error(), now, was_link_busy,
                    connect_deadline < m_deadline);
  co_return false;
}

template <Dialect D>
void AttemptRunner<D>::SetConnectFailure(const Error& error,
                                         MonoTime started,
                                         bool was_link_busy,
                                         bool is_expired) {
  SetFailure(Failure::kConnectFailed, error);
  const MonoTime now = MonoClock::now();
  const bool is_timeout = attempt_internal::IsTimeout(error);
  m_result.m_is_connect_timeout = is_expired && is_timeout;
  // The request deadline has not passed, so another instance can be tried.
  if (m_result.m_is_connect_timeout)
    m_result.m_failure = Failure::kConnectFailed;
  if (!is_timeout)
    return;
  const bool is_other_connected = m_pool.LastConnectedAt() > started;
  m_result.m_is_link_busy = !IsSignOfLostUpstream(
      {.m_was_link_busy = was_link_busy || m_link.IsBusy(now),
       .m_did_other_succeed = is_other_connected});
  const auto to_ms = [](MonoClock::duration duration) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration)
            .count());
  };
  const auto state_of = [&](limits::LinkSide side) {
    return std::to_string(m_link.UtilizationPermille(side, now)) +
           " permille, queue " + to_ms(m_link.Backlog(side, now)) + " ms";
  };
  m_result.m_error +=
      " after " + to_ms(now - started) + " ms; link out " +
      state_of(limits::LinkSide::kOut) + ", in " +
      state_of(limits::LinkSide::kIn) +
      (is_other_connected ? "; other connects succeeded meanwhile" : "");
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendRequest(
    OutgoingRequest& request,
    const steering::Selection& selection) {
  const bool has_capacity = co_await m_pacer.WaitForCapacity(
      LinkDirection::kToUpstream,
      request.m_body.size() + attempt_internal::kHeadBytes, m_deadline);
  if (!has_capacity) {
    SetFailure(Failure::kTimeout,
               MakeError(ErrorCode::kTimeout,
                         "link rate limit: no capacity before the deadline"));
    co_return false;
  }
  // The upstream may have closed the idle connection during the wait above.
  if (m_result.m_attempt.m_is_reused_connection && !m_is_repeatable &&
      m_connection->Stale()) {
    m_pool.OnReuseFailed(MonoClock::now());
    m_result.m_attempt.m_is_reused_connection = false;
    const bool is_connected = co_await ConnectNew(selection);
    if (!is_connected)
      co_return false;
  }
  // The caller may have disconnected during earlier attempts or the connect.
  if (m_exchange.IsCallerGone()) {
    SetFailure(Failure::kCallerDisconnected,
               MakeError(ErrorCode::kIo, "the caller closed its connection"));
    co_return false;
  }
  // Another response may have arrived during the connect or the wait above.
  if (!selection.m_slot.Counters()->AcceptsRequests(MonoClock::now())) {
    m_result.m_is_withheld = true;
    SetFailure(Failure::kConnectFailed,
               MakeError(ErrorCode::kUnavailable,
                         "the instance stated that it wants no requests"));
    co_return false;
  }
  if (!m_lease.IsValid()) {
    m_result.m_is_withheld = true;
    SetFailure(Failure::kConnectFailed,
               MakeError(ErrorCode::kUnavailable,
                         "the caller's key was taken away or its lease ran "
                         "out"));
    co_return false;
  }
  RecordEvent(request::AttemptEvent::kSendStarted);
  m_send_started_at = MonoClock::now();
  m_link.Record(limits::LinkSide::kOut, attempt_internal::kHeadBytes,
                MonoClock::now());
  const Status sent = co_await m_connection->SendHead(request.m_head);
  if (!sent) {
    SetFailure(Failure::kWriteFailed, sent.error());
    co_return false;
  }
  if (request.m_head.m_has_body && !co_await SendRequestBody(request))
    co_return false;
  if (!m_is_body_unfinished)
    RecordEvent(request::AttemptEvent::kSent);
  co_return true;
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendRequestBody(
    OutgoingRequest& request) {
  bool is_sent = false;
  switch (request.m_body_mode) {
    case BodyMode::kBuffered:
      is_sent = co_await SendBufferedBody(request.m_body);
      break;
    case BodyMode::kStreamed:
      is_sent = co_await SendBufferedBody(request.m_body);
      if (is_sent)
        is_sent = co_await StreamRequestBody();
      break;
    case BodyMode::kKept:
      m_is_body_unfinished = true;
      m_connection->WatchInput([this] {
        m_is_answered_early = true;
        m_exchange.CancelRead();
        m_connection->CancelOperations();
      });
      is_sent = co_await SendKeptBody(request);
      m_connection->UnwatchInput();
      // An upstream that stops reading may have answered. Its response states
      // what became of the request.
      if (m_is_answered_early ||
          (m_result.m_failure &&
           *m_result.m_failure == Failure::kWriteFailed)) {
        m_result.m_failure.reset();
        m_result.m_error.clear();
        co_return true;
      }
      break;
  }
  if (!is_sent)
    co_return false;
  const Status ended = co_await m_connection->EndBody();
  if (!ended) {
    SetFailure(Failure::kWriteFailed, ended.error());
    co_return false;
  }
  m_is_body_unfinished = false;
  co_return true;
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendBufferedBody(
    std::string_view body) {
  if (!m_link.HasRate() || body.size() <= limits::HostLink::kMaxSmallBytes) {
    m_link.Record(limits::LinkSide::kOut, body.size(), MonoClock::now());
    co_return co_await SendBodyChunk(body);
  }
  while (!body.empty()) {
    const std::string_view chunk = body.substr(0, m_link.ChunkBytes());
    if (!co_await SendInTurn(chunk))
      co_return false;
    body.remove_prefix(chunk.size());
  }
  co_return true;
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendInTurn(std::string_view data) {
  co_await WaitForTurn(m_link, limits::LinkSide::kOut, data.size(), m_deadline);
  co_return co_await SendBodyChunk(data);
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendKeptBody(OutgoingRequest& request) {
  const std::size_t chunk_bytes = m_link.ChunkBytes();
  std::array<char, attempt_internal::kChunkBytes> buffer{};
  std::size_t sent = 0;
  while (!m_is_answered_early) {
    if (sent == request.m_body.size()) {
      if (m_exchange.IsBodyRead())
        co_return true;
      const std::optional<std::size_t> count =
          co_await ReadCallerChunk(std::span(buffer).first(chunk_bytes));
      if (!count)
        co_return false;
      if (request.m_body.size() + *count > request.m_max_body_bytes) {
        SetFailure(Failure::kCallerDisconnected,
                   MakeError(ErrorCode::kInvalidInput,
                             "the body is larger than allowed"));
        co_return false;
      }
      request.m_body.append(buffer.data(), *count);
      if (*count == 0)
        continue;
    }
    const std::string_view chunk =
        std::string_view(request.m_body).substr(sent, chunk_bytes);
    if (!co_await SendInTurn(chunk))
      co_return false;
    sent += chunk.size();
  }
  co_return true;
}

template <Dialect D>
asio::awaitable<std::optional<std::size_t>> AttemptRunner<D>::ReadCallerChunk(
    std::span<char> buffer) {
  const Result<std::size_t> count = co_await m_exchange.ReadSome(buffer);
  if (!count && m_is_answered_early)
    co_return 0;
  if (!count) {
    SetFailure(Failure::kCallerDisconnected, count.error());
    co_return std::nullopt;
  }
  const std::size_t bytes = count.value();
  co_await WaitForTurn(m_link, limits::LinkSide::kIn, bytes, m_deadline);
  const bool has_capacity = co_await m_pacer.WaitForCapacity(
      LinkDirection::kToUpstream, bytes, m_deadline);
  if (!has_capacity) {
    SetFailure(Failure::kTimeout,
               MakeError(ErrorCode::kTimeout,
                         "link rate limit: no capacity before the deadline"));
    co_return std::nullopt;
  }
  co_return count.value();
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendBodyChunk(std::string_view data) {
  const Status sent = co_await m_connection->SendBody(data);
  if (!sent)
    SetFailure(Failure::kWriteFailed, sent.error());
  co_return sent.has_value();
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::StreamRequestBody() {
  std::array<char, attempt_internal::kChunkBytes> buffer{};
  while (true) {
    const std::optional<std::size_t> count =
        co_await ReadCallerChunk(std::span(buffer).first(m_link.ChunkBytes()));
    if (!count)
      co_return false;
    if (*count == 0)
      co_return true;
    if (!co_await SendInTurn({buffer.data(), *count}))
      co_return false;
  }
}

template <Dialect D>
asio::awaitable<std::optional<ResponseHead>> AttemptRunner<D>::ReadHead(
    const steering::InstanceCounters& counters) {
  bool is_caller_gone = false;
  net::HttpConnection* connection = m_connection.get();
  std::optional<AttemptWatch::Registration> registration;
  if (m_is_repeatable) {
    registration.emplace(m_watch, counters, [this] {
      m_result.m_is_cancelled = true;
      m_connection->Close();
    });
    m_exchange.Watch([&is_caller_gone, connection] {
      is_caller_gone = true;
      connection->Close();
    });
  }
  Result<ResponseHead> head = co_await m_connection->ReadHead();
  if (m_is_repeatable)
    m_exchange.Unwatch();
  registration.reset();
  if (head) {
    m_result.m_is_cancelled = false;
    co_return std::move(head).value();
  }
  if (is_caller_gone) {
    SetFailure(Failure::kCallerDisconnected,
               MakeError(ErrorCode::kIo, "the caller closed its connection"));
  } else if (m_result.m_is_cancelled) {
    SetFailure(Failure::kResponseTruncated,
               MakeError(ErrorCode::kIo,
                         "the instance was replaced during the request"));
  } else {
    SetFailure(Failure::kResponseTruncated, head.error());
  }
  co_return std::nullopt;
}

template <Dialect D>
asio::awaitable<std::optional<std::size_t>> AttemptRunner<D>::ReadBodyChunk(
    std::span<char> buffer) {
  const Result<std::size_t> count = co_await m_connection->ReadSome(
      buffer.first(std::min(buffer.size(), m_link.ChunkBytes())));
  if (!count) {
    SetFailure(Failure::kResponseTruncated, count.error());
    co_return std::nullopt;
  }
  m_response_body_bytes += count.value();
  if (m_response_body_bytes <= limits::HostLink::kMaxSmallBytes) {
    m_link.Record(limits::LinkSide::kIn, count.value(), MonoClock::now());
  } else {
    co_await WaitForTurn(m_link, limits::LinkSide::kIn, count.value(),
                         m_deadline);
  }
  if (!co_await m_pacer.WaitForCapacity(LinkDirection::kFromUpstream,
                                        count.value(), m_deadline)) {
    SetFailure(Failure::kTimeout,
               MakeError(ErrorCode::kTimeout,
                         "link rate limit: no capacity before the deadline"));
    co_return std::nullopt;
  }
  co_return count.value();
}

template <Dialect D>
void AttemptRunner<D>::RecordReport(const ResponseHead& head,
                                    const steering::Selection& selection) {
  // The response comes from another instance, which has taken over the address.
  if (head.m_status == attempt_internal::kMisdirectedRequest)
    return;
  m_result.m_report = D::ReportOf(head);
  const InstanceReport& report = m_result.m_report;
  const steering::ReportChanges changes =
      selection.m_slot.Counters()->RecordReport(report, MonoClock::now());
  if (changes.m_has_begun_to_leave) {
    observe::Log(LogEvent::kInstanceStatedLeave,
                 {{"service", m_route.m_service.m_value},
                  {"instance", selection.m_instance.m_value},
                  {"incarnation", selection.m_incarnation}});
  }
  if (changes.m_has_other_limit) {
    const auto limit = report.m_requests_per_1000s;
    observe::Log(LogEvent::kInstanceStatedLimit,
                 {{"service", m_route.m_service.m_value},
                  {"instance", selection.m_instance.m_value},
                  {"incarnation", selection.m_incarnation},
                  {"requests_per_1000s",
                   limit ? std::to_string(*limit) : std::string("none")}});
  }
}

template <Dialect D>
asio::awaitable<void> AttemptRunner<D>::ReceiveResponse(ResponseHead& head,
                                                        bool has_body) {
  if (!D::IsResponseTo(head, m_route)) {
    // A late response to an earlier request on this connection.
    m_connection->Close();
    SetFailure(
        Failure::kResponseTruncated,
        MakeError(ErrorCode::kIo, "the response belongs to another request"));
    co_return;
  }
  const bool not_started = D::IsNotStarted(head);
  RecordEvent(not_started ? request::AttemptEvent::kResponseHeadNotStarted
                          : request::AttemptEvent::kResponseHead);
  if (not_started) {
    m_connection->SetDeadline(std::min(
        m_deadline, MonoClock::now() + attempt_internal::kRefusalBodyTimeout));
  }
  std::string body;
  std::array<char, attempt_internal::kChunkBytes> chunk{};
  bool is_body_ended = !has_body;  // also set when reading fails
  while (!is_body_ended && body.size() <= kMaxBufferedResponseBytes) {
    const std::optional<std::size_t> count = co_await ReadBodyChunk(chunk);
    is_body_ended = !count || *count == 0;
    if (!is_body_ended)
      body.append(chunk.data(), *count);
  }
  if (is_body_ended || not_started)
    FinishBufferedResponse(head, body, not_started);
  else
    co_await StreamResponse(head, std::move(body));
}

template <Dialect D>
void AttemptRunner<D>::FinishBufferedResponse(const ResponseHead& head,
                                              const std::string& body,
                                              bool is_not_started) {
  if (is_not_started) {
    // The refusal is valid even if its body was truncated.
    m_result.m_is_misdirected =
        head.m_status == attempt_internal::kMisdirectedRequest;
    m_result.m_failure = Failure::kNotStarted;
    m_result.m_error = "the upstream did not start the request";
    return;
  }
  if (m_result.m_failure)
    return;
  RecordEvent(request::AttemptEvent::kResponseComplete);
  m_result.m_response =
      StoredAnswer{.m_status = head.m_status,
                   .m_headers = D::EndToEndHeaders(head.m_headers),
                   .m_body = body};
}

template <Dialect D>
asio::awaitable<void> AttemptRunner<D>::StreamResponse(ResponseHead& head,
                                                       std::string buffered) {
  head.m_headers = D::EndToEndHeaders(head.m_headers);
  const auto set_caller_gone = [&](const Status& status) {
    SetFailure(Failure::kCallerDisconnected, status.error());
  };
  m_result.m_is_head_forwarded = true;
  Status status = co_await m_exchange.Begin(head);
  if (status) {
    status = co_await WriteInTurn(m_exchange, m_link, buffered, m_deadline);
  }
  if (!status) {
    set_caller_gone(status);
    co_return;
  }
  std::array<char, attempt_internal::kChunkBytes> chunk{};
  while (true) {
    const std::optional<std::size_t> count = co_await ReadBodyChunk(chunk);
    if (!count)
      co_return;
    if (*count == 0)
      break;
    status = co_await WriteInTurn(m_exchange, m_link, {chunk.data(), *count},
                                  m_deadline);
    if (!status) {
      set_caller_gone(status);
      co_return;
    }
  }
  RecordEvent(request::AttemptEvent::kResponseComplete);
  status = co_await m_exchange.End();
  if (!status)
    set_caller_gone(status);
}

}  // namespace jujube::entry
