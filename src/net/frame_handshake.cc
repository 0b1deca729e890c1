#include <array>
#include <memory>

#include <openssl/rand.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/frame_connection_impl.h"

namespace jujube::net {

namespace asio = boost::asio;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// Closes the socket at the timeout, unless this guard is destroyed first. The
// read or write in progress then fails. The socket must outlive the guard.
class SocketDeadline {
 public:
  SocketDeadline(asio::ip::tcp::socket& socket,
                 std::chrono::milliseconds timeout)
      : m_timer(socket.get_executor(), timeout),
        m_is_pending(std::make_shared<bool>(true)) {
    m_timer.async_wait([&socket, is_pending = m_is_pending](const auto& error) {
      if (error || !*is_pending)
        return;
      boost::system::error_code ignored;
      socket.close(ignored);
    });
  }
  ~SocketDeadline() { *m_is_pending = false; }
  SocketDeadline(const SocketDeadline&) = delete;
  SocketDeadline& operator=(const SocketDeadline&) = delete;

 private:
  asio::steady_timer m_timer;
  std::shared_ptr<bool> m_is_pending;  // an expired wait whose handler is
                                       // queued cannot be cancelled
};

Error HandshakeIoError(const boost::system::error_code& error) {
  return MakeError(ErrorCode::kUnavailable, "handshake: " + error.message());
}

asio::awaitable<Result<std::string>> ReadBytes(asio::ip::tcp::socket& socket,
                                               std::size_t size) {
  std::string bytes(size, '\0');
  const auto [error, count] =
      co_await asio::async_read(socket, asio::buffer(bytes), kTuple);
  if (error)
    co_return HandshakeIoError(error);
  co_return bytes;
}

asio::awaitable<Status> WriteBytes(asio::ip::tcp::socket& socket,
                                   const std::string& bytes) {
  const auto [error, count] =
      co_await asio::async_write(socket, asio::buffer(bytes), kTuple);
  if (error)
    co_return HandshakeIoError(error);
  co_return Success();
}

wire::HandshakeParty NewLocalParty(const FrameOptions& options) {
  return {.m_nonce = NewNonce(), .m_incarnation = options.m_incarnation};
}

}  // namespace

std::string NewNonce() {
  std::string nonce(wire::kNonceBytes, '\0');
  // Fails only if the system has no entropy source. Abort, since a predictable
  // nonce would allow replay attacks.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1)
    std::abort();
  return nonce;
}

asio::awaitable<Result<wire::Session>> ServerHandshake(
    asio::ip::tcp::socket& socket,
    const FrameOptions& options) {
  const SocketDeadline deadline(socket, options.m_handshake_timeout);
  const auto client_hello = co_await ReadBytes(socket, wire::kClientHelloBytes);
  if (!client_hello)
    co_return client_hello.error();
  const auto server_hello = wire::ServerHello(
      options.m_key, client_hello.value(), NewLocalParty(options));
  if (!server_hello)
    co_return server_hello.error();
  const Status sent = co_await WriteBytes(socket, server_hello.value());
  if (!sent)
    co_return sent.error();
  const auto proof = co_await ReadBytes(socket, wire::kClientProofBytes);
  if (!proof)
    co_return proof.error();
  co_return wire::AcceptClientProof(options.m_key, client_hello.value(),
                                    server_hello.value(), proof.value());
}

asio::awaitable<Result<wire::Session>> ClientHandshake(
    asio::ip::tcp::socket& socket,
    const FrameOptions& options) {
  const SocketDeadline deadline(socket, options.m_handshake_timeout);
  const wire::HandshakeParty local_party = NewLocalParty(options);
  const Status hello =
      co_await WriteBytes(socket, wire::ClientHello(local_party));
  if (!hello)
    co_return hello.error();
  const auto server_hello = co_await ReadBytes(socket, wire::kServerHelloBytes);
  if (!server_hello)
    co_return server_hello.error();
  const auto accepted =
      wire::AcceptServerHello(options.m_key, local_party, server_hello.value());
  if (!accepted)
    co_return accepted.error();
  const Status proof = co_await WriteBytes(socket, accepted.value().m_proof);
  if (!proof)
    co_return proof.error();
  co_return accepted.value().m_session;
}

}  // namespace jujube::net
