#include "net/http_connection.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

#include <sys/socket.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include "net/http_fields.h"

namespace jujube::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBufferBytes = 65536;
constexpr std::uint32_t kMaxHeaderBytes = 32768;
constexpr int kMaxInformationalResponses = 8;
// RFC 9110, section 15. The parser accepts any three digits.
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

Error DeadlineError(std::string_view operation) {
  return MakeError(ErrorCode::kTimeout,
                   std::string(operation) + ": the deadline has passed");
}

Error OperationError(std::string_view operation,
                     const beast::error_code& error) {
  const bool timeout = error == beast::error::timeout;
  return MakeError(timeout ? ErrorCode::kTimeout : ErrorCode::kIo,
                   std::string(operation) + ": " + error.message());
}

// True if a line of the head begins with a blank. RFC 9112, section 5.2, lets a
// gateway reject such a line or join it to the previous one, as the parser
// does. From a server in trouble it may be a field of its own, such as the
// length of the body, which joining would hide.
bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

// Fails for heads that the parser accepts although a caller could not use the
// response.
Status CheckHead(const http::response_header<>& head) {
  if (head.result_int() < kMinStatus || head.result_int() > kMaxStatus) {
    return MakeError(ErrorCode::kIo, "response head: invalid status " +
                                         std::to_string(head.result_int()));
  }
  // The parser leaves any other coding on the body, and the field that names it
  // is not passed on. No request asks for one.
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  for (auto field = first; field != last; ++field) {
    if (!EqualsIgnoreCase(field->value(), "chunked")) {
      return MakeError(ErrorCode::kIo,
                       "response head: a transfer coding other than chunked");
    }
  }
  return Success();
}

// True if the next bytes of the socket begin an informational response.
bool HasInformationalResponse(tcp::socket& socket) {
  constexpr std::string_view kBeginning = "HTTP/1.1 1";
  std::array<char, kBeginning.size()> bytes{};
  const ssize_t count = ::recv(socket.native_handle(), bytes.data(),
                               bytes.size(), MSG_PEEK | MSG_DONTWAIT);
  return count > 0 && kBeginning.starts_with(std::string_view(
                          bytes.data(), static_cast<std::size_t>(count)));
}

}  // namespace

struct HttpConnection::State {
  explicit State(const asio::any_io_executor& executor) : m_stream(executor) {}

  // The timer of the stream ends only operations that wait. A peer that always
  // has bytes ready or takes bytes at once never lets one wait.
  bool IsPastDeadline() const { return MonoClock::now() >= m_deadline; }

  // Reads the next head into a new parser.
  asio::awaitable<Status> ParseHead();
  // Reads more bytes into m_buffer.
  asio::awaitable<beast::error_code> FillBuffer();

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer{kReadBufferBytes};
  http::request<http::buffer_body> m_request;
  std::optional<http::request_serializer<http::buffer_body>> m_serializer;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  MonoTime m_deadline = MonoTime::max();
  bool m_is_head_method = false;
  bool m_reusable = false;
  bool m_allows_close_delimited = false;
  std::shared_ptr<bool> m_watch_active;  // false after UnwatchInput
};

asio::awaitable<beast::error_code> HttpConnection::State::FillBuffer() {
  const std::size_t size = beast::read_size(m_buffer, kReadBufferBytes);
  auto [error, count] =
      co_await m_stream.async_read_some(m_buffer.prepare(size), kTuple);
  m_buffer.commit(count);
  if (error == asio::error::eof) {
    co_return m_parser->got_some() ? http::error::partial_message
                                   : http::error::end_of_stream;
  }
  co_return error;
}

// http::async_read_header does not give access to the bytes of the head.
asio::awaitable<Status> HttpConnection::State::ParseHead() {
  m_parser.emplace();
  m_parser->header_limit(kMaxHeaderBytes);
  m_parser->body_limit(boost::none);
  m_parser->skip(m_is_head_method);
  std::string head;
  beast::error_code error;
  while (!m_parser->is_header_done()) {
    if (m_buffer.size() == 0 || error == http::error::need_more) {
      error = co_await FillBuffer();
      if (error)
        co_return OperationError("response head", error);
    }
    // A part that the parser cannot use yet stays in the buffer.
    const auto unparsed = m_buffer.data();
    const std::size_t count = m_parser->put(unparsed, error);
    head.append(static_cast<const char*>(unparsed.data()), count);
    m_buffer.consume(count);
    if (error && error != http::error::need_more)
      co_return OperationError("response head", error);
  }
  if (HasFoldedLine(head)) {
    co_return MakeError(ErrorCode::kIo,
                        "response head: a field line begins with a blank");
  }
  co_return Success();
}

HttpConnection::HttpConnection(const asio::any_io_executor& executor)
    : m_state(std::make_unique<State>(executor)) {}

HttpConnection::~HttpConnection() {
  if (m_state->m_watch_active != nullptr)
    *m_state->m_watch_active = false;
}

void HttpConnection::Close() {
  m_state->m_stream.close();
}

void HttpConnection::TakeCloseDelimited() {
  m_state->m_allows_close_delimited = true;
}

void HttpConnection::SetDeadline(MonoTime deadline) {
  m_state->m_deadline = deadline;
  const auto remaining = deadline - MonoClock::now();
  m_state->m_stream.expires_after(
      std::max(remaining, MonoClock::duration::zero()));
}

