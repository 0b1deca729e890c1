// HttpCall: sends a request and reads the response, both buffered in memory.

#pragma once

#include <cstddef>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/result.h"
#include "gen/http.h"

namespace jujube::net {

namespace asio = boost::asio;

class HttpConnection;

struct HttpRequest {
  std::string m_method = "GET";
  std::string m_target = "/";
  std::vector<Header> m_headers;
  std::string m_body;
};

struct HttpResponse {
  ResponseHead m_head;
  std::string m_body;
};

inline constexpr std::size_t kMaxResponseBytes = 64U << 20U;

// Uses an open connection, which can be reused afterwards if Reusable() is
// true.
asio::awaitable<Result<HttpResponse>> HttpCall(
    HttpConnection& connection,
    HttpRequest request,
    MonoTime deadline,
    std::size_t max_bytes = kMaxResponseBytes);

// Opens a connection for this request and closes it afterwards.
asio::awaitable<Result<HttpResponse>> HttpCall(
    Endpoint endpoint,
    HttpRequest request,
    MonoTime deadline,
    std::size_t max_bytes = kMaxResponseBytes);

// Blocks the calling thread; for programs without an event loop.
Result<HttpResponse> HttpCallBlocking(const Endpoint& endpoint,
                                      const HttpRequest& request,
                                      MonoTime deadline);

// Parses an IPv4 or IPv6 address and a port from 0 to 65535, such as
// "127.0.0.1:8080" or "[::1]:8080". jujube::ParseEndpoint
// (core/endpoint_text.h) accepts only IPv4 and no port 0.
Result<Endpoint> ParseEndpoint(std::string_view text);

}  // namespace jujube::net
