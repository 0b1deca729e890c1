// Tests of HttpListener with requests that a caller sends without waiting for
// the responses.

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <gtest/gtest.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/http_listener.h"
#include "unit/net_support.h"

namespace jujube::net {
namespace {

using asio::ip::tcp;
using test::IoThread;

// Handles each request when the test lets it, by target.
class ManualServer {
 public:
  explicit ManualServer(std::size_t max_overlapping) {
    m_thread.Run([&] {
      HttpListenerOptions options{.m_max_overlapping = max_overlapping};
      options.m_may_overlap = [this](const RequestHead& head) {
        m_read_targets.insert(head.m_target);
        return head.m_method == "GET";
      };
      m_listener = std::make_unique<HttpListener>(
          m_thread.Context(),
          [this](HttpExchange& exchange) { return Handle(exchange); }, options);
      m_port = m_listener->Listen({.m_address = "127.0.0.1"}).value();
    });
  }
  ~ManualServer() {
    m_thread.Run([&] {
      for (auto& [target, request] : m_requests)
        request.m_is_abandoned = true;
      m_listener->Close();
      m_listener.reset();
    });
    Wake();
    // The handlers refer to members of this object.
    m_thread.WaitUntil([&] { return m_in_progress == 0; });
  }
  ManualServer(const ManualServer&) = delete;
  ManualServer& operator=(const ManualServer&) = delete;

  tcp::endpoint Address() const {
    return {asio::ip::address_v4::loopback(), m_port};
  }
  HttpListener& Listener() { return *m_listener; }
  IoThread& Thread() { return m_thread; }

  void WaitUntilStarted(const std::string& target) {
    m_thread.WaitUntil([&] { return m_requests.contains(target); });
  }
  // Its head was read. Only for requests without a body.
  void WaitUntilRead(const std::string& target) {
    m_thread.WaitUntil([&] { return m_read_targets.contains(target); });
  }
  // Its response was written, and what this causes on the thread is done.
  void WaitUntilFinished(const std::string& target) {
    m_thread.WaitUntil([&] { return m_requests[target].m_is_finished; });
  }
  bool IsStarted(const std::string& target) {
    bool is_started = false;
    m_thread.Run([&] { is_started = m_requests.contains(target); });
    return is_started;
  }
  bool IsEndlessEnded() {
    bool is_ended = false;
    m_thread.Run([&] { is_ended = m_is_endless_ended; });
    return is_ended;
  }
  void WaitUntilCallerGone(const std::string& target) {
    m_thread.WaitUntil([&] { return m_requests[target].m_is_caller_gone; });
  }
  bool IsCallerGone(const std::string& target) {
    bool is_caller_gone = false;
    m_thread.Run([&] { is_caller_gone = m_requests[target].m_is_caller_gone; });
    return is_caller_gone;
  }
  void Respond(const std::string& target) { RespondWith(target, target); }
  void RespondWith(const std::string& target, const std::string& body) {
    m_thread.Run([&] {
      m_requests[target].m_body = body;
      m_requests[target].m_is_released = true;
    });
    Wake();
  }
  // Ends the request without a response.
  void Abandon(const std::string& target) {
    m_thread.Run([&] { m_requests[target].m_is_abandoned = true; });
    Wake();
  }

 private:
  struct Request {
    bool m_is_released = false;
    bool m_is_abandoned = false;
    bool m_is_caller_gone = false;
    bool m_is_finished = false;
    std::string m_body;  // of the response
  };

  void Wake() {
    m_thread.Run([&] {
      if (m_wake)
        m_wake->cancel();
    });
  }

  asio::awaitable<void> Handle(HttpExchange& exchange) {
    const std::string target = exchange.Head().m_target;
    if (target == "/now") {
      exchange.SetResponseDeadline(MonoClock::now());
      ResponseHead head{.m_status = 200};
      co_await exchange.Respond(std::move(head), target);
      co_return;
    }
    if (target == "/endless") {
      co_await RespondWithoutEnd(exchange);
      co_return;
    }
    Request& request = m_requests[target];
    ++m_in_progress;
    exchange.Watch([&request] { request.m_is_caller_gone = true; });
    if (!m_wake) {
      m_wake = std::make_unique<asio::steady_timer>(
          m_thread.Context(), asio::steady_timer::time_point::max());
    }
    while (!request.m_is_released && !request.m_is_abandoned)
      co_await m_wake->async_wait(asio::as_tuple(asio::use_awaitable));
    exchange.Unwatch();
    if (!request.m_is_abandoned) {
      ResponseHead head{.m_status = 200};
      co_await exchange.Respond(std::move(head), request.m_body);
    }
    request.m_is_finished = true;
    --m_in_progress;
  }