asio::awaitable<Status> HttpConnection::Connect(const Endpoint& endpoint) {
  beast::error_code error;
  const auto address = asio::ip::make_address(endpoint.m_address, error);
  if (error)
    co_return OperationError("address", error);
  auto [connect_error] = co_await m_state->m_stream.async_connect(
      tcp::endpoint(address, endpoint.m_port), kTuple);
  if (connect_error)
    co_return OperationError("connect", connect_error);
  m_state->m_stream.socket().set_option(tcp::no_delay(true), error);
  co_return Success();
}

asio::awaitable<Status> HttpConnection::SendHead(const RequestHead& head) {
  State& state = *m_state;
  state.m_reusable = false;
  state.m_is_head_method = head.m_method == "HEAD";
  state.m_request = {};
  state.m_request.method_string(head.m_method);
  state.m_request.target(head.m_target);
  state.m_request.version(11);
  for (const Header& header : head.m_headers) {
    if (!IsHopByHop(header.m_name))
      state.m_request.insert(header.m_name, header.m_value);
  }
  if (head.m_has_body && head.m_content_length)
    state.m_request.content_length(*head.m_content_length);
  else if (head.m_has_body)
    state.m_request.chunked(true);
  state.m_request.body().data = nullptr;
  state.m_request.body().more = head.m_has_body;
  state.m_serializer.emplace(state.m_request);
  state.m_parser.emplace();
  auto [error, count] = co_await http::async_write_header(
      state.m_stream, *state.m_serializer, kTuple);
  if (error)
    co_return OperationError("send", error);
  co_return Success();
}

asio::awaitable<Status> HttpConnection::SendBody(std::string_view data) {
  if (data.empty())
    co_return Success();
  State& state = *m_state;
  if (state.IsPastDeadline())
    co_return DeadlineError("send");
  auto& body = state.m_request.body();
  // Beast takes a mutable pointer and does not write through it.
  body.data = const_cast<char*>(data.data());
  body.size = data.size();
  body.more = true;
  auto [error, count] =
      co_await http::async_write(state.m_stream, *state.m_serializer, kTuple);
  if (error && error != http::error::need_buffer)
    co_return OperationError("send", error);
  co_return Success();
}

asio::awaitable<Status> HttpConnection::EndBody() {
  State& state = *m_state;
  auto& body = state.m_request.body();
  body.data = nullptr;
  body.size = 0;
  body.more = false;
  if (state.m_serializer->is_done())
    co_return Success();
  auto [error, count] =
      co_await http::async_write(state.m_stream, *state.m_serializer, kTuple);
  if (error)
    co_return OperationError("send", error);
  co_return Success();
}

asio::awaitable<Result<ResponseHead>> HttpConnection::ReadHead() {
  State& state = *m_state;
  for (int i = 0; i < kMaxInformationalResponses; ++i) {
    JUJUBE_CO_TRY(co_await state.ParseHead());
    const auto& message = state.m_parser->get();
    JUJUBE_CO_TRY(CheckHead(message));
    if (message.result_int() / 100 == 1)
      continue;
    ResponseHead head{.m_status =
                          static_cast<std::uint16_t>(message.result_int())};
    for (const auto& field : message) {
      head.m_headers.push_back({.m_name = std::string(field.name_string()),
                                .m_value = std::string(field.value())});
    }
    if (state.m_parser->content_length())
      head.m_content_length = *state.m_parser->content_length();
    else if (state.m_parser->is_done())
      head.m_content_length = 0;
    state.m_reusable = state.m_parser->is_done() && message.keep_alive();
    co_return head;
  }
  co_return MakeError(ErrorCode::kIo,
                      "response head: too many informational responses");
}

asio::awaitable<Result<std::size_t>> HttpConnection::ReadSome(
    std::span<char> buffer) {
  State& state = *m_state;
  if (!state.m_allows_close_delimited && state.m_parser->need_eof() &&
      !state.m_parser->is_done()) {
    // Only the close of the connection would mark the end of the body.
    co_return MakeError(
        ErrorCode::kIo,
        "response body: neither Content-Length nor chunked encoding");
  }
  while (!state.m_parser->is_done()) {
    if (state.IsPastDeadline())
      co_return DeadlineError("response body");
    auto& body = state.m_parser->get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    auto [error, count] = co_await http::async_read_some(
        state.m_stream, state.m_buffer, *state.m_parser, kTuple);
    if (error && error != http::error::need_buffer)
      co_return OperationError("response body", error);
    const std::size_t received = buffer.size() - body.size;
    if (received > 0)
      co_return received;
  }
  state.m_reusable = state.m_parser->get().keep_alive();
  co_return std::size_t{0};
}

void HttpConnection::WatchInput(std::function<void()> on_input) {
  auto watch_active = std::make_shared<bool>(true);
  m_state->m_watch_active = watch_active;
  tcp::socket& socket = m_state->m_stream.socket();
  socket.async_wait(
      tcp::socket::wait_read,
      [watch_active, &socket,
       callback = std::move(on_input)](const beast::error_code& error) {
        // Aborted: the deadline of an operation has passed.
        if (!*watch_active || error == asio::error::operation_aborted)
          return;
        if (error || !HasInformationalResponse(socket))
          callback();
      });
}

void HttpConnection::UnwatchInput() {
  if (m_state->m_watch_active == nullptr)
    return;
  *m_state->m_watch_active = false;
  m_state->m_watch_active.reset();
  beast::error_code error;
  m_state->m_stream.socket().cancel(error);
}

void HttpConnection::CancelOperations() {
  m_state->m_stream.cancel();
}

bool HttpConnection::Reusable() const {
  return m_state->m_reusable && m_state->m_buffer.size() == 0;
}

bool HttpConnection::Stale() const {
  char byte = 0;
  const ssize_t count = ::recv(m_state->m_stream.socket().native_handle(),
                               &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace jujube::net
