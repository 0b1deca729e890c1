// Contents: state, connecting, frames, calls, public members.

#include "net/frame_client.h"

#include <algorithm>
#include <cassert>
#include <random>
#include <unordered_map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/frame_connection_impl.h"

namespace jujube::net {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// Like leases, deadlines include the time during which the system is suspended.
using DeadlineTimer = asio::basic_waitable_timer<MonoClock>;

}  // namespace

struct FrameClient::Impl : std::enable_shared_from_this<FrameClient::Impl> {
  struct PendingCall {
    RawCallback m_callback;
    std::unique_ptr<DeadlineTimer> m_timer;
  };

  Impl(asio::io_context& context,
       FrameOptions options,
       Endpoint endpoint,
       FrameDispatch handlers)
      : m_context(context),
        m_backoff_timer(context),
        m_options(std::move(options)),
        m_endpoint(std::move(endpoint)),
        m_handlers(std::move(handlers)),
        m_random(std::random_device{}()) {}

  static asio::awaitable<void> ConnectLoop(std::shared_ptr<Impl> self);
  static asio::awaitable<Status> ConnectOnce(std::shared_ptr<Impl> self);
  asio::awaitable<Status> ConnectSocket();
  void StartConnection(const wire::Session& session);
  void OnConnectionLost(const std::shared_ptr<FrameConnection>& connection);
  void NotifyConnectionChange(bool connected);
  std::chrono::milliseconds NextBackoff();

  Status HandleFrame(const std::shared_ptr<FrameConnection>& connection,
                     const wire::FrameHeader& header,
                     std::string_view payload);

  void Call(FrameType type,
            SharedPayload payload,
            MonoTime deadline,
            RawCallback callback);
  void TimeOutCall(std::uint64_t correlation);
  void CompleteCall(std::uint64_t correlation,
                    const CallResult<std::string>& result,
                    std::uint16_t type);
  void PostFailure(RawCallback callback, Error error);
  void FailPendingCalls(const std::shared_ptr<FrameConnection>& connection);
  void Stop();

  asio::io_context& m_context;
  asio::steady_timer m_backoff_timer;
  FrameOptions m_options;
  Endpoint m_endpoint;
  FrameDispatch m_handlers;
  std::mt19937_64 m_random;
  std::chrono::milliseconds m_backoff{0};
  std::shared_ptr<Tcp::socket> m_connecting_socket;  // until the handshake ends
  std::shared_ptr<FrameConnection> m_connection;
  std::unordered_map<std::uint64_t, PendingCall> m_pending;
  std::uint64_t m_next_correlation = 1;
  std::function<void(bool)> m_on_connection;
  bool m_started = false;
  bool m_stopped = false;
};

asio::awaitable<void> FrameClient::Impl::ConnectLoop(
    std::shared_ptr<Impl> self) {
  while (!self->m_stopped) {
    const Status connected = co_await ConnectOnce(self);
    self->m_connecting_socket = nullptr;
    if (self->m_stopped || connected)
      co_return;  // OnConnectionLost() starts the loop again
    // Counts only protocol, key and address errors. Failures to
    // connect, I/O errors and timeouts are kUnavailable.
    if (connected.error().m_code != ErrorCode::kUnavailable) {
      AddToCounter(self->m_options, &FrameCounters::m_handshakes_failed);
      ReportEvent(self->m_options, LogEvent::kHandshakeFailed,
                  self->m_endpoint.m_address + ":" +
                      std::to_string(self->m_endpoint.m_port) + ": " +
                      connected.error().m_message);
    }
    self->NotifyConnectionChange(false);
    if (self->m_stopped)
      co_return;
    self->m_backoff_timer.expires_after(self->NextBackoff());
    co_await self->m_backoff_timer.async_wait(kTuple);
  }
}

asio::awaitable<Status> FrameClient::Impl::ConnectOnce(
    std::shared_ptr<Impl> self) {
  const auto socket = std::make_shared<Tcp::socket>(self->m_context);
  self->m_connecting_socket = socket;
  const Status connected = co_await self->ConnectSocket();
  if (!connected)
    co_return connected.error();
  const auto session = co_await ClientHandshake(*socket, self->m_options);
  if (!session)
    co_return session.error();
  if (!self->m_stopped)
    self->StartConnection(session.value());
  co_return Success();
}