  // Writes parts until the caller is left.
  asio::awaitable<void> RespondWithoutEnd(HttpExchange& exchange) {
    exchange.SetResponseDeadline(MonoClock::now());
    const std::string part(16384, 'x');
    ResponseHead head{.m_status = 200};
    Status status = co_await exchange.Begin(std::move(head));
    while (status)
      status = co_await exchange.Write(part);
    m_is_endless_ended = true;
  }

  IoThread m_thread;
  std::unique_ptr<HttpListener> m_listener;
  std::uint16_t m_port = 0;
  bool m_is_endless_ended = false;
  std::map<std::string, Request> m_requests;
  std::set<std::string> m_read_targets;
  std::size_t m_in_progress = 0;  // handlers of m_requests
  std::unique_ptr<asio::steady_timer> m_wake;
};

class Caller {
 public:
  explicit Caller(const ManualServer& server) {
    m_socket.connect(server.Address());
  }
  // Larger responses stay in the send buffer of the server until they are read.
  Caller(const ManualServer& server, int receive_buffer_bytes) {
    m_socket.open(tcp::v4());
    m_socket.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    m_socket.connect(server.Address());
  }
  // `further` is sent with the request, in one write.
  void Send(const std::string& method,
            const std::string& target,
            const std::string& further = "") {
    asio::write(m_socket,
                asio::buffer(method + " " + target +
                             " HTTP/1.1\r\nHost: a\r\n\r\n" + further));
  }
  // Waits until everything sent is in the receive buffer of the server.
  void WaitUntilReceived() {
    int unacknowledged = 0;
    do {
      ASSERT_EQ(::ioctl(m_socket.native_handle(), SIOCOUTQ, &unacknowledged),
                0);
    } while (unacknowledged > 0);
  }
  // Returns the body of the next response, "closed" or "truncated".
  std::string Read() {
    boost::system::error_code error;
    const std::size_t head_size =
        asio::read_until(m_socket, m_buffer, "\r\n\r\n", error);
    if (error)
      return "closed";
    std::string head(asio::buffers_begin(m_buffer.data()),
                     asio::buffers_begin(m_buffer.data()) +
                         static_cast<std::ptrdiff_t>(head_size));
    m_buffer.consume(head_size);
    m_is_closing = head.find("Connection: close") != std::string::npos;
    const std::size_t field = head.find("Content-Length: ");
    const std::size_t size = std::stoul(head.substr(field + 16));
    while (m_buffer.size() < size && !error) {
      m_buffer.commit(
          m_socket.read_some(m_buffer.prepare(size - m_buffer.size()), error));
    }
    if (m_buffer.size() < size)
      return "truncated";
    std::string body(asio::buffers_begin(m_buffer.data()),
                     asio::buffers_begin(m_buffer.data()) +
                         static_cast<std::ptrdiff_t>(size));
    m_buffer.consume(size);
    return body;
  }
  void ReadSome() {
    std::array<char, 65536> chunk{};
    boost::system::error_code error;
    m_socket.read_some(asio::buffer(chunk), error);
  }
  bool IsClosing() const { return m_is_closing; }
  void Close() { m_socket.close(); }

