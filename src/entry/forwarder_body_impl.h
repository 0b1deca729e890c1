// Definitions of Forwarder for the body of a request and its claim. Included by
// forwarder_impl.h.

#pragma once

#include "entry/forwarder_impl.h"

namespace jujube::entry {

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
  // A claim needs the digest of the whole body.
  if (request.m_route.m_is_upload && !request.m_is_repeatable &&
      !D::kUsesClaims)
    co_return co_await BeginUpload(exchange, request, content_length);
  const bool is_small =
      content_length <= forwarder_internal::kMaxBufferedBodyBytes;
  if (!is_small && request.m_is_repeatable) {
    outgoing.m_body_mode = BodyMode::kStreamed;
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
    outgoing.m_body_mode = BodyMode::kStreamed;
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
asio::awaitable<std::optional<Refusal>> Forwarder<D, P>::BeginUpload(
    net::HttpExchange& exchange,
    Request& request,
    std::uint64_t content_length) {
  const std::size_t max_bytes = request.m_service.m_max_body_bytes;
  if (content_length != UINT64_MAX && content_length > max_bytes) {
    co_return RefuseBody(request, "the body is larger than " +
                                      std::to_string(max_bytes) + " bytes");
  }
  OutgoingRequest& outgoing = request.m_outgoing;
  outgoing.m_body_mode = BodyMode::kKept;
  outgoing.m_max_body_bytes = max_bytes;
  exchange.SetBodyDeadline(request.m_deadline.m_time);
  std::array<char, attempt_internal::kChunkBytes> chunk{};
  while (outgoing.m_body.size() < forwarder_internal::kMinUploadBeginning &&
         !exchange.IsBodyRead()) {
    const Result<std::size_t> count = co_await exchange.ReadSome(chunk);
    if (!count && count.error().m_code == ErrorCode::kTimeout) {
      m_metrics.CountRefusal(RefusalCause::kBadBody);
      co_return Refusal{.m_status = forwarder_internal::kRequestTimeout,
                        .m_reason = count.error().m_message};
    }
    if (!count)
      co_return RefuseBody(request, count.error().m_message);
    m_shared.m_link.Record(limits::LinkSide::kIn, count.value(),
                           MonoClock::now());
    outgoing.m_body.append(chunk.data(), count.value());
  }
  if (exchange.IsBodyRead()) {
    outgoing.m_body_mode = BodyMode::kBuffered;
    co_return std::nullopt;
  }
  // Without memory for a copy, the body can be sent only once.
  if (!TryReserveBody(request, content_length)) {
    outgoing.m_body_mode = BodyMode::kStreamed;
    co_return std::nullopt;
  }
  // Growing in steps would take up to twice the size while it is copied.
  if (content_length != UINT64_MAX)
    outgoing.m_body.reserve(content_length);
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

}  // namespace jujube::entry
