// ConnectionPool: idle upstream connections of one worker thread.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "core/clock.h"
#include "entry/connection_reuse.h"
#include "gen/types.h"
#include "net/http_connection.h"

namespace jujube::entry {

class ConnectionPool {
 public:
  // `reuses_for_at_most_once`: EntrySettings::m_reuses_connections.
  ConnectionPool(const boost::asio::any_io_executor& executor,
                 std::size_t max_idle_per_instance,
                 bool reuses_for_at_most_once)
      : m_executor(executor),
        m_max_idle_per_instance(max_idle_per_instance),
        m_reuses_for_at_most_once(reuses_for_at_most_once) {}

  // Returns the most recently used idle connection that may carry the request
  // and that the upstream has not closed, or null.
  std::unique_ptr<net::HttpConnection> TakeIdle(const Endpoint& endpoint,
                                                std::uint64_t incarnation,
                                                bool is_repeatable,
                                                MonoTime now);
  // Creates a connection that is not connected yet.
  std::unique_ptr<net::HttpConnection> MakeConnection() const;

  // Keeps the connection if it is reusable and the pool of the instance is not
  // full; otherwise closes it. `stated_timeout`: idle timeout that the upstream
  // stated with its last response.
  void Return(const Endpoint& endpoint,
              std::uint64_t incarnation,
              std::unique_ptr<net::HttpConnection> connection,
              std::optional<std::chrono::seconds> stated_timeout,
              MonoTime now);

  // A request failed on an idle connection before any response.
  void OnReuseFailed(MonoTime now);

  // Records an accepted connect, to tell lost upstreams from a busy link, and
  // the delay of the region.
  void OnConnected(const RegionId& region, MonoTime started, MonoTime now);
  // Start of the accepted connect that was started last.
  MonoTime LastConnectedAt() const { return m_connected_at; }
  // One-way delay to the region as the fastest connect showed it, or `stated`
  // if that is shorter or no connect was accepted yet.
  std::chrono::milliseconds OneWayDelay(const RegionId& region,
                                        std::chrono::milliseconds stated) const;

  // Closes connections that are too old for any request.
  void Prune(MonoTime now);

 private:
  struct PoolKey {
    Endpoint m_endpoint;
    // Distinguishes instances that use the same address one after the other.
    std::uint64_t m_incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive
    friend auto operator<=>(const PoolKey&, const PoolKey&) = default;
  };
  struct IdleConnection {
    std::unique_ptr<net::HttpConnection> m_connection;
    std::optional<std::chrono::seconds> m_stated_timeout;
    MonoTime m_idle_since;
  };

  void OnForgotten(std::uint32_t count, MonoTime now);
  ReuseAnswer Decide(const IdleConnection& entry,
                     bool is_repeatable,
                     MonoTime now) const;

  boost::asio::any_io_executor m_executor;
  std::size_t m_max_idle_per_instance;
  bool m_reuses_for_at_most_once;
  std::map<PoolKey, std::vector<IdleConnection>> m_idle_connections;
  MonoTime m_pruned_at;
  MonoTime m_connected_at;
  std::map<RegionId, MonoClock::duration> m_shortest_connects;
  // Idle connections that upstreams forgot, and when the last one was found.
  // Requests that run at most once get new connections after several of them.
  std::uint32_t m_forgotten = 0;
  MonoTime m_forgotten_at;
};

}  // namespace jujube::entry
