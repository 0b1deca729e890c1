#include "net/http_listener.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <sys/socket.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "core/clock.h"
#include "net/http_fields.h"
#include "net/response_order.h"

namespace jujube::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBufferBytes = 65536;
// Up to this much of an unread request body is discarded before the connection
// is closed. Closing a socket with unread data resets the connection, and the
// caller could lose the response.
constexpr std::size_t kMaxDiscardedBytes = 65536;
// Time for a caller to close its side after the last response: several round
// trips between regions.
constexpr std::chrono::seconds kMaxLingerTime{1};

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

Error CallerConnectionError(const beast::error_code& error) {
  return MakeError(ErrorCode::kIo, "caller connection: " + error.message());
}

Error BodyTimeoutError() {
  return MakeError(ErrorCode::kTimeout,
                   "the caller did not send the body in time");
}

}  // namespace

namespace {

// A connection of a caller. Shared by the requests on it that overlap.
struct Connection {
  explicit Connection(tcp::socket socket)
      : m_stream(std::move(socket)),
        m_buffer(kReadBufferBytes),
        m_order(m_stream.get_executor()),
        m_idle_timer(m_stream.get_executor()) {}

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  std::string m_remote_address;
  ResponseOrder m_order;
  asio::steady_timer m_idle_timer;
  // Called when the caller disconnects, by place of the request. Only for
  // requests that overlap, while the connection is read for further ones.
  std::map<std::uint64_t, std::function<void()>> m_watches;
  bool m_is_caller_gone = false;  // the end of its data was read
};

}  // namespace

// Parser and serializer of one request and its response.
struct HttpExchangeState {
  explicit HttpExchangeState(const std::shared_ptr<Connection>& connection)
      : m_connection(connection),
        m_stream(connection->m_stream),
        m_buffer(connection->m_buffer) {}

  const std::shared_ptr<Connection> m_connection;
  beast::tcp_stream& m_stream;
  beast::flat_buffer& m_buffer;
  std::uint64_t m_place = 0;      // in Connection::m_order
  bool m_is_overlapping = false;  // the connection is read on meanwhile
  http::request_parser<http::buffer_body> m_parser;
  http::response<http::buffer_body> m_response;
  std::optional<http::response_serializer<http::buffer_body>> m_serializer;
  RequestHead m_head;
  std::chrono::milliseconds m_body_timeout{0};
  std::optional<MonoTime> m_response_deadline;
  MonoTime m_response_began_at;  // its turn on the connection has come
  std::optional<MonoTime> m_body_deadline;
  const std::atomic<bool>* m_announce_close = nullptr;
  std::shared_ptr<bool> m_watch_active;  // false after Unwatch
  bool m_response_started = false;
  bool m_response_finished = false;
  bool m_keep_alive = true;
};

namespace {

void FillRequestHead(HttpExchangeState& state) {
  const auto& message = state.m_parser.get();
  state.m_head.m_method = std::string(message.method_string());
  state.m_head.m_target = std::string(message.target());
  for (const auto& field : message) {
    state.m_head.m_headers.push_back(
        {.m_name = std::string(field.name_string()),
         .m_value = std::string(field.value())});
  }
  if (state.m_parser.content_length())
    state.m_head.m_content_length = *state.m_parser.content_length();
  state.m_head.m_has_body = !state.m_parser.is_done();
}

void SetTimeout(beast::tcp_stream& stream, std::chrono::milliseconds timeout) {
  stream.expires_after(timeout);
}

// Reads and discards what the caller sends until it closes its side, within the
// limits above.
asio::awaitable<void> DiscardUntilClosed(beast::tcp_stream& stream) {
  SetTimeout(stream, kMaxLingerTime);
  std::array<char, 4096> chunk{};
  std::size_t discarded = 0;
  while (discarded < kMaxDiscardedBytes) {
    auto [error, count] =
        co_await stream.async_read_some(asio::buffer(chunk), kTuple);
    if (error)
      co_return;
    discarded += count;
  }
}

std::chrono::milliseconds WriteTimeout(const HttpExchangeState& state) {
  if (!state.m_response_deadline)
    return state.m_body_timeout;
  // All writes of a response share one limit, so that a caller that reads
  // slowly does not get the shortest time again for each part.
  const MonoTime limit =
      std::max(*state.m_response_deadline, state.m_response_began_at) +
      kMinWriteTime;
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(limit - MonoClock::now());
  return std::clamp(left, std::chrono::milliseconds(0), state.m_body_timeout);
}

std::chrono::milliseconds ReadTimeout(const HttpExchangeState& state) {
  if (!state.m_body_deadline)
    return state.m_body_timeout;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      *state.m_body_deadline - MonoClock::now());
  return std::clamp(left, std::chrono::milliseconds(0), state.m_body_timeout);
}

