#include "net/frame_server.h"

#include <cassert>
#include <unordered_set>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/frame_connection_impl.h"

namespace jujube::net {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// Delay after a failed accept. If the process is out of file descriptors, the
// next accept fails immediately, and the loop would occupy a whole core.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

struct FrameServer::Impl : std::enable_shared_from_this<FrameServer::Impl> {
  Impl(asio::io_context& context, FrameOptions options, FrameDispatch handlers)
      : m_acceptor(context),
        m_accept_retry_timer(context),
        m_options(std::move(options)),
        m_handlers(std::move(handlers)) {}

  Status Listen(const Endpoint& listen);
  static asio::awaitable<void> AcceptLoop(std::shared_ptr<Impl> self);
  static asio::awaitable<void> RunHandshake(
      std::shared_ptr<Impl> self,
      std::shared_ptr<Tcp::socket> socket);
  void AddConnection(Tcp::socket socket, const wire::Session& session);
  void Stop();

  Tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_retry_timer;
  FrameOptions m_options;
  FrameDispatch m_handlers;
  std::unordered_set<std::shared_ptr<Tcp::socket>> m_handshaking_sockets;
  std::unordered_set<std::shared_ptr<FrameConnection>> m_connections;
  bool m_stopped = false;
};

Status FrameServer::Impl::Listen(const Endpoint& listen) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(listen.m_address, error);
  if (error) {
    return MakeError(ErrorCode::kInvalidInput,
                     "\"" + listen.m_address + "\" is not an IP address");
  }
  const Tcp::endpoint endpoint(address, listen.m_port);
  m_acceptor.open(endpoint.protocol(), error);
  if (!error)
    m_acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error)
    m_acceptor.bind(endpoint, error);
  if (!error)
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return MakeError(ErrorCode::kIo, "listen on " + listen.m_address + ":" +
                                         std::to_string(listen.m_port) + ": " +
                                         error.message());
  }
  return Success();
}

asio::awaitable<void> FrameServer::Impl::AcceptLoop(
    std::shared_ptr<Impl> self) {
  while (!self->m_stopped) {
    auto [error, socket] = co_await self->m_acceptor.async_accept(kTuple);
    if (self->m_stopped)
      break;
    if (error) {
      ReportEvent(self->m_options, LogEvent::kAcceptFailed, error.message());
      self->m_accept_retry_timer.expires_after(kAcceptRetryDelay);
      co_await self->m_accept_retry_timer.async_wait(kTuple);
      continue;
    }
    if (self->m_handshaking_sockets.size() + self->m_connections.size() >=
        self->m_options.m_max_connections) {
      ReportEvent(self->m_options, LogEvent::kConnectionLimit,
                  PeerAddressText(socket));
      continue;
    }
    ConfigureSocket(&socket);
    auto shared = std::make_shared<Tcp::socket>(std::move(socket));
    self->m_handshaking_sockets.insert(shared);
    asio::co_spawn(self->m_acceptor.get_executor(), RunHandshake(self, shared),
                   asio::detached);
  }
}

asio::awaitable<void> FrameServer::Impl::RunHandshake(
    std::shared_ptr<Impl> self,
    std::shared_ptr<Tcp::socket> socket) {
  const std::string peer = PeerAddressText(*socket);
  const auto session = co_await ServerHandshake(*socket, self->m_options);
  self->m_handshaking_sockets.erase(socket);
  if (self->m_stopped)
    co_return;
  if (!session) {
    AddToCounter(self->m_options, &FrameCounters::m_handshakes_failed);
    ReportEvent(self->m_options, LogEvent::kHandshakeFailed,
                peer + ": " + session.error().m_message);
    co_return;
  }
  self->AddConnection(std::move(*socket), session.value());
}

void FrameServer::Impl::AddConnection(Tcp::socket socket,
                                      const wire::Session& session) {
  const auto connection =
      std::make_shared<FrameConnection>(std::make_unique<FrameConnection::Impl>(
          std::move(socket), session, m_options));
  m_connections.insert(connection);
  connection->OnClosed(
      [self = weak_from_this(), key = std::weak_ptr(connection)] {
        const auto server = self.lock();
        if (server)
          server->m_connections.erase(key.lock());
      });
  FrameConnection::Impl::StartReading(
      connection,
      [self = weak_from_this()](const std::shared_ptr<FrameConnection>& source,
                                const wire::FrameHeader& header,
                                std::string_view payload) -> Status {
        const auto server = self.lock();
        if (!server)
          return MakeError(ErrorCode::kUnavailable, "server has stopped");
        return server->m_handlers.Dispatch(
            {.m_connection = source,
             .m_correlation = header.m_correlation,
             .m_incarnation = header.m_incarnation},
            header.m_type, payload);
      });
}

void FrameServer::Impl::Stop() {
  m_stopped = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  m_accept_retry_timer.cancel();
  for (const auto& socket : m_handshaking_sockets)
    socket->close(ignored);
  for (const auto& connection : m_connections)
    connection->Close();
}

FrameServer::FrameServer(asio::io_context& context,
                         FrameOptions options,
                         FrameDispatch handlers)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(options),
                                    std::move(handlers))) {
  assert(m_impl->m_options.m_key.size() >= wire::kMinKeyBytes);
}

FrameServer::~FrameServer() {
  Stop();
}

Result<Endpoint> FrameServer::Start(const Endpoint& listen) {
  JUJUBE_TRY(m_impl->Listen(listen));
  asio::co_spawn(m_impl->m_acceptor.get_executor(), Impl::AcceptLoop(m_impl),
                 asio::detached);
  return Endpoint{.m_address = listen.m_address,
                  .m_port = m_impl->m_acceptor.local_endpoint().port()};
}

void FrameServer::Stop() {
  m_impl->Stop();
}

std::size_t FrameServer::ConnectionCount() const {
  return m_impl->m_handshaking_sockets.size() + m_impl->m_connections.size();
}

std::size_t FrameServer::QueuedBytes() const {
  std::size_t bytes = 0;
  for (const auto& connection : m_impl->m_connections)
    bytes += connection->QueuedBytes();
  return bytes;
}

}  // namespace jujube::net
