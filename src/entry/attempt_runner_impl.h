// Definitions of AttemptRunner, for the sources that instantiate it.

#pragma once

#include "entry/attempt_runner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "entry/refusal.h"
#include "net/http_fields.h"

namespace jujube::entry {

namespace asio = boost::asio;

namespace attempt_internal {

inline constexpr std::size_t kPartBytes = 16384;
inline constexpr std::uint16_t kMisdirected = 421;

// A connection takes two trips of the link; a busy instance accepts late.
inline constexpr int kConnectTrips = 4;

inline bool FailedByDeadline(const Error& error) {
  return error.m_code == ErrorCode::kTimeout;
}

}  // namespace attempt_internal

template <Dialect D>
void AttemptRunner<D>::Note(request::AttemptEvent event) {
  m_result.m_attempt = request::Next(m_result.m_attempt, event);
}

template <Dialect D>
void AttemptRunner<D>::Fail(Failure failure, const Error& error) {
  if (m_result.m_failure)
    return;
  m_result.m_failure =
      attempt_internal::FailedByDeadline(error) ? Failure::kTimeout : failure;
  m_result.m_error = error.m_message;
}

template <Dialect D>
asio::awaitable<AttemptResult> AttemptRunner<D>::Run(
    const steering::Selection& selection,
    const OutgoingRequest& request,
    bool is_repeatable) {
  m_is_repeatable = is_repeatable;
  // Each scope ends with its step or, on a failure, with this function.
  SpanScope connect = m_span.Child("connect");
  if (!co_await Open(selection)) {
    connect.Fail();
    co_return std::move(m_result);
  }
  connect.Set("reused", m_result.m_attempt.m_is_reused_connection);
  connect.End();
  SpanScope send = m_span.Child("send");
  if (!co_await Send(request)) {
    send.Fail();
    co_return std::move(m_result);
  }
  send.End();
  SpanScope response = m_span.Child("response");
  std::optional<ResponseHead> head =
      co_await ReadHead(*selection.m_slot.Counters());
  if (!head) {
    response.Fail();
    co_return std::move(m_result);
  }
  response.Set("http.status", head->m_status);
  const bool has_body = request.m_head.m_method != "HEAD";
  co_await TakeResponse(*head, has_body);
  if (m_result.m_failure)
    response.Fail();
  const bool is_whole =
      !m_result.m_failure || *m_result.m_failure == Failure::kNotStarted;
  if (is_whole && m_connection != nullptr) {
    m_pool.Return(selection.m_endpoint, selection.m_incarnation,
                  std::move(m_connection), MonoClock::now());
  }
  co_return std::move(m_result);
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::Open(
    const steering::Selection& selection) {
  const MonoTime now = MonoClock::now();
  if (m_is_repeatable || D::kReusesForAtMostOnce) {
    m_connection =
        m_pool.TakeIdle(selection.m_endpoint, selection.m_incarnation, now);
  }
  if (m_connection != nullptr) {
    m_result.m_attempt.m_is_reused_connection = true;
    m_connection->SetDeadline(m_deadline);
    co_return true;
  }
  m_connection = m_pool.MakeNew();
  if (D::kTakesCloseDelimited)
    m_connection->TakeCloseDelimited();
  const MonoTime limit = now + m_connect_timeout +
                         attempt_internal::kConnectTrips * selection.m_delay;
  m_connection->SetDeadline(std::min(m_deadline, limit));
  const Status connected = co_await m_connection->Connect(selection.m_endpoint);
  m_connection->SetDeadline(m_deadline);
  if (connected)
    co_return true;
  Fail(Failure::kConnectFailed, connected.error());
  m_result.m_is_silent = limit < m_deadline &&
                         attempt_internal::FailedByDeadline(connected.error());
  // Another instance may still be tried.
  if (m_result.m_is_silent)
    m_result.m_failure = Failure::kConnectFailed;
  co_return false;
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::Send(const OutgoingRequest& request) {
  const bool allowed = co_await m_pacer.Pass(
      LinkDirection::kToUpstream,
      request.m_body.size() + attempt_internal::kPartBytes / 16, m_deadline);
  if (!allowed) {
    Fail(Failure::kTimeout,
         MakeError(ErrorCode::kTimeout, "the link had no room in time"));
    co_return false;
  }
  // Time may have passed in earlier attempts and for the connection.
  if (m_exchange.IsCallerGone()) {
    Fail(Failure::kCallerGone,
         MakeError(ErrorCode::kIo, "the caller closed its connection"));
    co_return false;
  }
  Note(request::AttemptEvent::kSendStarted);
  const Status sent = co_await m_connection->SendHead(request.m_head);
  if (!sent) {
    Fail(Failure::kWriteFailed, sent.error());
    co_return false;
  }
  if (request.m_head.m_has_body) {
    if (!co_await SendPart(request.m_body))
      co_return false;
    if (request.m_streams_rest && !co_await SendRest())
      co_return false;
    const Status ended = co_await m_connection->EndBody();
    if (!ended) {
      Fail(Failure::kWriteFailed, ended.error());
      co_return false;
    }
  }
  Note(request::AttemptEvent::kSent);
  co_return true;
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendPart(std::string_view data) {
  const Status sent = co_await m_connection->SendBody(data);
  if (!sent)
    Fail(Failure::kWriteFailed, sent.error());
  co_return sent.has_value();
}

template <Dialect D>
asio::awaitable<bool> AttemptRunner<D>::SendRest() {
  std::array<char, attempt_internal::kPartBytes> part{};
  while (true) {
    const Result<std::size_t> count = co_await m_exchange.ReadSome(part);
    if (!count) {
      Fail(Failure::kCallerGone, count.error());
      co_return false;
    }
    if (count.value() == 0)
      co_return true;
    if (!co_await m_pacer.Pass(LinkDirection::kToUpstream, count.value(),
                               m_deadline)) {
      Fail(Failure::kTimeout,
           MakeError(ErrorCode::kTimeout, "the link had no room in time"));
      co_return false;
    }
    if (!co_await SendPart({part.data(), count.value()}))
      co_return false;
  }
}

template <Dialect D>
asio::awaitable<std::optional<ResponseHead>> AttemptRunner<D>::ReadHead(
    const steering::InstanceCounters& counters) {
  bool is_caller_gone = false;
  net::HttpConnection* connection = m_connection.get();
  std::optional<AttemptWatch::Entry> watched;
  if (m_is_repeatable) {
    watched.emplace(m_watch, counters, [this] {
      m_result.m_is_abandoned = true;
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
  watched.reset();
  if (head) {
    m_result.m_is_abandoned = false;
    co_return std::move(head).value();
  }
  if (is_caller_gone) {
    Fail(Failure::kCallerGone,
         MakeError(ErrorCode::kIo, "the caller closed its connection"));
  } else if (m_result.m_is_abandoned) {
    Fail(Failure::kAnswerCut,
         MakeError(ErrorCode::kIo, "the instance was set aside meanwhile"));
  } else {
    Fail(Failure::kAnswerCut, head.error());
  }
  co_return std::nullopt;
}

template <Dialect D>
asio::awaitable<std::optional<std::size_t>> AttemptRunner<D>::ReadPart(
    std::span<char> buffer) {
  const Result<std::size_t> count = co_await m_connection->ReadSome(buffer);
  if (!count) {
    Fail(Failure::kAnswerCut, count.error());
    co_return std::nullopt;
  }
  if (!co_await m_pacer.Pass(LinkDirection::kFromUpstream, count.value(),
                             m_deadline)) {
    Fail(Failure::kTimeout,
         MakeError(ErrorCode::kTimeout, "the link had no room in time"));
    co_return std::nullopt;
  }
  co_return count.value();
}

template <Dialect D>
asio::awaitable<void> AttemptRunner<D>::TakeResponse(ResponseHead& head,
                                                     bool has_body) {
  if (!D::IsResponseTo(head, m_route)) {
    // Late answer to an earlier request on the connection.
    m_connection->Close();
    Fail(Failure::kAnswerCut,
         MakeError(ErrorCode::kIo, "the response belongs to another request"));
    co_return;
  }
  m_result.m_reported_requests = D::ReportedRequests(head);
  const bool not_started = D::SaysNotStarted(head);
  Note(not_started ? request::AttemptEvent::kHeadNotStarted
                   : request::AttemptEvent::kHead);
  std::string body;
  std::array<char, attempt_internal::kPartBytes> part{};
  bool is_done = !has_body;
  bool is_long = false;
  while (!is_done && !is_long) {
    const std::optional<std::size_t> count = co_await ReadPart(part);
    is_done = !count || *count == 0;
    if (!is_done)
      body.append(part.data(), *count);
    is_long = body.size() > kMaxBufferedResponse && !not_started;
  }
  if (is_long)
    co_await Stream(head, std::move(body));
  else
    TakeWhole(head, body, not_started);
}

template <Dialect D>
void AttemptRunner<D>::TakeWhole(const ResponseHead& head,
                                 const std::string& body,
                                 bool is_not_started) {
  if (is_not_started) {
    // The refusal stands even if its body was cut.
    m_result.m_is_other_instance =
        head.m_status == attempt_internal::kMisdirected;
    m_result.m_failure = Failure::kNotStarted;
    m_result.m_error = "the upstream did not start the request";
    return;
  }
  if (m_result.m_failure)
    return;
  Note(request::AttemptEvent::kAnswerEnd);
  m_result.m_answer = StoredAnswer{.m_status = head.m_status,
                                   .m_headers = D::EndToEnd(head.m_headers),
                                   .m_body = body};
}

template <Dialect D>
asio::awaitable<void> AttemptRunner<D>::Stream(ResponseHead& head,
                                               std::string first) {
  head.m_headers = D::EndToEnd(head.m_headers);
  const auto caller_gone = [&](const Status& status) {
    Fail(Failure::kCallerGone, status.error());
  };
  m_result.m_is_head_forwarded = true;
  Status status = co_await m_exchange.Begin(head);
  if (status)
    status = co_await m_exchange.Write(first);
  if (!status) {
    caller_gone(status);
    co_return;
  }
  std::array<char, attempt_internal::kPartBytes> part{};
  while (true) {
    const std::optional<std::size_t> count = co_await ReadPart(part);
    if (!count)
      co_return;
    if (*count == 0)
      break;
    status = co_await m_exchange.Write({part.data(), *count});
    if (!status) {
      caller_gone(status);
      co_return;
    }
  }
  Note(request::AttemptEvent::kAnswerEnd);
  status = co_await m_exchange.End();
  if (!status)
    caller_gone(status);
}

}  // namespace jujube::entry
