// Helpers for tests of net/: an I/O thread, and a peer that is controlled at
// the level of single frames.

#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "net/frame_client.h"
#include "net/frame_server.h"
#include "net/worker_group.h"
#include "wire/frame_opener.h"
#include "wire/frame_sealer.h"
#include "wire/handshake.h"

namespace jujube::net::test {

inline constexpr char kTestKey[] = "a key for tests of 32 bytes.....";

inline FrameOptions TestOptions(FrameCounters* counters = nullptr) {
  FrameOptions options;
  options.m_key = kTestKey;
  options.m_incarnation = 3;
  // Handshakes do not time out on a slow machine. The test of the timeout sets
  // its own value.
  options.m_handshake_timeout = std::chrono::hours(1);
  options.m_backoff_min = std::chrono::milliseconds(2);
  options.m_backoff_max = std::chrono::milliseconds(20);
  options.m_counters = counters;
  return options;
}

inline MonoTime DeadlineIn(std::chrono::milliseconds delay) {
  return MonoClock::now() + delay;
}

// A thread that runs an io_context. Objects that use the context must be
// created and destroyed in Run.
class IoThread {
 public:
  boost::asio::io_context& Context() { return m_workers.Context(0); }
  void Run(const std::function<void()>& task) { m_workers.Run(0, task); }

  // Waits, without a time limit, until the predicate is true. It runs on the
  // thread.
  void WaitUntil(const std::function<bool()>& predicate) {
    for (bool is_true = false; !is_true;) {
      Run([&] { is_true = predicate(); });
      if (!is_true)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

 private:
  WorkerGroup m_workers{1};
};

// A remote peer on a blocking socket, for frames that FrameClient and
// FrameServer would not send.
class RawPeer {
 public:
  explicit RawPeer(std::string key = kTestKey) : m_key(std::move(key)) {}

  // Server role: listens, then accepts one connection and runs its handshake.
  Endpoint Listen() {
    m_acceptor.open(boost::asio::ip::tcp::v4());
    m_acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    return {.m_port = m_acceptor.local_endpoint().port()};
  }
  void AcceptWithHandshake() {
    m_acceptor.accept(m_socket);
    const std::string hello = Read(wire::kClientHelloBytes);
    const std::string reply =
        wire::ServerHello(m_key, hello, LocalParty()).value();
    Write(reply);
    StartSession(wire::AcceptClientProof(m_key, hello, reply,
                                         Read(wire::kClientProofBytes))
                     .value());
  }

  // Releases the port. An accepted connection stays open.
  void StopListening() { m_acceptor.close(); }

  // Client role: connects, then runs the handshake.
  void Connect(const Endpoint& endpoint) {
    m_socket.connect(
        {boost::asio::ip::address_v4::loopback(), endpoint.m_port});
  }
  void Handshake() {
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
    Write(wire::ClientHello(LocalParty()));
    const auto accepted = wire::AcceptServerHello(
        m_key, LocalParty(), Read(wire::kServerHelloBytes));
    Write(accepted.value().m_proof);
    StartSession(accepted.value().m_session);
  }

  template <class Message>
  std::string Frame(const Message& message, std::uint64_t correlation = 0) {
    const std::string payload = Encode(message);
    return m_sealer->Head(
               static_cast<std::uint16_t>(FrameTraits<Message>::kType),
               correlation, payload) +
           payload;
  }
  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
  }
  std::string Read(std::size_t size) {
    std::string bytes(size, '\0');
    boost::asio::read(m_socket, boost::asio::buffer(bytes));
    return bytes;
  }
  // Discards all data until the remote end closes. Returns the number of bytes.
  std::size_t ReadUntilClosed() {
    std::string bytes(65536, '\0');
    boost::system::error_code error;
    std::size_t total = 0;
    while (!error)
      total += m_socket.read_some(boost::asio::buffer(bytes), error);
    return total;
  }
  void Close() { m_socket.close(); }

 private:
  static wire::HandshakeParty LocalParty() {
    return {.m_nonce = std::string(wire::kNonceBytes, 'n'), .m_incarnation = 4};
  }
  void StartSession(const wire::Session& session) {
    m_sealer = std::make_unique<wire::FrameSealer>(session.m_send_key, 4);
  }

  std::string m_key;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor{m_context};
  boost::asio::ip::tcp::socket m_socket{m_context};
  std::unique_ptr<wire::FrameSealer> m_sealer;
};

}  // namespace jujube::net::test