// Responds with 400 or 431 to a request head that could not be parsed.
asio::awaitable<void> RejectRequestHead(beast::tcp_stream& stream,
                                        beast::error_code error) {
  const bool too_large = error == http::error::header_limit;
  const std::string body =
      "{\"error\":\"malformed request: " + error.message() +
      "\",\"verdict\":\"not-run\"}\n";
  const std::string response =
      std::string("HTTP/1.1 ") +
      (too_large ? "431 Request Header Fields Too Large" : "400 Bad Request") +
      "\r\nConnection: close\r\nJujube-Verdict: not-run\r\n"
      "Content-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  co_await asio::async_write(stream, asio::buffer(response), kTuple);
}

bool IsParseError(const beast::error_code& error) {
  return error.category() ==
             http::make_error_code(http::error::bad_version).category() &&
         error != http::error::end_of_stream;
}

}  // namespace

const RequestHead& HttpExchange::Head() const {
  return m_state.m_head;
}

const std::string& HttpExchange::RemoteAddress() const {
  return m_state.m_connection->m_remote_address;
}

bool HttpExchange::IsBodyRead() const {
  return m_state.m_parser.is_done();
}

bool HttpExchange::IsResponseStarted() const {
  return m_state.m_response_started;
}

asio::awaitable<Result<std::size_t>> HttpExchange::ReadSome(
    std::span<char> buffer) {
  HttpExchangeState& state = m_state;
  while (!state.m_parser.is_done()) {
    auto& body = state.m_parser.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    SetTimeout(state.m_stream, ReadTimeout(state));
    auto [error, count] = co_await http::async_read_some(
        state.m_stream, state.m_buffer, state.m_parser, kTuple);
    state.m_stream.expires_never();
    if (error == beast::error::timeout && state.m_body_deadline)
      co_return BodyTimeoutError();
    if (error && error != http::error::need_buffer)
      co_return CallerConnectionError(error);
    const std::size_t received = buffer.size() - body.size;
    if (received > 0)
      co_return received;
  }
  co_return std::size_t{0};
}

asio::awaitable<Result<std::string>> HttpExchange::ReadAll(
    std::size_t max_bytes) {
  const auto too_large = [&] {
    return MakeError(
        ErrorCode::kInvalidInput,
        "the body is larger than " + std::to_string(max_bytes) + " bytes");
  };
  if (m_state.m_head.m_content_length.value_or(0) > max_bytes)
    co_return too_large();
  std::string body;
  // Without this, a body takes up to twice its size while it is read.
  body.reserve(m_state.m_head.m_content_length.value_or(0));
  std::array<char, 16384> chunk{};
  while (true) {
    const Result<std::size_t> count = co_await ReadSome(chunk);
    if (!count)
      co_return count.error();
    if (count.value() == 0)
      co_return body;
    if (body.size() + count.value() > max_bytes)
      co_return too_large();
    body.append(chunk.data(), count.value());
  }
}

void HttpExchange::SetBodyDeadline(MonoTime deadline) {
  m_state.m_body_deadline = deadline;
}