asio::awaitable<Status> FrameClient::Impl::ConnectSocket() {
  const auto socket = m_connecting_socket;
  boost::system::error_code parse_error;
  const auto address =
      asio::ip::make_address(m_endpoint.m_address, parse_error);
  if (parse_error) {
    co_return MakeError(
        ErrorCode::kInvalidInput,
        "\"" + m_endpoint.m_address + "\" is not an IP address");
  }
  asio::steady_timer timer(m_context, m_options.m_handshake_timeout);
  timer.async_wait([weak = std::weak_ptr(socket)](const auto& error) {
    const auto open_socket = weak.lock();
    boost::system::error_code ignored;
    if (!error && open_socket)
      open_socket->close(ignored);
  });
  const auto [error] = co_await socket->async_connect(
      Tcp::endpoint(address, m_endpoint.m_port), kTuple);
  if (error)
    co_return MakeError(ErrorCode::kUnavailable, error.message());
  ConfigureSocket(socket.get());
  co_return Success();
}

void FrameClient::Impl::StartConnection(const wire::Session& session) {
  m_connection =
      std::make_shared<FrameConnection>(std::make_unique<FrameConnection::Impl>(
          std::move(*m_connecting_socket), session, m_options));
  m_connection->OnClosed(
      [self = weak_from_this(), key = std::weak_ptr(m_connection)] {
        const auto client = self.lock();
        if (client)
          client->OnConnectionLost(key.lock());
      });
  FrameConnection::Impl::StartReading(
      m_connection,
      [self = weak_from_this()](
          const std::shared_ptr<FrameConnection>& connection,
          const wire::FrameHeader& header, std::string_view payload) -> Status {
        const auto client = self.lock();
        if (!client)
          return MakeError(ErrorCode::kUnavailable, "client has stopped");
        return client->HandleFrame(connection, header, payload);
      });
  NotifyConnectionChange(true);
}

void FrameClient::Impl::OnConnectionLost(
    const std::shared_ptr<FrameConnection>& connection) {
  if (m_stopped || connection != m_connection)
    return;
  m_connection = nullptr;
  FailPendingCalls(connection);
  asio::co_spawn(
      m_context,
      [](std::shared_ptr<Impl> self) -> asio::awaitable<void> {
        // Back off even if the handshake succeeded. Otherwise a peer that
        // closes each connection right after its handshake would cause a busy
        // loop.
        self->m_backoff_timer.expires_after(self->NextBackoff());
        co_await self->m_backoff_timer.async_wait(kTuple);
        co_await ConnectLoop(self);
      }(shared_from_this()),
      asio::detached);
  NotifyConnectionChange(false);
}

void FrameClient::Impl::NotifyConnectionChange(bool connected) {
  // Copied, since the callback may call Stop, which destroys m_on_connection.
  const auto callback = m_on_connection;
  if (callback)
    callback(connected);
}

// Exponential backoff with jitter, drawn from the upper half of the range, so
// that the clients of a restarted peer do not reconnect at the same time.
std::chrono::milliseconds FrameClient::Impl::NextBackoff() {
  m_backoff = std::clamp(m_backoff * 2, m_options.m_backoff_min,
                         m_options.m_backoff_max);
  std::uniform_int_distribution<std::int64_t> delay(m_backoff.count() / 2,
                                                    m_backoff.count());
  return std::chrono::milliseconds(delay(m_random));
}

Status FrameClient::Impl::HandleFrame(
    const std::shared_ptr<FrameConnection>& connection,
    const wire::FrameHeader& header,
    std::string_view payload) {
  m_backoff = std::chrono::milliseconds(0);  // the peer is healthy
  if (header.m_correlation == 0) {
    return m_handlers.Dispatch(
        {.m_connection = connection, .m_incarnation = header.m_incarnation},
        header.m_type, payload);
  }
  if (!m_pending.contains(header.m_correlation)) {
    AddToCounter(m_options, &FrameCounters::m_late_replies);
    return Success();
  }
  CompleteCall(header.m_correlation, {.m_reply = std::string(payload)},
               header.m_type);
  return Success();
}

