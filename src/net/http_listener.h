// HttpListener: accepts HTTP/1.1 connections on one io_context.
//
// Several listeners on different threads may share a port (SO_REUSEPORT); the
// kernel spreads connections over them.

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

// A function object keeps Beast out of this header; one indirect call for each
// request does not show in measurements.
using HttpHandler = std::function<asio::awaitable<void>(HttpExchange&)>;

struct HttpListenerOptions {
  std::size_t m_max_connections = 4096;             // more are closed at once
  std::size_t m_max_header_bytes = 16384;           // larger heads get 431
  std::chrono::milliseconds m_idle_timeout{60000};  // between requests
  std::chrono::milliseconds m_body_timeout{30000};  // between parts of a body
};

class HttpListener {
 public:
  HttpListener(asio::io_context& io,
               HttpHandler handler,
               HttpListenerOptions options = {});
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Binds and starts to accept. Returns the port, which the kernel has chosen
  // if the endpoint's port is 0.
  Result<std::uint16_t> Listen(const Endpoint& endpoint);

  // From now on responses ask for the connection to be closed.
  void AnnounceClose();
  // Stops accepting and closes idle connections; requests in progress go on.
  void Close();

  // Open connections; callable from any thread.
  std::size_t OpenConnections() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace jujube::net
