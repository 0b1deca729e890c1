// ConnectionPool: idle upstream connections of one worker thread.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "core/clock.h"
#include "gen/types.h"
#include "net/http_connection.h"

namespace jujube::entry {

class ConnectionPool {
 public:
  ConnectionPool(const boost::asio::any_io_executor& executor,
                 std::size_t max_idle_per_instance)
      : m_executor(executor), m_max_idle_per_instance(max_idle_per_instance) {}

  // Returns an idle connection that the upstream has not closed, or null.
  std::unique_ptr<net::HttpConnection> TakeIdle(const Endpoint& endpoint,
                                                std::uint64_t incarnation,
                                                MonoTime now);
  // Creates a connection that is not connected yet.
  std::unique_ptr<net::HttpConnection> MakeConnection() const;

  // Keeps the connection if it is reusable and the pool of the instance is not
  // full; otherwise closes it.
  void Return(const Endpoint& endpoint,
              std::uint64_t incarnation,
              std::unique_ptr<net::HttpConnection> connection,
              MonoTime now);

  // Closes connections that have been idle for kMaxIdleTime or longer.
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
    MonoTime m_idle_since;
  };

  // Shorter than the usual idle timeouts of HTTP servers (5 s and more), so
  // that a request is rarely sent on a connection that the server is closing.
  static constexpr std::chrono::seconds kMaxIdleTime{4};

  boost::asio::any_io_executor m_executor;
  std::size_t m_max_idle_per_instance;
  std::map<PoolKey, std::vector<IdleConnection>> m_idle_connections;
};

}  // namespace jujube::entry
