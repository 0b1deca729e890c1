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

// Closes a socket unless it is destroyed before the timeout; the pending read
// or write then fails. The socket must outlive the guard.
class SocketDeadline {
 public:
  SocketDeadline(asio::ip::tcp::socket& socket,
                 std::chrono::milliseconds timeout)
      : m_timer(socket.get_executor(), timeout),
        m_alive(std::make_shared<bool>(true)) {
    m_timer.async_wait([&socket, alive = m_alive](const auto& error) {
      if (error || !*alive)
        return;
      boost::system::error_code ignored;
      socket.close(ignored);
    });
  }
  ~SocketDeadline() { *m_alive = false; }
  SocketDeadline(const SocketDeadline&) = delete;
  SocketDeadline& operator=(const SocketDeadline&) = delete;

 private:
  asio::steady_timer m_timer;
  std::shared_ptr<bool> m_alive;  // a wait that has ended cannot be cancelled
};

Error Interrupted(const boost::system::error_code& error) {
  return MakeError(ErrorCode::kUnavailable, "handshake: " + error.message());
}

asio::awaitable<Result<std::string>> Read(asio::ip::tcp::socket& socket,
                                          std::size_t size) {
  std::string bytes(size, '\0');
  const auto [error, count] =
      co_await asio::async_read(socket, asio::buffer(bytes), kTuple);
  if (error)
    co_return Interrupted(error);
  co_return bytes;
}

asio::awaitable<Status> Write(asio::ip::tcp::socket& socket,
                              const std::string& bytes) {
  const auto [error, count] =
      co_await asio::async_write(socket, asio::buffer(bytes), kTuple);
  if (error)
    co_return Interrupted(error);
  co_return Success();
}

wire::HandshakeParty ThisParty(const FrameOptions& options) {
  return {.m_nonce = NewNonce(), .m_incarnation = options.m_incarnation};
}

}  // namespace

std::string NewNonce() {
  std::string nonce(wire::kNonceBytes, '\0');
  // Fails only if the system has no entropy source; a predictable nonce would
  // allow replays, so the process ends.
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1)
    std::abort();
  return nonce;
}

asio::awaitable<Result<wire::Session>> ServerHandshake(
    asio::ip::tcp::socket& socket,
    const FrameOptions& options) {
  const SocketDeadline deadline(socket, options.m_handshake_timeout);
  const auto client = co_await Read(socket, wire::kClientHelloBytes);
  if (!client)
    co_return client.error();
  const auto server =
      wire::ServerHello(options.m_key, client.value(), ThisParty(options));
  if (!server)
    co_return server.error();
  const Status sent = co_await Write(socket, server.value());
  if (!sent)
    co_return sent.error();
  const auto proof = co_await Read(socket, wire::kClientProofBytes);
  if (!proof)
    co_return proof.error();
  co_return wire::AcceptClientProof(options.m_key, client.value(),
                                    server.value(), proof.value());
}

asio::awaitable<Result<wire::Session>> ClientHandshake(
    asio::ip::tcp::socket& socket,
    const FrameOptions& options) {
  const SocketDeadline deadline(socket, options.m_handshake_timeout);
  const wire::HandshakeParty party = ThisParty(options);
  const Status hello = co_await Write(socket, wire::ClientHello(party));
  if (!hello)
    co_return hello.error();
  const auto server = co_await Read(socket, wire::kServerHelloBytes);
  if (!server)
    co_return server.error();
  const auto accepted =
      wire::AcceptServerHello(options.m_key, party, server.value());
  if (!accepted)
    co_return accepted.error();
  const Status proof = co_await Write(socket, accepted.value().m_proof);
  if (!proof)
    co_return proof.error();
  co_return accepted.value().m_session;
}

}  // namespace jujube::net
