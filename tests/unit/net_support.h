// Helpers for tests of the backends: a worker thread, and a peer that is driven
// byte by byte.

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

inline constexpr char kKey[] = "a key for tests of 32 bytes.....";

inline FrameOptions TestOptions(FrameCounters* counters = nullptr) {
  FrameOptions options;
  options.m_key = kKey;
  options.m_incarnation = 3;
  // No test but that of the timeout itself depends on the speed of the machine.
  options.m_handshake_timeout = std::chrono::hours(1);
  options.m_backoff_min = std::chrono::milliseconds(2);
  options.m_backoff_max = std::chrono::milliseconds(20);
  options.m_counters = counters;
  return options;
}

inline MonoTime In(std::chrono::milliseconds time) {
  return MonoClock::now() + time;
}

// One thread with one io_context. Objects that live on it are made and
// destroyed with Run.
class Loop {
 public:
  boost::asio::io_context& Context() { return m_workers.Context(0); }
  void Run(const std::function<void()>& task) { m_workers.Run(0, task); }

  // Waits, without a bound, until the predicate holds on the thread.
  void Until(const std::function<bool()>& predicate) {
    for (bool holds = false; !holds;) {
      Run([&] { holds = predicate(); });
      if (!holds)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

 private:
  WorkerGroup m_workers{1};
};

// A blocking end of a connection.
class RawPeer {
 public:
  explicit RawPeer(std::string key = kKey) : m_key(std::move(key)) {}

  // As a server: listens, then takes one connection with its handshake.
  Endpoint Listen() {
    m_acceptor.open(boost::asio::ip::tcp::v4());
    m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    return {.m_port = m_acceptor.local_endpoint().port()};
  }
  void Accept() {
    m_acceptor.accept(m_socket);
    const std::string hello = Read(wire::kClientHelloBytes);
    const std::string reply = wire::ServerHello(m_key, hello, Party()).value();
    Write(reply);
    Begin(wire::AcceptClientProof(m_key, hello, reply,
                                  Read(wire::kClientProofBytes))
              .value());
  }

  // As a client: connects, then runs the handshake.
  void Connect(const Endpoint& endpoint) {
    m_socket.connect(
        {boost::asio::ip::address_v4::loopback(), endpoint.m_port});
  }
  void Handshake() {
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
    Write(wire::ClientHello(Party()));
    const auto accepted =
        wire::AcceptServerHello(m_key, Party(), Read(wire::kServerHelloBytes));
    Write(accepted.value().m_proof);
    Begin(accepted.value().m_session);
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
  // Reads and drops everything until the other end closes. Returns its size.
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
  static wire::HandshakeParty Party() {
    return {.m_nonce = std::string(wire::kNonceBytes, 'n'), .m_incarnation = 4};
  }
  void Begin(const wire::Session& session) {
    m_sealer = std::make_unique<wire::FrameSealer>(session.m_send_key, 4);
  }

  std::string m_key;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor{m_context};
  boost::asio::ip::tcp::socket m_socket{m_context};
  std::unique_ptr<wire::FrameSealer> m_sealer;
};

}  // namespace jujube::net::test
