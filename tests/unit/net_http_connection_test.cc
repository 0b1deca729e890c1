// Tests of HttpConnection with a server that sends given bytes and then closes.

#include <algorithm>
#include <array>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include "net/http_connection.h"

namespace jujube::net {
namespace {

using asio::ip::tcp;

// Answers one request on each connection with the next of the given texts, in
// pieces of the given size. The connection is closed after a text if `closes`
// is set, and kept open otherwise.
class ScriptedServer {
 public:
  ScriptedServer(std::vector<std::string> texts,
                 bool closes,
                 std::size_t piece_bytes = SIZE_MAX)
      : m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0}),
        m_thread([this, texts = std::move(texts), closes, piece_bytes] {
          std::vector<tcp::socket> open;
          for (const std::string& text : texts) {
            tcp::socket socket = m_acceptor.accept();
            asio::streambuf request;
            asio::read_until(socket, request, "\r\n\r\n");
            socket.set_option(tcp::no_delay(true));
            for (std::size_t at = 0; at < text.size();
                 at += std::min(piece_bytes, text.size() - at))
              asio::write(socket, asio::buffer(text.substr(at, piece_bytes)));
            if (!closes)
              open.push_back(std::move(socket));
          }
          m_is_finished.get_future().wait();
        }) {}
  ~ScriptedServer() {
    m_is_finished.set_value();
    m_thread.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  Endpoint Address() const {
    return {.m_port = m_acceptor.local_endpoint().port()};
  }

 private:
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::promise<void> m_is_finished;
  std::thread m_thread;
};

struct Received {
  bool m_is_complete = false;
  std::string m_body;
};

asio::awaitable<Received> Get(HttpConnection& connection, Endpoint server) {
  connection.SetDeadline(MonoClock::now() + std::chrono::hours(1));
  Received received;
  EXPECT_TRUE(co_await connection.Connect(server));
  const RequestHead request{.m_method = "GET", .m_target = "/"};
  EXPECT_TRUE(co_await connection.SendHead(request));
  const auto head = co_await connection.ReadHead();
  if (!head)
    co_return received;
  std::array<char, 64> buffer{};
  while (true) {
    const auto count = co_await connection.ReadSome(buffer);
    if (!count)
      co_return received;
    if (count.value() == 0)
      break;
    received.m_body.append(buffer.data(), count.value());
  }
  received.m_is_complete = true;
  co_return received;
}

// Runs Get to its end.
Received GetOn(asio::io_context& context,
               HttpConnection& connection,
               const Endpoint& server) {
  auto received =
      asio::co_spawn(context, Get(connection, server), asio::use_future);
  context.restart();
  context.run();
  return received.get();
}

// Guards against a response that is taken for complete although the server
// stopped in the middle of its head or body and closed, also if responses may
// end with the close of their connection.
TEST(HttpConnection, EveryProperPrefixOfAResponseIsIncomplete) {
  const std::vector<std::string> responses = {
      "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 12\r\n\r\n"
      "diesel, 40 l",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nfuel\r\n0\r\n\r\n",
  };
  for (const std::string& response : responses) {
    std::vector<std::string> texts;
    for (std::size_t size = 0; size <= response.size(); ++size)
      texts.push_back(response.substr(0, size));
    const ScriptedServer server(texts, true);
    asio::io_context context;
    for (const std::string& text : texts) {
      HttpConnection connection(context.get_executor());
      connection.TakeCloseDelimited();
      const Received received = GetOn(context, connection, server.Address());
      EXPECT_EQ(received.m_is_complete, text == response) << text;
    }
  }
}

// Guards against a close in the middle of a head without a length, which must
// not end a response that only the close delimits.
TEST(HttpConnection, CloseDelimitedResponseNeedsAWholeHead) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n";
  std::vector<std::string> texts;
  for (std::size_t size = 0; size <= head.size(); ++size)
    texts.push_back(head.substr(0, size));
  const ScriptedServer server(texts, true);
  asio::io_context context;
  for (const std::string& text : texts) {
    HttpConnection connection(context.get_executor());
    connection.TakeCloseDelimited();
    const Received received = GetOn(context, connection, server.Address());
    EXPECT_EQ(received.m_is_complete, text == head) << text;
  }
}

// Guards against a connection that is used again although the server sent bytes
// behind the response, which would answer the next request.
TEST(HttpConnection, BytesBehindAResponseEndTheConnection) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfuel";
  const ScriptedServer server({response, response + response}, false);
  asio::io_context context;
  HttpConnection clean(context.get_executor());
  EXPECT_EQ(GetOn(context, clean, server.Address()).m_body, "fuel");
  EXPECT_TRUE(clean.Reusable());
  EXPECT_FALSE(clean.Stale());
  HttpConnection surplus(context.get_executor());
  EXPECT_EQ(GetOn(context, surplus, server.Address()).m_body, "fuel");
  EXPECT_TRUE(!surplus.Reusable() || surplus.Stale());
}

