#include "net/http_call.h"

#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/this_coro.hpp>

#include "net/http_connection.h"

namespace jujube::net {

namespace {

constexpr std::size_t kPartBytes = 16384;

RequestHead HeadOf(const HttpRequest& request) {
  const bool has_body = !request.m_body.empty();
  RequestHead head{.m_method = request.m_method,
                   .m_target = request.m_target,
                   .m_headers = request.m_headers,
                   .m_has_body = has_body};
  if (has_body || request.m_method == "POST") {
    head.m_has_body = true;
    head.m_content_length = request.m_body.size();
  }
  return head;
}

}  // namespace

asio::awaitable<Result<HttpResponse>> HttpCall(HttpConnection& connection,
                                               HttpRequest request,
                                               MonoTime deadline,
                                               std::size_t max_bytes) {
  connection.SetDeadline(deadline);
  JUJUBE_CO_TRY(co_await connection.SendHead(HeadOf(request)));
  JUJUBE_CO_TRY(co_await connection.SendBody(request.m_body));
  JUJUBE_CO_TRY(co_await connection.EndBody());
  HttpResponse response;
  JUJUBE_CO_TRY(response.m_head, co_await connection.ReadHead());
  std::array<char, kPartBytes> part{};
  while (true) {
    JUJUBE_CO_TRY(const std::size_t count, co_await connection.ReadSome(part));
    if (count == 0)
      co_return response;
    if (response.m_body.size() + count > max_bytes) {
      co_return MakeError(ErrorCode::kInvalidInput,
                          "the response is larger than " +
                              std::to_string(max_bytes) + " bytes");
    }
    response.m_body.append(part.data(), count);
  }
}

asio::awaitable<Result<HttpResponse>> HttpCall(Endpoint endpoint,
                                               HttpRequest request,
                                               MonoTime deadline,
                                               std::size_t max_bytes) {
  HttpConnection connection(co_await asio::this_coro::executor);
  connection.SetDeadline(deadline);
  JUJUBE_CO_TRY(co_await connection.Connect(endpoint));
  co_return co_await HttpCall(connection, std::move(request), deadline,
                              max_bytes);
}

Result<HttpResponse> HttpCallBlocking(const Endpoint& endpoint,
                                      const HttpRequest& request,
                                      MonoTime deadline) {
  asio::io_context io(1);
  std::optional<Result<HttpResponse>> result;
  const auto call = [&]() -> asio::awaitable<void> {
    result.emplace(co_await HttpCall(endpoint, request, deadline));
  };
  asio::co_spawn(io, call, asio::detached);
  io.run();
  if (!result)
    return MakeError(ErrorCode::kIo, "the call was aborted");
  return *std::move(result);
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const auto failure = [&] {
    return MakeError(ErrorCode::kInvalidInput,
                     "found \"" + std::string(text) +
                         "\", expected an IP address and a port such as "
                         "127.0.0.1:8080 or [::1]:8080");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return failure();
  std::string_view address = text.substr(0, colon);
  if (address.starts_with('[') && address.ends_with(']'))
    address = address.substr(1, address.size() - 2);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  boost::system::error_code error;
  asio::ip::make_address(address, error);
  if (error || parsed.ec != std::errc() ||
      parsed.ptr != digits.data() + digits.size())
    return failure();
  return Endpoint{.m_address = std::string(address), .m_port = port};
}

}  // namespace jujube::net
