// FeedClient: subscribes to the configuration feed of a parent host.
//
//   net::FeedClient client(context, options, table);
//   client.OnState([&](const feed::Subscriber::State& state,
//                      const FeedChange* change) {
//     // change is null after a snapshot. A relay publishes what it received:
//     change ? relay.Publish(state, *change) : relay.Publish(state);
//   });
//   client.Start();
//
// Connects to its parents in round-robin order, with jittered exponential
// backoff. It switches to the next parent if the current one sends no messages,
// loses contact with the voters, closes the connection or sends an inconsistent
// message. The index of the state never decreases, also after a switch. Not
// thread-safe: call every member on the thread of its io_context.

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
  feed::Subscriber::State m_state;  // initial state, may be null
  HostId m_host;                    // name of this host in its reports
  std::vector<Endpoint> m_parents;  // in order of preference; not empty
  std::chrono::milliseconds m_heartbeat{1000};  // report interval
  std::chrono::milliseconds m_silence{3500};  // timeout; three lost heartbeats
  // Maximum time since the parent last had a current state from the voters; the
  // client then switches to the next parent. This also breaks a loop of relays.
  // Each level of relays adds at most one heartbeat interval to the age.
  std::chrono::milliseconds m_max_origin_age{10000};
};

class FeedClient {
 public:
  using StateCallback = std::function<void(const feed::Subscriber::State& state,
                                           const FeedChange* change)>;

  // table: its entries and the entry of this host are reported to the parent. A
  // relay shares it with its FeedServer. It must outlive the client.
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

  // Switches to this parent, for example because it has a newer state than the
  // current one. It is added to the list of parents if it is missing there. If
  // it is the current parent, the client reconnects to it.
  void SwitchTo(const Endpoint& parent);

  // Replaces the list of parents; must not be empty. A current parent that is
  // missing in it is kept until it fails.
  void SetParents(const std::vector<Endpoint>& parents);

  // The subscriber with the received state. FeedServer::Source() returns the
  // publisher instead.
  const feed::Subscriber& Source() const;
  // The current parent, or the next one while a switch is pending: its position
  // in m_parents and its endpoint.
  std::size_t ParentIndex() const;
  const Endpoint& ParentEndpoint() const;
  // While a switch is pending, IsConnected still refers to the previous parent.
  bool IsConnected() const;

  // Time since the feed origin (the voters) was last known to be current. It
  // grows while there is no parent. Before the first heartbeat, it is the time
  // since boot.
  std::chrono::milliseconds OriginAge() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jujube::net