void HttpExchange::CancelRead() {
  m_state.m_stream.cancel();
}

asio::awaitable<void> HttpExchange::DiscardBody(std::size_t max_bytes,
                                                MonoTime deadline) {
  m_state.m_body_deadline = deadline;
  std::array<char, 4096> chunk{};
  std::size_t discarded = 0;
  while (discarded < max_bytes) {
    const Result<std::size_t> count = co_await ReadSome(chunk);
    if (!count || count.value() == 0)
      co_return;
    discarded += count.value();
  }
}

void HttpExchange::SetResponseDeadline(MonoTime deadline) {
  m_state.m_response_deadline = deadline;
}

asio::awaitable<Status> HttpExchange::Begin(ResponseHead head) {
  HttpExchangeState& state = m_state;
  state.m_response_started = true;
  if (!co_await state.m_connection->m_order.WaitForTurn(state.m_place)) {
    co_return MakeError(ErrorCode::kIo,
                        "caller connection: closed by an earlier response");
  }
  state.m_response_began_at = MonoClock::now();
  state.m_response.result(head.m_status);
  state.m_response.version(11);
  for (const Header& header : head.m_headers) {
    if (!IsHopByHop(header.m_name))
      state.m_response.insert(header.m_name, header.m_value);
  }
  // Requests behind this one that have been read are still answered.
  const bool is_last_before_stop =
      state.m_announce_close->load(std::memory_order_relaxed) &&
      state.m_connection->m_order.IsLast(state.m_place);
  const bool close = is_last_before_stop || !state.m_parser.is_done();
  state.m_keep_alive = state.m_parser.keep_alive() && !close;
  if (!state.m_keep_alive)
    state.m_connection->m_order.EndWith(state.m_place);
  state.m_response.keep_alive(state.m_keep_alive);
  if (head.m_content_length)
    state.m_response.content_length(*head.m_content_length);
  else
    state.m_response.chunked(true);
  state.m_response.body().data = nullptr;
  state.m_response.body().more = true;
  state.m_serializer.emplace(state.m_response);
  SetTimeout(state.m_stream, WriteTimeout(state));
  auto [error, count] = co_await http::async_write_header(
      state.m_stream, *state.m_serializer, kTuple);
  state.m_stream.expires_never();
  if (error)
    co_return CallerConnectionError(error);
  co_return Success();
}

asio::awaitable<Status> HttpExchange::Write(std::string_view data) {
  HttpExchangeState& state = m_state;
  if (data.empty())
    co_return Success();
  auto& body = state.m_response.body();
  // Beast takes a mutable pointer and does not write through it.
  body.data = const_cast<char*>(data.data());
  body.size = data.size();
  body.more = true;
  SetTimeout(state.m_stream, WriteTimeout(state));
  auto [error, count] =
      co_await http::async_write(state.m_stream, *state.m_serializer, kTuple);
  state.m_stream.expires_never();
  if (error && error != http::error::need_buffer)
    co_return CallerConnectionError(error);
  co_return Success();
}

asio::awaitable<Status> HttpExchange::End() {
  HttpExchangeState& state = m_state;
  auto& body = state.m_response.body();
  body.data = nullptr;
  body.size = 0;
  body.more = false;
  SetTimeout(state.m_stream, WriteTimeout(state));
  auto [error, count] =
      co_await http::async_write(state.m_stream, *state.m_serializer, kTuple);
  state.m_stream.expires_never();
  if (error)
    co_return CallerConnectionError(error);
  state.m_response_finished = true;
  co_return Success();
}

asio::awaitable<Status> HttpExchange::Respond(ResponseHead head,
                                              std::string_view body) {
  head.m_content_length = body.size();
  Status status = co_await Begin(std::move(head));
  if (status)
    status = co_await Write(body);
  if (status)
    status = co_await End();
  co_return status;
}

