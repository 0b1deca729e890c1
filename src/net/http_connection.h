// HttpConnection: one client connection, for one request at a time.
//
// Each step reports its error; the caller of the step knows from it which
// bytes can have reached the other side:
//   Connect fails      no byte
//   SendHead fails     any part of the request
// The connection belongs to one thread. Destroying it closes the socket.

#pragma once

#include <cstddef>
#include <cstdint>
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

  // Closes the connection; a step in progress fails. This cancels a request.
  void Close();

  // Deadline of every later step; a step past it fails with kTimeout.
  void SetDeadline(MonoTime deadline);

  asio::awaitable<Status> Connect(const Endpoint& endpoint);

  // Sends the head. A body follows if the head says so: chunked, unless it
  // states a length.
  asio::awaitable<Status> SendHead(const RequestHead& head);
  asio::awaitable<Status> SendBody(std::string_view data);
  asio::awaitable<Status> EndBody();

  // Takes responses whose end is the orderly close of the connection. Without
  // this call they are an error, since a crash looks the same.
  void TakeCloseDelimited();

  // Reads the head of the response; informational (1xx) ones are skipped.
  asio::awaitable<Result<ResponseHead>> ReadHead();
  // Reads the next part of the body. 0 means that the whole body arrived; a
  // body that ends early or whose end cannot be known is an error.
  asio::awaitable<Result<std::size_t>> ReadSome(std::span<char> buffer);

  // True after a whole response on a connection that the other side keeps open.
  bool Reusable() const;
  // True if the other side has closed the idle connection or sent bytes that no
  // request asked for.
  bool Stale() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jujube::net
