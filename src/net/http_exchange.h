// HttpExchange: one request of a caller and the response to it.
//
//   asio::awaitable<void> Handle(HttpExchange& exchange) {
//     ResponseHead head{.m_status = 200};
//     co_await exchange.Respond(std::move(head), "hello\n");
//   }
//
// Name arguments that are aggregates, as above: GCC 12 destroys a braced
// temporary in a co_await expression twice.
//
// Belongs to the thread of its connection. A handler that returns without a
// finished response closes the connection, so that the caller never takes a
// truncated response for a whole one.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "core/result.h"
#include "gen/http.h"

namespace jujube::net {

namespace asio = boost::asio;

struct HttpExchangeState;

class HttpExchange {
 public:
  explicit HttpExchange(HttpExchangeState& state) : m_state(state) {}

  const RequestHead& Head() const;           // head of the request
  const std::string& RemoteAddress() const;  // IP address of the caller

  // Reads the next part of the body; 0 at its end.
  asio::awaitable<Result<std::size_t>> ReadSome(std::span<char> buffer);
  // Reads the rest of the body; an error if it is larger than max_bytes.
  asio::awaitable<Result<std::string>> ReadAll(std::size_t max_bytes);
  bool BodyDone() const;  // the whole body was read

  // Sends a whole response.
  asio::awaitable<Status> Respond(ResponseHead head, std::string_view body);

  // Sends a response in parts: Begin, Write any number of times, End. Without
  // a length in the head the body is chunked.
  asio::awaitable<Status> Begin(ResponseHead head);
  asio::awaitable<Status> Write(std::string_view data);
  asio::awaitable<Status> End();
  bool Started() const;  // a response was begun

  // Whether the caller has closed its connection. Only with no operation in
  // progress on the exchange.
  bool IsCallerGone() const;

  // Calls back once when the caller closes its connection, until Unwatch. Only
  // after the body was read, and with no other operation on the exchange.
  void Watch(std::function<void()> on_disconnect);
  void Unwatch();

 private:
  HttpExchangeState& m_state;
};

}  // namespace jujube::net