 private:
  asio::io_context m_context;
  tcp::socket m_socket{m_context};
  asio::streambuf m_buffer;
  bool m_is_closing = false;
};

// Guards against a fast request that waits for the slow one before it, and
// against responses that are sent in another order than the requests.
TEST(HttpListenerOverlap, RequestsOverlapAndResponsesKeepTheirOrder) {
  ManualServer server(4);
  Caller caller(server);
  caller.Send("GET", "/1");
  caller.Send("GET", "/2");
  caller.Send("GET", "/3");
  server.WaitUntilStarted("/3");
  server.Respond("/3");
  server.Respond("/2");
  server.Respond("/1");
  EXPECT_EQ(caller.Read(), "/1");
  EXPECT_EQ(caller.Read(), "/2");
  EXPECT_EQ(caller.Read(), "/3");
  // The connection is used on.
  caller.Send("GET", "/4");
  server.WaitUntilStarted("/4");
  server.Respond("/4");
  EXPECT_EQ(caller.Read(), "/4");
}

// Guards against a request that must not run twice and is started while its
// connection may still end with an earlier response.
TEST(HttpListenerOverlap, OtherRequestsWaitForTheEarlierResponses) {
  ManualServer server(4);
  Caller caller(server);
  caller.Send("GET", "/1");
  caller.Send("DELETE", "/2");
  server.WaitUntilStarted("/1");
  EXPECT_FALSE(server.IsStarted("/2"));
  server.Respond("/1");
  EXPECT_EQ(caller.Read(), "/1");
  server.WaitUntilStarted("/2");
  server.Respond("/2");
  EXPECT_EQ(caller.Read(), "/2");
}

// Guards against the timeout of a written response that closes the connection
// while it is read on and a later request is in progress.
TEST(HttpListenerOverlap, TimeoutOfAWriteDoesNotEndTheNextRead) {
  ManualServer server(4);
  Caller caller(server);
  caller.Send("GET", "/now", "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_EQ(caller.Read(), "/now");
  server.WaitUntilStarted("/1");
  std::this_thread::sleep_for(kMinWriteTime + std::chrono::milliseconds(100));
  server.Respond("/1");
  EXPECT_EQ(caller.Read(), "/1");
}

// Guards against more requests in progress than allowed for a connection.
TEST(HttpListenerOverlap, NumberOfOverlappingRequestsIsLimited) {
  ManualServer server(2);
  Caller caller(server);
  for (const char* target : {"/1", "/2", "/3"})
    caller.Send("GET", target);
  server.WaitUntilStarted("/2");
  EXPECT_FALSE(server.IsStarted("/3"));
  server.Respond("/1");
  server.WaitUntilStarted("/3");
  server.Respond("/3");
  server.Respond("/2");
  EXPECT_EQ(caller.Read(), "/1");
  EXPECT_EQ(caller.Read(), "/2");
  EXPECT_EQ(caller.Read(), "/3");
}

// Guards against a response that the caller would take for that of an earlier
// request, which ended without one.
TEST(HttpListenerOverlap, ConnectionEndsWithARequestWithoutResponse) {
  ManualServer server(4);
  Caller caller(server);
  caller.Send("GET", "/1");
  caller.Send("GET", "/2");
  caller.Send("GET", "/3");
  server.WaitUntilStarted("/3");
  server.Respond("/3");
  server.Abandon("/2");
  server.Respond("/1");
  EXPECT_EQ(caller.Read(), "/1");
  EXPECT_EQ(caller.Read(), "closed");
}

// Guards against work that goes on for a caller that left.
TEST(HttpListenerOverlap, AllRequestsLearnThatTheCallerLeft) {
  ManualServer server(4);
  Caller caller(server);
  caller.Send("GET", "/1");
  caller.Send("GET", "/2");
  server.WaitUntilStarted("/2");
  caller.Close();
  server.WaitUntilCallerGone("/1");
  server.WaitUntilCallerGone("/2");
}

// Guards against a planned stop that closes a connection before all requests
// that were read from it are answered.
TEST(HttpListenerOverlap, PlannedStopAnswersAllRequestsThatWereRead) {
  ManualServer server(4);
  Caller caller(server);
  caller.Send("GET", "/1");
  caller.Send("GET", "/2");
  server.WaitUntilStarted("/2");
  server.Listener().AnnounceClose();
  server.Respond("/2");
  server.Respond("/1");
  EXPECT_EQ(caller.Read(), "/1");
  EXPECT_FALSE(caller.IsClosing());
  EXPECT_EQ(caller.Read(), "/2");
  EXPECT_TRUE(caller.IsClosing());
  EXPECT_EQ(caller.Read(), "closed");
}

// Guards against a caller that reads slowly and occupies the host long after
// the deadline of its request, because each part of the response may take the
// shortest write time again.
TEST(HttpListenerClose, CallerThatReadsSlowlyIsLeftAfterTheDeadline) {
  ManualServer server(1);
  Caller caller(server);
  caller.Send("GET", "/endless");
  while (!server.IsEndlessEnded()) {
    caller.ReadSome();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

// Guards against a connection that is closed while bytes of a further request
// are unread: the kernel resets it and drops the rest of the last response.
TEST(HttpListenerClose, LastResponseArrivesAlthoughAFurtherRequestIsUnread) {
  const std::string body(65536, 'x');
  ManualServer server(4);
  Caller caller(server, 4096);
  caller.Send("DELETE", "/1");
  server.WaitUntilStarted("/1");
  server.Listener().AnnounceClose();
  caller.Send("GET", "/2");
  caller.WaitUntilReceived();
  server.RespondWith("/1", body);
  server.WaitUntilFinished("/1");
  EXPECT_EQ(caller.Read(), body);
  EXPECT_TRUE(caller.IsClosing());
}

// Guards against a connection that counts as idle although a request that
// waited for the earlier responses is in progress: the caller of that request
// is taken to have disconnected when idle connections are closed.
TEST(HttpListenerClose, RequestThatWaitedForEarlierResponsesContinues) {
  ManualServer server(4);
  Caller caller(server);
  caller.Send("GET", "/1");
  caller.Send("DELETE", "/2");
  server.WaitUntilRead("/2");
  server.Respond("/1");
  EXPECT_EQ(caller.Read(), "/1");
  server.WaitUntilStarted("/2");
  server.Listener().Close();
  // The close and the operations that it cancels take effect on the thread.
  for (int i = 0; i < 3; ++i)
    server.Thread().Run([] {});
  EXPECT_FALSE(server.IsCallerGone("/2"));
  server.Respond("/2");
  EXPECT_EQ(caller.Read(), "/2");
}

}  // namespace
}  // namespace jujube::net
