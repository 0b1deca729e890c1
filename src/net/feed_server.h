// FeedServer: publishes the configuration to subscribers over frames.
//
//   feed::StatusTable table;
//   net::FeedServer feed(context, {}, table);
//   net::FrameDispatch handlers;
//   feed.Register(&handlers);          // with the handlers of other groups
//   net::FrameServer server(context, options, std::move(handlers));
//   feed.Start();
//   feed.Publish(state);               // at each change
//
// Used by control voters and by entry hosts that act as relays. Not
// thread-safe: call every member on the thread of its io_context, which the
// FrameServer shares. Destroy the FrameServer first.

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "feed/publisher.h"
#include "feed/status_table.h"
#include "net/frame_dispatch.h"

namespace boost::asio {
class io_context;
}

namespace jujube::net {

struct FeedServerOptions {
  feed::PublisherLimits m_limits;
  // Heartbeat interval. A subscriber that receives nothing for several
  // intervals switches to another parent.
  std::chrono::milliseconds m_heartbeat{1000};
  // Returns the time since the state was last known to be current, which is
  // sent with each heartbeat to a subscriber that was sent all of the state. A
  // relay returns FeedClient::OriginAge, a voter ReplicaRunner::StateAge.
  // Empty: always 0.
  std::function<std::chrono::milliseconds()> m_origin_age;
};

class FeedServer {
 public:
  // table: receives the reports of subscribers; must outlive the server.
  FeedServer(boost::asio::io_context& context,
             const FeedServerOptions& options,
             feed::StatusTable& table);
  ~FeedServer();  // stops
  FeedServer(const FeedServer&) = delete;
  FeedServer& operator=(const FeedServer&) = delete;

  // Adds the handlers of FeedSubscribe and FeedStatus.
  void Register(FrameDispatch* handlers);

  void Start();  // starts the heartbeats
  void Stop();

  // See feed::Publisher. Each subscriber is sent changes at the rate at which
  // it reads them.
  Status Publish(feed::Publisher::State state);
  Status Publish(feed::Publisher::State state, const FeedChange& change);

  // The publisher with the published state. FeedClient::Source() returns the
  // subscriber instead.
  const feed::Publisher& Source() const;
  std::size_t Subscribers() const;  // number of subscriptions

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jujube::net
