#include "net/feed_server.h"

#include <algorithm>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"

namespace jujube::net {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

// Larger than a snapshot chunk of the default size (64 KiB; the schema allows
// 256 KiB). A subscriber with at least this many bytes queued
// gets no heartbeats, so that they do not accumulate in its queue.
constexpr std::size_t kMaxQueuedBytesForHeartbeat = 128U << 10U;

}  // namespace

struct FeedServer::Impl : std::enable_shared_from_this<FeedServer::Impl> {
  struct Subscription {
    std::weak_ptr<FrameConnection> m_connection;
    feed::Cursor m_cursor;
    // Latest time at which the state that the subscriber was sent was known to
    // be current; the epoch if never.
    MonoTime m_current_at{};
    bool m_was_sent_status = false;
  };

  Impl(asio::io_context& context,
       const FeedServerOptions& options,
       feed::StatusTable& table)
      : m_timer(context),
        m_options(options),
        m_table(table),
        m_publisher(options.m_limits) {}

  void Subscribe(const FrameSource& source, const FeedSubscribe& request);
  void SendNext(const FrameConnection* key);
  void SendNextToAll();
  void ScheduleHeartbeat();
  void SendStatus(Subscription* subscription);

  asio::steady_timer m_timer;
  FeedServerOptions m_options;
  feed::StatusTable& m_table;
  feed::Publisher m_publisher;
  std::unordered_map<const FrameConnection*, Subscription> m_subscriptions;
  bool m_stopped = false;
};

void FeedServer::Impl::Subscribe(const FrameSource& source,
                                 const FeedSubscribe& request) {
  const auto connection = source.m_connection.lock();
  if (!connection || m_stopped)
    return;
  const FrameConnection* key = connection.get();
  const auto [entry, inserted] = m_subscriptions.try_emplace(key);
  entry->second = {.m_connection = connection,
                   .m_cursor = {.m_index = request.m_have_index}};
  if (inserted) {
    connection->OnDrained([self = weak_from_this(), key] {
      const auto server = self.lock();
      if (server)
        server->SendNext(key);
    });
    connection->OnClosed([self = weak_from_this(), key] {
      const auto server = self.lock();
      if (server)
        server->m_subscriptions.erase(key);
    });
  }
  SendNext(key);
}

// Sends the next message if the queue of the subscriber is empty. The OnDrained
// callback sends the one after it, so at most one message is queued.
void FeedServer::Impl::SendNext(const FrameConnection* key) {
  const auto found = m_subscriptions.find(key);
  if (found == m_subscriptions.end())
    return;
  const auto connection = found->second.m_connection.lock();
  if (!connection || !connection->IsOpen() || connection->QueuedBytes() > 0)
    return;
  const auto message = m_publisher.NextMessage(&found->second.m_cursor);
  // A new subscriber need not wait for the next heartbeat to know that it has
  // the newest state.
  if (!message && !found->second.m_was_sent_status)
    SendStatus(&found->second);
  if (message &&
      !connection->SendEncoded(message->m_type, message->m_payload)) {
    // The cursor is already past the message that could not be queued. Close
    // the connection, so that the subscriber starts over on a new one.
    connection->Close();
  }
}

void FeedServer::Impl::SendNextToAll() {
  // SendNext may close a connection, but does not erase from the map: OnClosed
  // callbacks are posted and run later.
  for (const auto& [key, subscription] : m_subscriptions)
    SendNext(key);
}

void FeedServer::Impl::ScheduleHeartbeat() {
  m_timer.expires_after(m_options.m_heartbeat);
  m_timer.async_wait([self = weak_from_this()](const auto& error) {
    const auto server = self.lock();
    if (error || !server || server->m_stopped)
      return;
    for (auto& [key, subscription] : server->m_subscriptions)
      server->SendStatus(&subscription);
    server->m_publisher.ReleaseUnusedSnapshot();
    server->ScheduleHeartbeat();
  });
}

// A heartbeat can overtake a change that waits until the queue is empty, so it
// confirms the state only if the subscriber was sent all of it.
void FeedServer::Impl::SendStatus(Subscription* subscription) {
  const MonoTime now = MonoClock::now();
  if (m_publisher.IsUpToDate(subscription->m_cursor)) {
    const auto state_age =
        m_options.m_origin_age ? m_options.m_origin_age() : milliseconds(0);
    subscription->m_current_at =
        std::max(subscription->m_current_at, now - state_age);
  }
  const auto connection = subscription->m_connection.lock();
  if (!connection || connection->QueuedBytes() >= kMaxQueuedBytesForHeartbeat)
    return;
  subscription->m_was_sent_status = true;
  connection->Send(
      FeedStatus{.m_origin_age = std::chrono::duration_cast<milliseconds>(
                     now - subscription->m_current_at)});
}

FeedServer::FeedServer(asio::io_context& context,
                       const FeedServerOptions& options,
                       feed::StatusTable& table)
    : m_impl(std::make_shared<Impl>(context, options, table)) {}

FeedServer::~FeedServer() {
  Stop();
}

void FeedServer::Register(FrameDispatch* handlers) {
  handlers->On<FeedSubscribe>(
      [self = std::weak_ptr(m_impl)](const FrameSource& source,
                                     const FeedSubscribe& request) {
        const auto server = self.lock();
        if (server)
          server->Subscribe(source, request);
      });
  handlers->On<FeedStatus>([self = std::weak_ptr(m_impl)](
                               const FrameSource&, const FeedStatus& report) {
    const auto server = self.lock();
    if (server && !server->m_stopped)
      server->m_table.Merge(report, MonoClock::now());
  });
}

void FeedServer::Start() {
  m_impl->ScheduleHeartbeat();
}

void FeedServer::Stop() {
  m_impl->m_stopped = true;
  m_impl->m_timer.cancel();
  m_impl->m_subscriptions.clear();
}

Status FeedServer::Publish(feed::Publisher::State state) {
  JUJUBE_TRY(m_impl->m_publisher.Publish(std::move(state)));
  m_impl->SendNextToAll();
  return Success();
}

Status FeedServer::Publish(feed::Publisher::State state,
                           const FeedChange& change) {
  JUJUBE_TRY(m_impl->m_publisher.Publish(std::move(state), change));
  m_impl->SendNextToAll();
  return Success();
}

const feed::Publisher& FeedServer::Source() const {
  return m_impl->m_publisher;
}

std::size_t FeedServer::Subscribers() const {
  return m_impl->m_subscriptions.size();
}

}  // namespace jujube::net
