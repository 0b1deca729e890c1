// FeedClient: keeps a copy of the configuration up to date from a parent.
//
//   net::FeedClient client(context, options, table);
//   client.OnState([&](const feed::Subscriber::State& state,
//                      const FeedChange* change) {
//     // change is null after a snapshot. A relay publishes what it received:
//     change ? relay.Publish(state, *change) : relay.Publish(state);
//   });
//   client.Start();
//
// Tries its parents in order, over and over, with jittered backoff. Leaves a
// parent that is silent, is cut off from the voters, closes the connection or
// sends something inconsistent. The index only grows, over all parents. Belongs
// to the thread of its io_context.

#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "feed/status_table.h"
#include "feed/subscriber.h"
#include "gen/types.h"
#include "net/frame_options.h"

namespace boost::asio {
class io_context;
}

namespace jujube::net {

struct FeedClientOptions {
  FrameOptions m_frames;
  feed::Subscriber::State m_state;  // to start with, or null
  HostId m_host;                    // this host, in reports
  std::vector<Endpoint> m_parents;  // in order of preference; not empty
  std::chrono::milliseconds m_heartbeat{1000};  // of reports to the parent
  std::chrono::milliseconds m_silence{3500};    // three lost heartbeats
  // A parent that is itself cut off from the voters for so long is left, also
  // one of a loop of relays. Each level of relays adds up to a heartbeat.
  std::chrono::milliseconds m_max_origin_age{10000};
};

class FeedClient {
 public:
  using StateCallback = std::function<void(const feed::Subscriber::State& state,
                                           const FeedChange* change)>;

  // table: its lines and this host's own one are reported to the parent; shared
  // with the FeedServer of a relay; outlives the client.
  FeedClient(boost::asio::io_context& context,
             FeedClientOptions options,
             feed::StatusTable& table);
  ~FeedClient();  // stops
  FeedClient(const FeedClient&) = delete;
  FeedClient& operator=(const FeedClient&) = delete;

  // Called for each new state. Set before Start.
  void OnState(StateCallback callback);

  void Start();
  void Stop();

  // Subscribes to this parent next, for example because it has a newer state
  // than the present one. It need not be one of the options. The present parent
  // is connected to anew.
  void SwitchTo(const Endpoint& parent);

  const feed::Subscriber& Source() const;
  std::size_t Parent() const;  // position in m_parents
  const Endpoint& ParentEndpoint() const;
  bool IsConnected() const;  // to that parent

  // Time since the voters were current, as far as this host knows. Large while
  // it has no parent, and before the first heartbeat.
  std::chrono::milliseconds OriginAge() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jujube::net