// Guards against a response that is taken for complete although its status is
// outside 100 to 599, such as 000.
TEST(HttpConnection, InvalidStatusIsAnError) {
  constexpr int kStatuses = 1000;
  constexpr int kFirstFinal = 200;
  constexpr int kLastFinal = 599;
  std::vector<std::string> texts;
  for (int status = 0; status < kStatuses; ++status) {
    const std::string digits = std::to_string(kStatuses + status).substr(1);
    texts.push_back("HTTP/1.1 " + digits +
                    " OK\r\nContent-Length: 4\r\n\r\nfuel");
  }
  const ScriptedServer server(texts, true);
  asio::io_context context;
  for (int status = 0; status < kStatuses; ++status) {
    HttpConnection connection(context.get_executor());
    const Received received = GetOn(context, connection, server.Address());
    const bool is_valid = status >= kFirstFinal && status <= kLastFinal;
    EXPECT_EQ(received.m_is_complete, is_valid) << status;
  }
}

// Guards against a field line whose name holds a blank or a control byte, and
// which is passed on or does not delimit the body that it should.
TEST(HttpConnection, InvalidFieldNameIsAnError) {
  struct Place {
    std::string m_before;
    std::string m_after;
  };
  const std::string end = "Content-Length: 4\r\n\r\nfuel";
  const std::vector<Place> places = {
      {"HTTP/1.1 200 OK\r\n", end},
      {"HTTP/1.1 200 OK\r\nX-Id: 7\r\n", end},
      {"HTTP/1.1 103 Early Hints\r\nX-Id: 7\r\n",
       "\r\nHTTP/1.1 200 OK\r\n" + end},
      // The trailer of a chunked body.
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4\r\nfuel\r\n0\r\n",
       "\r\n"},
  };
  std::string bytes = "\x7f";
  for (char byte = 0; byte <= ' '; ++byte)
    bytes += byte;
  const std::string name = "Grade";
  std::vector<std::string> texts;
  for (const char byte : bytes) {
    for (const std::size_t at : {std::size_t{0}, std::size_t{2}, name.size()}) {
      std::string line = name;
      line.insert(at, 1, byte);
      line += ": a\r\n";
      for (const Place& place : places) {
        texts.push_back(place.m_before);
        texts.back() += line;
        texts.back() += place.m_after;
      }
    }
  }
  const ScriptedServer server(texts, true);
  asio::io_context context;
  for (const std::string& text : texts) {
    HttpConnection connection(context.get_executor());
    connection.TakeCloseDelimited();
    const Received received = GetOn(context, connection, server.Address());
    EXPECT_FALSE(received.m_is_complete) << text;
  }
}

// Guards against a body that is taken for complete with a transfer coding that
// was not removed from it.
TEST(HttpConnection, UnknownTransferCodingIsAnError) {
  const std::vector<std::string> codings = {
      "Transfer-Encoding: xchunked",
      "Transfer-Encoding: gzip",
      "Transfer-Encoding: gzip, chunked",
      "Transfer-Encoding: chunked, gzip",
      "Transfer-Encoding: chunked, chunked",
      "Transfer-Encoding: chunked;x=1",
      "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
      "Transfer-Encoding:",
      "Transfer-Encoding: CHUNKED",
      "Transfer-Encoding: chunked",
  };
  const std::size_t first_valid = codings.size() - 2;
  std::vector<std::string> texts;
  for (const std::string& coding : codings) {
    texts.emplace_back("HTTP/1.1 200 OK\r\n");
    texts.back() += coding;
    texts.back() += "\r\n\r\n4\r\nfuel\r\n0\r\n\r\n";
  }
  const ScriptedServer server(texts, true);
  asio::io_context context;
  for (std::size_t i = 0; i < codings.size(); ++i) {
    HttpConnection connection(context.get_executor());
    connection.TakeCloseDelimited();
    const Received received = GetOn(context, connection, server.Address());
    EXPECT_EQ(received.m_is_complete, i >= first_valid) << codings[i];
  }
}

// Guards against a valid response that is refused because a line of its body
// begins with a blank, or because its head arrives in pieces.
TEST(HttpConnection, BlanksAfterTheHeadAndPiecesAreAccepted) {
  const std::string body = " fuel\r\n oil\r\n\tgas";
  const std::string response =
      "HTTP/1.1 103 Early Hints\r\nX-Id: 7\r\n\r\n"
      "HTTP/1.1 200 OK\r\nX-Id: 7 \t \r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  for (const std::size_t piece_bytes :
       {std::size_t{1}, std::size_t{7}, response.size()}) {
    const ScriptedServer server({response}, false, piece_bytes);
    asio::io_context context;
    HttpConnection connection(context.get_executor());
    const Received received = GetOn(context, connection, server.Address());
    EXPECT_TRUE(received.m_is_complete) << piece_bytes;
    EXPECT_EQ(received.m_body, body) << piece_bytes;
    EXPECT_TRUE(connection.Reusable()) << piece_bytes;
  }
}

}  // namespace
}  // namespace jujube::net
