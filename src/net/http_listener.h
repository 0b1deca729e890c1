// HttpListener: accepts HTTP/1.1 connections on one io_context.
//
// Listeners on different threads may share a port (SO_REUSEPORT); the kernel
// distributes the connections over them.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/result.h"
#include "gen/types.h"
#include "net/http_exchange.h"

namespace jujube::net {

// A std::function keeps Beast out of this header, at the negligible cost of one
// indirect call per request.
using HttpHandler = std::function<asio::awaitable<void>(HttpExchange&)>;

struct HttpListenerOptions {
  std::size_t m_max_connections = 4096;    // further ones are closed
  std::size_t m_max_header_bytes = 16384;  // larger heads get status 431
  // Number of requests of a connection that are handled at the same time, if
  // the caller sends them without waiting for the responses, which are sent in
  // the order of the requests. Requests with a body never overlap.
  std::size_t m_max_overlapping = 1;
  // Whether a request may overlap with others: it may run twice, since a caller
  // sends it again if the connection ends with an earlier response.
  std::function<bool(const RequestHead&)> m_may_overlap;
  // For the wait for the next request and reading its whole head.
  std::chrono::milliseconds m_idle_timeout{60000};
  // Per read of a body and per write, also of the response head.
  std::chrono::milliseconds m_body_timeout{30000};
  // Receive buffer of a connection: the bytes that a caller may have on their
  // way before they are read. 0, or without a function: chosen by the kernel.
  std::function<int()> m_receive_buffer_bytes;
};

class HttpListener {
 public:
  HttpListener(asio::io_context& io,
               HttpHandler handler,
               HttpListenerOptions options = {});
  // Stops accepting only. Open connections continue, and the handler may still
  // run for them; call Close first to close idle connections.
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Binds and starts to accept connections. Returns the bound port; port 0 lets
  // the kernel choose one.
  Result<std::uint16_t> Listen(const Endpoint& endpoint);

  // All further responses carry "Connection: close". Thread-safe.
  void AnnounceClose();
  // Stops accepting and closes idle connections. Requests in progress continue.
  // Thread-safe; takes effect later, on the thread of the io_context.
  void Close();

  // Number of open connections. Thread-safe.
  std::size_t OpenConnections() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace jujube::net
