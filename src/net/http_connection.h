// HttpConnection: an HTTP/1.1 client connection, for one request at a time.
//
// Each operation reports its own errors. The operation that failed determines
// what the server may have received:
//   Connect fails            nothing
//   SendHead fails           any part of the head
//   a later operation fails  part or all of the request
// The head of a request without a body is the whole request.
//
// Not thread-safe. Destroying the connection closes the socket.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/result.h"
#include "gen/http.h"

namespace jujube::net {

namespace asio = boost::asio;

class HttpConnection {
 public:
  explicit HttpConnection(const asio::any_io_executor& executor);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Closes the connection. An operation in progress fails, which cancels the
  // request.
  void Close();

  // Sets the deadline of all later operations, which fail with kTimeout once it
  // has passed.
  void SetDeadline(MonoTime deadline);

  asio::awaitable<Status> Connect(const Endpoint& endpoint);

  // Sends the head. If head.m_has_body is set, a body must follow; it is
  // chunked unless m_content_length is set. Silently drops the header fields
  // for which IsHopByHop (net/http_fields.h) is true.
  asio::awaitable<Status> SendHead(const RequestHead& head);
  asio::awaitable<Status> SendBody(std::string_view data);
  asio::awaitable<Status> EndBody();

  // Permits responses whose body ends with the close of the connection. By
  // default they are an error, since a crash of the server looks the same.
  void TakeCloseDelimited();

  // Reads the head of the response and skips informational (1xx) responses. A
  // malformed head is an error.
  asio::awaitable<Result<ResponseHead>> ReadHead();
  // Reads the next bytes of the body. Returns 0 at its end. A truncated body,
  // or one whose end cannot be determined, is an error.
  asio::awaitable<Result<std::size_t>> ReadSome(std::span<char> buffer);

  // Calls on_input once when the server sends bytes or closes the connection,
  // until UnwatchInput; not for informational (1xx) responses. Requires that
  // nothing is being read.
  void WatchInput(std::function<void()> on_input);
  void UnwatchInput();
  // Ends operations in progress with an error and keeps the connection open, so
  // that a response can be read while a part of the request is unsent.
  void CancelOperations();

  // True after a complete response if the server keeps the connection open.
  bool Reusable() const;
  // True if the server has closed the idle connection or sent unexpected bytes.
  bool Stale() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jujube::net
