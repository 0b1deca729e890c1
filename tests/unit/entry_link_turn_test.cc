// Tests of responses that are written over a link in turn.

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

#include <gtest/gtest.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "entry/link_turn.h"
#include "net/http_listener.h"
#include "unit/net_support.h"

namespace jujube::entry {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::uint64_t kLinkKbitPerSecond = 2600;
constexpr std::size_t kLargeBytes = 30000;

// Answers "/large" and "/late" with a large body, in its turn on a link that is
// taken for a minute, and other targets at once. The deadline of "/late" has
// passed.
asio::awaitable<void> Respond(net::HttpExchange& exchange) {
  const std::string target = exchange.Head().m_target;
  if (target != "/large" && target != "/late") {
    ResponseHead head;
    co_await exchange.Respond(std::move(head), "small");
    co_return;
  }
  limits::HostLink link(kLinkKbitPerSecond);
  const MonoTime now = MonoClock::now();
  link.Record(limits::LinkSide::kOut, kLinkKbitPerSecond * 1000 / 8 * 60, now);
  ResponseHead head;
  head.m_content_length = kLargeBytes;
  const std::string body(kLargeBytes, 'x');
  Status status = co_await exchange.Begin(std::move(head));
  if (status) {
    const MonoTime deadline = now + milliseconds(target == "/late" ? -1 : 500);
    status = co_await WriteInTurn(exchange, link, body, deadline);
  }
  if (status)
    co_await exchange.End();
}

// Guards against a response that is cut off after its head because the link is
// expected to be busy until its deadline, or because the deadline passed while
// it waited, and against the loss of the responses behind it on the connection.
TEST(LinkTurn, ResponseThatHasBegunIsCompletedOnABusyLink) {
  net::test::IoThread thread;
  std::unique_ptr<net::HttpListener> listener;
  std::uint16_t port = 0;
  thread.Run([&] {
    net::HttpListenerOptions options{.m_max_overlapping = 4};
    options.m_may_overlap = [](const RequestHead&) { return true; };
    listener =
        std::make_unique<net::HttpListener>(thread.Context(), Respond, options);
    port = listener->Listen({.m_address = "127.0.0.1"}).value();
  });
  asio::io_context io;
  tcp::socket caller(io);
  caller.connect({asio::ip::address_v4::loopback(), port});
  asio::write(caller,
              asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: x\r\n\r\n"
                                       "GET /late HTTP/1.1\r\nHost: x\r\n\r\n"
                                       "GET /small HTTP/1.1\r\nHost: x\r\n"
                                       "Connection: close\r\n\r\n")));
  std::string received;
  boost::system::error_code error;
  asio::read(caller, asio::dynamic_buffer(received), error);
  EXPECT_EQ(error, asio::error::eof);
  EXPECT_EQ(std::count(received.begin(), received.end(), 'x'), 2 * kLargeBytes);
  EXPECT_TRUE(received.ends_with("small")) << received.substr(0, 200);
  thread.Run([&] { listener.reset(); });
}

}  // namespace
}  // namespace jujube::entry
