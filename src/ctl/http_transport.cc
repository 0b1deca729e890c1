#include "ctl/http_transport.h"

#include <thread>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>

#include "net/http_connection.h"

namespace jujube::ctl {

namespace asio = boost::asio;

namespace {

asio::awaitable<CallOutcome> CallOnce(const Endpoint& endpoint,
                                      const net::HttpRequest& request,
                                      MonoTime deadline) {
  net::HttpConnection connection(co_await asio::this_coro::executor);
  connection.SetDeadline(deadline);
  CallOutcome outcome;
  const Status connected = co_await connection.Connect(endpoint);
  if (!connected) {
    outcome.m_error = connected.error().m_message;
    co_return outcome;
  }
  Result<net::HttpResponse> response =
      co_await net::HttpCall(connection, request, deadline);
  if (!response) {
    outcome.m_delivery = Delivery::kNoResponse;
    outcome.m_error = response.error().m_message;
    co_return outcome;
  }
  outcome.m_delivery = Delivery::kResponseReceived;
  outcome.m_status = response.value().m_head.m_status;
  outcome.m_body = std::move(response).value().m_body;
  co_return outcome;
}

}  // namespace

CallOutcome HttpTransport::Call(const Endpoint& endpoint,
                                const net::HttpRequest& request,
                                MonoTime deadline) {
  asio::io_context io(1);
  CallOutcome outcome{.m_error = "the call was aborted"};
  const auto call = [&]() -> asio::awaitable<void> {
    outcome = co_await CallOnce(endpoint, request, deadline);
  };
  asio::co_spawn(io, call, asio::detached);
  io.run();
  return outcome;
}

void HttpTransport::SleepUntil(MonoTime time) {
  std::this_thread::sleep_for(time - MonoClock::now());
}

}  // namespace jujube::ctl
