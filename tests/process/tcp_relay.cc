#include "process/tcp_relay.h"

#include <array>
#include <atomic>
#include <future>
#include <list>
#include <thread>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "process/process_harness.h"

namespace jujube::process {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = 65536;

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.m_address), endpoint.m_port};
}

struct Connection {
  explicit Connection(tcp::socket accepted)
      : m_client(std::move(accepted)), m_target(m_client.get_executor()) {}

  void Close() {
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_target.close(ignored);
  }

  tcp::socket m_client;
  tcp::socket m_target;
};

}  // namespace

struct TcpRelay::Impl {
  explicit Impl(const Endpoint& target)
      : m_target(target), m_address(ReserveEndpoint()) {}

  // Runs the task on the thread of the relay and returns when it is done.
  void Run(const std::function<void()>& task) {
    std::promise<void> done;
    asio::post(m_io, [&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  void Listen();
  void Close();
  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> RelayConnection(std::shared_ptr<Connection> connection);
  asio::awaitable<void> ForwardBytes(std::shared_ptr<Connection> connection,
                                     tcp::socket& from,
                                     tcp::socket& to,
                                     std::atomic<std::uint64_t>& byte_count);
  // Waits until the relay is not stalled.
  asio::awaitable<void> WaitWhileStalled();

  const Endpoint m_target;
  const Endpoint m_address;
  asio::io_context m_io{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work{
      m_io.get_executor()};
  tcp::acceptor m_acceptor{m_io};
  asio::steady_timer m_stall_timer{m_io};
  bool m_is_stalled = false;
  std::list<std::weak_ptr<Connection>> m_connections;
  std::atomic<std::uint64_t> m_bytes_to_target{0};
  std::atomic<std::uint64_t> m_bytes_from_target{0};
  std::thread m_thread;
};

void TcpRelay::Impl::Listen() {
  if (m_acceptor.is_open())
    return;
  m_acceptor.open(tcp::v4());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_acceptor.bind(ToAsio(m_address));
  m_acceptor.listen();
  asio::co_spawn(m_io, AcceptConnections(), asio::detached);
}

void TcpRelay::Impl::Close() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock())
      connection->Close();
  }
  m_connections.clear();
}

asio::awaitable<void> TcpRelay::Impl::AcceptConnections() {
  while (true) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAwaitTuple);
    if (error)
      co_return;
    auto connection = std::make_shared<Connection>(std::move(socket));
    m_connections.remove_if([](const auto& weak) { return weak.expired(); });
    m_connections.push_back(connection);
    asio::co_spawn(m_io, RelayConnection(std::move(connection)),
                   asio::detached);
  }
}

asio::awaitable<void> TcpRelay::Impl::RelayConnection(
    std::shared_ptr<Connection> connection) {
  co_await WaitWhileStalled();
  auto [error] = co_await connection->m_target.async_connect(ToAsio(m_target),
                                                             kAwaitTuple);
  if (error) {
    connection->Close();
    co_return;
  }
  boost::system::error_code ignored;
  connection->m_client.set_option(tcp::no_delay(true), ignored);
  connection->m_target.set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(m_io,
                 ForwardBytes(connection, connection->m_client,
                              connection->m_target, m_bytes_to_target),
                 asio::detached);
  co_await ForwardBytes(connection, connection->m_target, connection->m_client,
                        m_bytes_from_target);
}

asio::awaitable<void> TcpRelay::Impl::ForwardBytes(
    std::shared_ptr<Connection> connection,
    tcp::socket& from,
    tcp::socket& to,
    std::atomic<std::uint64_t>& byte_count) {
  std::array<char, kBufferBytes> buffer{};
  while (true) {
    co_await WaitWhileStalled();
    const auto [read_error, size] =
        co_await from.async_read_some(asio::buffer(buffer), kAwaitTuple);
    if (read_error)
      break;
    co_await WaitWhileStalled();
    const asio::const_buffer read(buffer.data(), size);
    const auto [write_error, written] =
        co_await asio::async_write(to, read, kAwaitTuple);
    byte_count += written;
    if (write_error)
      break;
  }
  // A stall delays the close of a connection as it delays its bytes.
  co_await WaitWhileStalled();
  connection->Close();
}

asio::awaitable<void> TcpRelay::Impl::WaitWhileStalled() {
  while (m_is_stalled)
    (void)co_await m_stall_timer.async_wait(kAwaitTuple);
}

TcpRelay::TcpRelay(const Endpoint& target)
    : m_impl(std::make_unique<Impl>(target)) {
  m_impl->m_stall_timer.expires_at(asio::steady_timer::time_point::max());
  m_impl->Listen();
  m_impl->m_thread = std::thread([this] { m_impl->m_io.run(); });
}

TcpRelay::~TcpRelay() {
  Cut();
  m_impl->m_io.stop();
  m_impl->m_thread.join();
}

const Endpoint& TcpRelay::Address() const {
  return m_impl->m_address;
}

void TcpRelay::Stall() {
  m_impl->Run([this] { m_impl->m_is_stalled = true; });
}

void TcpRelay::Cut() {
  m_impl->Run([this] {
    m_impl->m_is_stalled = false;
    m_impl->Close();
    m_impl->m_stall_timer.cancel();
  });
}

void TcpRelay::Restore() {
  m_impl->Run([this] {
    m_impl->m_is_stalled = false;
    m_impl->m_stall_timer.cancel();
    m_impl->Listen();
  });
}

std::uint64_t TcpRelay::BytesToTarget() const {
  return m_impl->m_bytes_to_target;
}

std::uint64_t TcpRelay::BytesFromTarget() const {
  return m_impl->m_bytes_from_target;
}

}  // namespace jujube::process
