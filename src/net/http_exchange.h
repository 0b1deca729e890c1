// HttpExchange: a request that a server received and the response to it.
//
//   asio::awaitable<void> Handle(HttpExchange& exchange) {
//     ResponseHead head{.m_status = 200};
//     co_await exchange.Respond(std::move(head), "hello\n");
//   }
//
// Pass aggregates as named variables, as above: GCC 12 destroys a braced
// temporary in a co_await expression twice.
//
// Not thread-safe: use it on the thread of its connection. If a handler returns
// before the response is complete, the connection is closed, so that the caller
// can detect the truncation.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/result.h"
#include "gen/http.h"

namespace jujube::net {

namespace asio = boost::asio;

struct HttpExchangeState;

inline constexpr std::chrono::milliseconds kMinWriteTime{500};

class HttpExchange {
 public:
  explicit HttpExchange(HttpExchangeState& state) : m_state(state) {}

  const RequestHead& Head() const;           // head of the request
  const std::string& RemoteAddress() const;  // IP address of the caller

  // Reads the next bytes of the request body. Returns 0 at its end.
  asio::awaitable<Result<std::size_t>> ReadSome(std::span<char> buffer);
  // Reads of the body fail with kTimeout after this time, however slowly the
  // caller sends. By default each read has a timeout of its own.
  void SetBodyDeadline(MonoTime deadline);
  // Ends a read in progress with an error; the body can be read on later.
  void CancelRead();
  // Reads and discards the remaining body until its end, max_bytes or the
  // deadline. A caller that still sends when its connection is closed could
  // lose the response.
  asio::awaitable<void> DiscardBody(std::size_t max_bytes, MonoTime deadline);
  // Reads the remaining body. Fails if it is larger than max_bytes.
  asio::awaitable<Result<std::string>> ReadAll(std::size_t max_bytes);
  bool IsBodyRead() const;  // the complete request body was read

  // Sets the time after which a caller that does not read its response is
  // disconnected. A response gets kMinWriteTime beyond it, or after its
  // beginning if that is later, so that one which is sent at the deadline
  // arrives.
  void SetResponseDeadline(MonoTime deadline);

  // Sends a complete response.
  asio::awaitable<Status> Respond(ResponseHead head, std::string_view body);

  // Streams a response: Begin, any number of Write, End. The body is chunked
  // unless head.m_content_length is set. Begin and Respond silently drop the
  // header fields for which IsHopByHop (net/http_fields.h) is true.
  asio::awaitable<Status> Begin(ResponseHead head);
  asio::awaitable<Status> Write(std::string_view data);
  asio::awaitable<Status> End();
  bool IsResponseStarted() const;  // Begin or Respond was called

  // True if the caller has closed its connection. Requires that no operation is
  // in progress on the exchange.
  bool IsCallerGone() const;

  // Calls on_disconnect once when the caller closes its connection, until
  // Unwatch. Bytes of a further request end the watch silently. Requires that
  // the request body was read and that no other operation is in progress on the
  // exchange.
  void Watch(std::function<void()> on_disconnect);
  void Unwatch();

 private:
  HttpExchangeState& m_state;
};

}  // namespace jujube::net