bool HttpExchange::IsCallerGone() const {
  if (m_state.m_connection->m_is_caller_gone)
    return true;
  char byte = 0;
  const ssize_t count = ::recv(m_state.m_stream.socket().native_handle(), &byte,
                               1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpExchange::Watch(std::function<void()> on_disconnect) {
  if (m_state.m_is_overlapping) {
    Connection& connection = *m_state.m_connection;
    if (connection.m_is_caller_gone)
      asio::post(m_state.m_stream.get_executor(), std::move(on_disconnect));
    else
      connection.m_watches[m_state.m_place] = std::move(on_disconnect);
    return;
  }
  auto watch_active = std::make_shared<bool>(true);
  m_state.m_watch_active = watch_active;
  tcp::socket& socket = m_state.m_stream.socket();
  socket.async_wait(
      tcp::socket::wait_read,
      [watch_active, &socket,
       callback = std::move(on_disconnect)](const beast::error_code& error) {
        if (!*watch_active)
          return;
        char byte = 0;
        const ssize_t count = error ? -1
                                    : ::recv(socket.native_handle(), &byte, 1,
                                             MSG_PEEK | MSG_DONTWAIT);
        // Readable data is a pipelined request, so the caller is still
        // connected.
        if (count <= 0)
          callback();
      });
}

void HttpExchange::Unwatch() {
  m_state.m_connection->m_watches.erase(m_state.m_place);
  if (m_state.m_watch_active == nullptr)
    return;
  *m_state.m_watch_active = false;
  m_state.m_watch_active.reset();
  beast::error_code error;
  m_state.m_stream.socket().cancel(error);
}

struct HttpListener::State : std::enable_shared_from_this<State> {
  State(asio::io_context& io, HttpHandler handler, HttpListenerOptions options)
      : m_acceptor(io),
        m_handler(std::move(handler)),
        m_options(std::move(options)) {}

  void LimitReceiveBuffer();
  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> ServeConnection(tcp::socket socket);
  // Reads a request head and handles the request, or starts to. Returns false
  // if no further request is read on the connection.
  asio::awaitable<bool> ServeRequest(
      const std::shared_ptr<Connection>& connection);
  asio::awaitable<bool> ReadHead(HttpExchangeState& state);
  asio::awaitable<void> Handle(std::shared_ptr<HttpExchangeState> state);
  bool MayOverlap(const HttpExchangeState& state) const;
  // Without a request in progress, the connection is closed after a while.
  void SetIdle(const std::shared_ptr<Connection>& connection);

  tcp::acceptor m_acceptor;
  const HttpHandler m_handler;
  const HttpListenerOptions m_options;
  std::set<beast::tcp_stream*> m_idle_streams;
  std::atomic<std::size_t> m_open_connections = 0;
  std::atomic<bool> m_announce_close = false;
  int m_receive_buffer_bytes = 0;  // as set last
  bool m_closed = false;
};

// Accepted connections inherit the size; set later, it would not limit the
// window that is announced with the handshake.
void HttpListener::State::LimitReceiveBuffer() {
  const int bytes =
      m_options.m_receive_buffer_bytes ? m_options.m_receive_buffer_bytes() : 0;
  if (bytes == 0 || bytes == m_receive_buffer_bytes)
    return;
  beast::error_code error;
  m_acceptor.set_option(asio::socket_base::receive_buffer_size(bytes), error);
  if (!error)
    m_receive_buffer_bytes = bytes;
}

asio::awaitable<void> HttpListener::State::AcceptLoop() {
  const auto self = shared_from_this();
  while (!m_closed) {
    LimitReceiveBuffer();
    auto [error, socket] = co_await m_acceptor.async_accept(kTuple);
    if (error == asio::error::operation_aborted || m_closed)
      co_return;
    if (error) {
      // Out of file descriptors: wait for some to be closed.
      asio::steady_timer timer(m_acceptor.get_executor(),
                               std::chrono::milliseconds(50));
      co_await timer.async_wait(kTuple);
      continue;
    }
    if (m_open_connections.load(std::memory_order_relaxed) >=
        m_options.m_max_connections)
      continue;
    asio::co_spawn(m_acceptor.get_executor(),
                   ServeConnection(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> HttpListener::State::ServeConnection(tcp::socket socket) {
  const auto self = shared_from_this();
  m_open_connections.fetch_add(1, std::memory_order_relaxed);
  beast::error_code error;
  socket.set_option(tcp::no_delay(true), error);
  const auto endpoint = socket.remote_endpoint(error);
  const std::string remote_address =
      error ? "" : endpoint.address().to_string();
  const auto connection = std::make_shared<Connection>(std::move(socket));
  connection->m_remote_address = remote_address;
  try {
    while (co_await ServeRequest(connection)) {
    }
    co_await connection->m_order.WaitUntilAtMost(0);
  } catch (const std::exception&) {
    // An exception, such as a failed allocation, closes only this connection.
  }
  connection->m_idle_timer.cancel();
  m_idle_streams.erase(&connection->m_stream);
  connection->m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
  if (!connection->m_is_caller_gone)
    co_await DiscardUntilClosed(connection->m_stream);
  m_open_connections.fetch_sub(1, std::memory_order_relaxed);
}

void HttpListener::State::SetIdle(
    const std::shared_ptr<Connection>& connection) {
  m_idle_streams.insert(&connection->m_stream);
  connection->m_idle_timer.expires_after(m_options.m_idle_timeout);
  connection->m_idle_timer.async_wait(
      [weak = std::weak_ptr(connection)](const beast::error_code& error) {
        const auto idle = weak.lock();
        if (!error && idle && idle->m_order.InProgress() == 0)
          idle->m_stream.cancel();
      });
}

// Reads the next request head. Returns false if there is none.
asio::awaitable<bool> HttpListener::State::ReadHead(HttpExchangeState& state) {
  Connection& connection = *state.m_connection;
  state.m_parser.header_limit(
      static_cast<std::uint32_t>(m_options.m_max_header_bytes));
  state.m_parser.body_limit(boost::none);
  // A response that is being written has set a timeout for reads as well, if
  // none was in progress then.
  connection.m_stream.expires_never();
  auto [error, count] = co_await http::async_read_header(
      connection.m_stream, connection.m_buffer, state.m_parser, kTuple);
  connection.m_idle_timer.cancel();
  m_idle_streams.erase(&connection.m_stream);
  if (!error) {
    FillRequestHead(state);
    co_return true;
  }
  // A cancelled read is a decision of this side.
  connection.m_is_caller_gone =
      error != asio::error::operation_aborted && !IsParseError(error);
  if (connection.m_is_caller_gone) {
    for (auto& [place, on_disconnect] : std::exchange(connection.m_watches, {}))
      on_disconnect();
  }
  co_await connection.m_order.WaitUntilAtMost(0);
  if (IsParseError(error) && !connection.m_order.IsEnded())
    co_await RejectRequestHead(connection.m_stream, error);
  co_return false;
}

bool HttpListener::State::MayOverlap(const HttpExchangeState& state) const {
  return m_options.m_max_overlapping > 1 && !state.m_head.m_has_body &&
         state.m_parser.keep_alive() && m_options.m_may_overlap &&
         m_options.m_may_overlap(state.m_head);
}

asio::awaitable<bool> HttpListener::State::ServeRequest(
    const std::shared_ptr<Connection>& connection) {
  ResponseOrder& order = connection->m_order;
  const auto state = std::make_shared<HttpExchangeState>(connection);
  state->m_body_timeout = m_options.m_body_timeout;
  state->m_announce_close = &m_announce_close;
  co_await order.WaitUntilAtMost(
      std::max<std::size_t>(m_options.m_max_overlapping, 1) - 1);
  if (m_closed || order.IsEnding())
    co_return false;
  if (order.InProgress() == 0)
    SetIdle(connection);
  if (!co_await ReadHead(*state))
    co_return false;
  state->m_is_overlapping = MayOverlap(*state);
  if (!state->m_is_overlapping)
    co_await order.WaitUntilAtMost(0);
  // An earlier response announced that the connection is closed, so the caller
  // sends this request again.
  if (order.IsEnding())
    co_return false;
  // The end of an earlier request may have marked the connection as idle while
  // this one waited for it.
  connection->m_idle_timer.cancel();
  m_idle_streams.erase(&connection->m_stream);
  state->m_place = order.AddRequest();
  if (state->m_is_overlapping) {
    asio::co_spawn(connection->m_stream.get_executor(), Handle(state),
                   asio::detached);
    co_return true;
  }
  co_await Handle(state);
  co_return !order.IsEnded();
}

asio::awaitable<void> HttpListener::State::Handle(
    std::shared_ptr<HttpExchangeState> state) {
  const auto self = shared_from_this();
  const std::shared_ptr<Connection> connection = state->m_connection;
  HttpExchange exchange(*state);
  try {
    if (beast::iequals(state->m_parser.get()[http::field::expect],
                       "100-continue")) {
      static constexpr std::string_view kContinue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(connection->m_stream, asio::buffer(kContinue),
                                 kTuple);
    }
    co_await m_handler(exchange);
    if (state->m_response_finished && !state->m_parser.is_done())
      co_await exchange.ReadAll(kMaxDiscardedBytes);
  } catch (const std::exception&) {
    // As a handler that returns without a response.
  }
  connection->m_watches.erase(state->m_place);
  const bool is_kept = state->m_response_finished && state->m_keep_alive &&
                       state->m_parser.is_done();
  connection->m_order.Finish(state->m_place, is_kept);
  if (!state->m_is_overlapping)
    co_return;
  // The other requests that overlap have no caller any more.
  if (connection->m_order.IsEnded()) {
    for (auto& [place, on_disconnect] :
         std::exchange(connection->m_watches, {}))
      on_disconnect();
    connection->m_stream.cancel();  // ends the read of a further request
  } else if (connection->m_order.InProgress() == 0) {
    SetIdle(connection);
  }
}

HttpListener::HttpListener(asio::io_context& io,
                           HttpHandler handler,
                           HttpListenerOptions options)
    : m_state(
          std::make_shared<State>(io, std::move(handler), std::move(options))) {
}

HttpListener::~HttpListener() {
  beast::error_code error;
  m_state->m_closed = true;
  m_state->m_acceptor.close(error);
}

Result<std::uint16_t> HttpListener::Listen(const Endpoint& endpoint) {
  const auto failure = [&](const beast::error_code& error) {
    return MakeError(ErrorCode::kIo, endpoint.m_address + ":" +
                                         std::to_string(endpoint.m_port) +
                                         ": " + error.message());
  };
  beast::error_code error;
  const auto address = asio::ip::make_address(endpoint.m_address, error);
  if (error)
    return failure(error);
  const tcp::endpoint local(address, endpoint.m_port);
  tcp::acceptor& acceptor = m_state->m_acceptor;
  acceptor.open(local.protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.set_option(ReusePort(true), error);
  if (!error)
    acceptor.bind(local, error);
  if (!error)
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return failure(error);
  asio::co_spawn(acceptor.get_executor(), m_state->AcceptLoop(),
                 asio::detached);
  return acceptor.local_endpoint().port();
}

void HttpListener::AnnounceClose() {
  m_state->m_announce_close.store(true, std::memory_order_relaxed);
}

void HttpListener::Close() {
  asio::post(m_state->m_acceptor.get_executor(), [state = m_state] {
    beast::error_code error;
    state->m_closed = true;
    state->m_announce_close.store(true, std::memory_order_relaxed);
    state->m_acceptor.close(error);
    for (beast::tcp_stream* stream : state->m_idle_streams)
      stream->cancel();
  });
}

std::size_t HttpListener::OpenConnections() const {
  return m_state->m_open_connections.load(std::memory_order_relaxed);
}

}  // namespace jujube::net
