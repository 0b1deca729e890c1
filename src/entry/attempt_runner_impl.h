// Definitions of AttemptRunner, included by the sources that instantiate it.

#pragma once

#include "entry/attempt_runner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "entry/refusal.h"
#include "net/http_fields.h"
#include "observe/log.h"

namespace jujube::entry {

namespace asio = boost::asio;

namespace attempt_internal {

inline constexpr std::size_t kChunkBytes = 16384;
inline constexpr std::uint16_t kMisdirectedRequest = 421;

// Added to the connect timeout, in one-way delays of the link. The TCP
// handshake takes two; the other two are for a busy instance that accepts late.
inline constexpr int kConnectOneWayDelays = 4;

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
    const OutgoingRequest& request,
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
  if (!co_await SendRequest(request, *selection.m_slot.Counters())) {
    send.SetFailed();
    co_return std::move(m_result);
  }
  send.End();
  SpanScope response = m_span.Child("response");
  std::optional<ResponseHead> head =
      co_await ReadHead(*selection.m_slot.Counters());
  if (!head) {
    response.SetFailed();
    co_return std::move(m_result);
  }
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
  if (is_connection_kept && m_connection != nullptr) {
    m_pool.Return(selection.m_endpoint, selection.m_incarnation,
                  std::move(m_connection), MonoClock::now());
  }
  co_return std::move(m_result);
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::OpenConnection(
    const steering::Selection& selection) {
  const MonoTime now = MonoClock::now();
  if (m_is_repeatable || D::kReusesConnectionsForNonRepeatable) {
    m_connection =
        m_pool.TakeIdle(selection.m_endpoint, selection.m_incarnation, now);
  }
  if (m_connection != nullptr) {
    m_result.m_attempt.m_is_reused_connection = true;
    m_connection->SetDeadline(m_deadline);
    co_return true;
  }
  m_connection = m_pool.MakeConnection();
  if (D::kTakesCloseDelimited)
    m_connection->TakeCloseDelimited();
  const MonoTime connect_deadline =
      now + m_connect_timeout +
      attempt_internal::kConnectOneWayDelays * selection.m_delay;
  m_connection->SetDeadline(std::min(m_deadline, connect_deadline));
  const Status connected = co_await m_connection->Connect(selection.m_endpoint);
  m_connection->SetDeadline(m_deadline);
  if (connected)
    co_return true;
  SetFailure(Failure::kConnectFailed, connected.error());
  m_result.m_is_connect_timeout =
      connect_deadline < m_deadline &&
      attempt_internal::IsTimeout(connected.error());
  // The request deadline has not passed, so another instance can be tried.
  if (m_result.m_is_connect_timeout)
    m_result.m_failure = Failure::kConnectFailed;
  co_return false;
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendRequest(
    const OutgoingRequest& request,
    const steering::InstanceCounters& counters) {
  // kChunkBytes / 16 is an estimate of the size of the request head.
  const bool has_capacity = co_await m_pacer.WaitForCapacity(
      LinkDirection::kToUpstream,
      request.m_body.size() + attempt_internal::kChunkBytes / 16, m_deadline);
  if (!has_capacity) {
    SetFailure(Failure::kTimeout,
               MakeError(ErrorCode::kTimeout,
                         "link rate limit: no capacity before the deadline"));
    co_return false;
  }
  // The caller may have disconnected during earlier attempts or the connect.
  if (m_exchange.IsCallerGone()) {
    SetFailure(Failure::kCallerDisconnected,
               MakeError(ErrorCode::kIo, "the caller closed its connection"));
    co_return false;
  }
  // Another response may have arrived during the connect or the wait above.
  if (!counters.AcceptsRequests(MonoClock::now())) {
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
  const Status sent = co_await m_connection->SendHead(request.m_head);
  if (!sent) {
    SetFailure(Failure::kWriteFailed, sent.error());
    co_return false;
  }
  if (request.m_head.m_has_body) {
    if (!co_await SendBodyChunk(request.m_body))
      co_return false;
    if (request.m_is_body_streamed && !co_await StreamRequestBody())
      co_return false;
    const Status ended = co_await m_connection->EndBody();
    if (!ended) {
      SetFailure(Failure::kWriteFailed, ended.error());
      co_return false;
    }
  }
  RecordEvent(request::AttemptEvent::kSent);
  co_return true;
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
  std::array<char, attempt_internal::kChunkBytes> chunk{};
  while (true) {
    const Result<std::size_t> count = co_await m_exchange.ReadSome(chunk);
    if (!count) {
      SetFailure(Failure::kCallerDisconnected, count.error());
      co_return false;
    }
    if (count.value() == 0)
      co_return true;
    if (!co_await m_pacer.WaitForCapacity(LinkDirection::kToUpstream,
                                          count.value(), m_deadline)) {
      SetFailure(Failure::kTimeout,
                 MakeError(ErrorCode::kTimeout,
                           "link rate limit: no capacity before the deadline"));
      co_return false;
    }
    if (!co_await SendBodyChunk({chunk.data(), count.value()}))
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
    SetFailure(
        Failure::kResponseTruncated,
        MakeError(ErrorCode::kIo,
                  "the instance was taken out of use during the request"));
  } else {
    SetFailure(Failure::kResponseTruncated, head.error());
  }
  co_return std::nullopt;
}

template <Dialect D>
asio::awaitable<std::optional<std::size_t>> AttemptRunner<D>::ReadBodyChunk(
    std::span<char> buffer) {
  const Result<std::size_t> count = co_await m_connection->ReadSome(buffer);
  if (!count) {
    SetFailure(Failure::kResponseTruncated, count.error());
    co_return std::nullopt;
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
void AttemptRunner<D>::RecordReport(
    const ResponseHead& head,
    const steering::Selection& selection) const {
  // The response comes from another instance, which has taken over the address.
  if (head.m_status == attempt_internal::kMisdirectedRequest)
    return;
  const InstanceReport report = D::ReportOf(head);
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
  if (status)
    status = co_await m_exchange.Write(buffered);
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
    status = co_await m_exchange.Write({chunk.data(), *count});
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