void FrameClient::Impl::Call(FrameType type,
                             SharedPayload payload,
                             MonoTime deadline,
                             RawCallback callback) {
  if (!m_connection || !m_connection->IsOpen())
    return PostFailure(std::move(callback), MakeError(ErrorCode::kUnavailable,
                                                      "peer is not connected"));
  if (m_pending.size() >= m_options.m_max_pending_calls)
    return PostFailure(
        std::move(callback),
        MakeError(ErrorCode::kUnavailable, "too many calls in progress"));
  const std::uint64_t correlation = m_next_correlation++;
  if (!m_connection->SendEncoded(type, std::move(payload), correlation))
    return PostFailure(std::move(callback),
                       MakeError(ErrorCode::kUnavailable,
                                 "queue to the peer is full, or the message is "
                                 "over its limit"));
  auto timer = std::make_unique<DeadlineTimer>(m_context, deadline);
  timer->async_wait([self = weak_from_this(), correlation](const auto& error) {
    const auto client = self.lock();
    if (!error && client)
      client->TimeOutCall(correlation);
  });
  m_pending.emplace(correlation, PendingCall{.m_callback = std::move(callback),
                                             .m_timer = std::move(timer)});
}

void FrameClient::Impl::TimeOutCall(std::uint64_t correlation) {
  const bool was_cancelled =
      m_connection && m_connection->CancelQueued(correlation);
  CompleteCall(
      correlation,
      {.m_error =
           MakeError(ErrorCode::kTimeout, "no reply before the deadline"),
       .m_delivery = was_cancelled ? Delivery::kNotSent : Delivery::kUnknown},
      0);
}

void FrameClient::Impl::CompleteCall(std::uint64_t correlation,
                                     const CallResult<std::string>& result,
                                     std::uint16_t type) {
  const auto found = m_pending.find(correlation);
  if (found == m_pending.end())
    return;
  const RawCallback callback = std::move(found->second.m_callback);
  m_pending.erase(found);
  callback(result, type);
}

void FrameClient::Impl::PostFailure(RawCallback callback, Error error) {
  asio::post(
      m_context, [callback = std::move(callback), error = std::move(error)] {
        callback({.m_error = error, .m_delivery = Delivery::kNotSent}, 0);
      });
}

void FrameClient::Impl::FailPendingCalls(
    const std::shared_ptr<FrameConnection>& connection) {
  const auto pending = std::move(m_pending);
  m_pending.clear();
  for (const auto& [correlation, call] : pending) {
    const bool was_cancelled =
        connection && connection->CancelQueued(correlation);
    call.m_callback(
        {.m_error = MakeError(ErrorCode::kUnavailable, "connection lost"),
         .m_delivery = was_cancelled ? Delivery::kNotSent : Delivery::kUnknown},
        0);
  }
}

void FrameClient::Impl::Stop() {
  if (m_stopped)
    return;
  m_stopped = true;
  m_on_connection = nullptr;
  m_backoff_timer.cancel();
  boost::system::error_code ignored;
  if (m_connecting_socket)
    m_connecting_socket->close(ignored);
  const auto connection = std::move(m_connection);
  m_connection = nullptr;
  if (connection)
    connection->Close();
  FailPendingCalls(connection);
}

FrameClient::FrameClient(asio::io_context& context,
                         FrameOptions options,
                         Endpoint endpoint,
                         FrameDispatch handlers)
    : m_impl(std::make_shared<Impl>(context,
                                    std::move(options),
                                    std::move(endpoint),
                                    std::move(handlers))) {
  assert(m_impl->m_options.m_key.size() >= wire::kMinKeyBytes);
}

FrameClient::~FrameClient() {
  Stop();
}

void FrameClient::OnConnection(std::function<void(bool connected)> callback) {
  assert(!m_impl->m_started && "set the callback before Start");
  m_impl->m_on_connection = std::move(callback);
}

void FrameClient::Start() {
  assert(!m_impl->m_started && "a client is started once");
  m_impl->m_started = true;
  asio::co_spawn(m_impl->m_context, Impl::ConnectLoop(m_impl), asio::detached);
}

void FrameClient::Stop() {
  m_impl->Stop();
}

bool FrameClient::IsConnected() const {
  return m_impl->m_connection && m_impl->m_connection->IsOpen();
}

std::uint64_t FrameClient::PeerIncarnation() const {
  return IsConnected() ? m_impl->m_connection->PeerIncarnation() : 0;
}

bool FrameClient::SendEncoded(FrameType type, SharedPayload payload) {
  return IsConnected() &&
         m_impl->m_connection->SendEncoded(type, std::move(payload));
}

void FrameClient::CallEncoded(FrameType type,
                              SharedPayload payload,
                              MonoTime deadline,
                              RawCallback callback) {
  m_impl->Call(type, std::move(payload), deadline, std::move(callback));
}

}  // namespace jujube::net
