// Contents: options and counters, sending, reading, writing, closing.

#include "net/frame_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <exception>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/frame_connection_impl.h"

namespace jujube::net {

namespace asio = boost::asio;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// A host that fails without closing its connections is detected after about
// 15 s, on an idle connection as well: TCP_USER_TIMEOUT takes the place of the
// number of keepalive probes.
constexpr int kKeepaliveIdleSeconds = 10;
constexpr int kKeepaliveIntervalSeconds = 5;
constexpr int kKeepaliveProbes = 3;
constexpr int kUserTimeoutMs = 15000;

}  // namespace

void AddToCounter(const FrameOptions& options,
                  std::atomic<std::uint64_t> FrameCounters::*counter,
                  std::uint64_t amount) {
  if (options.m_counters != nullptr)
    (options.m_counters->*counter).fetch_add(amount, std::memory_order_relaxed);
}

void ReportEvent(const FrameOptions& options,
                 LogEvent event,
                 std::string_view text) {
  if (options.m_on_event)
    options.m_on_event(event, text);
}

std::string PeerAddressText(const asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error)
    return "unknown peer";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void ConfigureSocket(asio::ip::tcp::socket* socket) {
  const int fd = socket->native_handle();
  const auto set_option = [fd](int level, int option, int value) {
    (void)::setsockopt(fd, level, option, &value, sizeof value);
  };
  set_option(IPPROTO_TCP, TCP_NODELAY, 1);
  set_option(SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option(IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  set_option(IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  set_option(IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
  set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

FrameConnection::Impl::Impl(Socket socket,
                            const wire::Session& session,
                            const FrameOptions& options)
    : m_socket(std::move(socket)),
      m_write_timer(m_socket.get_executor()),
      m_sealer(session.m_send_key, options.m_incarnation),
      m_opener(session.m_receive_key, session.m_peer_incarnation),
      m_options(options),
      m_peer_incarnation(session.m_peer_incarnation),
      m_peer_name(PeerAddressText(m_socket)) {}

FrameConnection::FrameConnection(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

FrameConnection::~FrameConnection() = default;

bool FrameConnection::SendEncoded(FrameType type,
                                  SharedPayload payload,
                                  std::uint64_t correlation) {
  Impl& impl = *m_impl;
  if (!impl.m_open ||
      payload->size() > MaxPayloadBytes(static_cast<std::uint16_t>(type)))
    return false;
  const std::size_t bytes = FrameBytes(payload);
  if (impl.m_queued_bytes + bytes > impl.m_options.m_max_queued_bytes) {
    AddToCounter(impl.m_options, &FrameCounters::m_queue_full);
    return false;
  }
  impl.m_queued_bytes += bytes;
  impl.m_queue.push_back({.m_type = type,
                          .m_correlation = correlation,
                          .m_payload = std::move(payload)});
  if (!impl.m_writing) {
    impl.m_writing = true;
    asio::co_spawn(impl.m_socket.get_executor(),
                   Impl::WriteLoop(shared_from_this()), asio::detached);
  }
  return true;
}

bool FrameConnection::CancelQueued(std::uint64_t correlation) {
  auto& queue = m_impl->m_queue;
  const auto found =
      std::find_if(queue.begin(), queue.end(),
                   [correlation](const Impl::QueuedFrame& queued) {
                     return queued.m_correlation == correlation;
                   });
  if (found == queue.end())
    return false;
  m_impl->m_queued_bytes -= FrameBytes(found->m_payload);
  queue.erase(found);
  return true;
}

std::size_t FrameConnection::QueuedBytes() const {
  return m_impl->m_queued_bytes;
}

void FrameConnection::OnDrained(std::function<void()> callback) {
  m_impl->m_on_drained = std::move(callback);
}

void FrameConnection::OnClosed(std::function<void()> callback) {
  if (m_impl->m_open)
    m_impl->m_on_closed.push_back(std::move(callback));
  else
    callback();
}

bool FrameConnection::IsOpen() const {
  return m_impl->m_open;
}

std::uint64_t FrameConnection::PeerIncarnation() const {
  return m_impl->m_peer_incarnation;
}

const std::string& FrameConnection::PeerName() const {
  return m_impl->m_peer_name;
}

void FrameConnection::Close() {
  m_impl->Close();
}

void FrameConnection::Impl::StartReading(
    const std::shared_ptr<FrameConnection>& connection,
    FrameReceiver receiver) {
  asio::co_spawn(connection->m_impl->m_socket.get_executor(),
                 ReadLoop(connection, std::move(receiver)),
                 [connection](const std::exception_ptr& thrown) {
                   if (!thrown)
                     return;
                   // Without this, an exception in a handler would leave the
                   // connection open with no read loop.
                   connection->m_impl->ReportRejectedFrame(
                       MakeError(ErrorCode::kIo, "handler threw an exception"));
                   connection->Close();
                 });
}

asio::awaitable<void> FrameConnection::Impl::ReadLoop(
    std::shared_ptr<FrameConnection> connection,
    FrameReceiver receiver) {
  Impl& impl = *connection->m_impl;
  std::string head(wire::kFrameHeadBytes, '\0');
  while (impl.m_open) {
    const auto [head_error, head_size] =
        co_await asio::async_read(impl.m_socket, asio::buffer(head), kTuple);
    if (head_error)
      break;
    const auto header = impl.m_opener.Head(head);
    if (!header) {
      impl.ReportRejectedFrame(header.error());
      break;
    }
    // Allocated per frame: a reused buffer would keep the size of its largest
    // frame for each of many connections.
    std::string payload(header.value().m_payload_length, '\0');
    const auto [payload_error, payload_size] =
        co_await asio::async_read(impl.m_socket, asio::buffer(payload), kTuple);
    if (payload_error)
      break;
    const Status authentic = impl.m_opener.Payload(payload);
    if (!authentic) {
      impl.ReportRejectedFrame(authentic.error());
      break;
    }
    AddToCounter(impl.m_options, &FrameCounters::m_frames_received);
    AddToCounter(impl.m_options, &FrameCounters::m_bytes_received,
                 head.size() + payload.size());
    if (!impl.m_open)
      break;
    const Status accepted = receiver(connection, header.value(), payload);
    if (!accepted) {
      impl.ReportRejectedFrame(accepted.error());
      break;
    }
  }
  impl.Close();
}

asio::awaitable<void> FrameConnection::Impl::WriteLoop(
    std::shared_ptr<FrameConnection> connection) {
  Impl& impl = *connection->m_impl;
  while (impl.m_open && !impl.m_queue.empty()) {
    const QueuedFrame frame = std::move(impl.m_queue.front());
    impl.m_queue.pop_front();
    const std::string head =
        impl.m_sealer.Head(static_cast<std::uint16_t>(frame.m_type),
                           frame.m_correlation, *frame.m_payload);
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(head), asio::buffer(*frame.m_payload)};
    impl.StartWriteTimeout(connection);
    const auto [error, size] =
        co_await asio::async_write(impl.m_socket, buffers, kTuple);
    impl.m_write_timer.cancel();
    impl.m_queued_bytes -= FrameBytes(frame.m_payload);
    if (error) {
      impl.Close();
      break;
    }
    AddToCounter(impl.m_options, &FrameCounters::m_frames_sent);
    AddToCounter(impl.m_options, &FrameCounters::m_bytes_sent, size);
    // Copied, since the callback may call Close, which destroys m_on_drained.
    const auto on_drained = impl.m_on_drained;
    if (impl.m_queue.empty() && on_drained)
      on_drained();
  }
  impl.m_writing = false;
}

// Closes the connection if the current write exceeds the write timeout.
void FrameConnection::Impl::StartWriteTimeout(
    const std::shared_ptr<FrameConnection>& connection) {
  m_write_timer.expires_after(m_options.m_write_timeout);
  m_write_timer.async_wait(
      [weak = std::weak_ptr(connection)](const auto& error) {
        const auto locked_connection = weak.lock();
        if (error || !locked_connection || !locked_connection->m_impl->m_open)
          return;
        Impl& impl = *locked_connection->m_impl;
        // The wait ended, but the timer was restarted for another write before
        // this handler ran.
        if (impl.m_write_timer.expiry() > std::chrono::steady_clock::now())
          return;
        ReportEvent(impl.m_options, LogEvent::kPeerTooSlow, impl.m_peer_name);
        impl.Close();
      });
}

void FrameConnection::Impl::ReportRejectedFrame(const Error& error) {
  AddToCounter(m_options, &FrameCounters::m_frames_refused);
  ReportEvent(m_options, LogEvent::kFrameRefused,
              m_peer_name + ": " + error.m_message);
}

void FrameConnection::Impl::Close() {
  if (!m_open)
    return;
  m_open = false;
  boost::system::error_code ignored;
  m_socket.close(ignored);
  m_write_timer.cancel();
  // Posted, so that a callback never runs from within a member function called
  // by its owner. The callbacks are destroyed afterwards, since they may
  // reference the owner.
  asio::post(m_socket.get_executor(), [callbacks = std::move(m_on_closed)]() {
    for (const auto& callback : callbacks)
      callback();
  });
  m_on_closed.clear();
  m_on_drained = nullptr;
}

}  // namespace jujube::net
