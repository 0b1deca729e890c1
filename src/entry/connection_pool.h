// ConnectionPool: idle connections to upstreams, of one worker thread.

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
      : m_executor(executor), m_max_idle(max_idle_per_instance) {}

  // An idle connection that the upstream has not closed, or null.
  std::unique_ptr<net::HttpConnection> TakeIdle(const Endpoint& endpoint,
                                                std::uint64_t incarnation,
                                                MonoTime now);
  std::unique_ptr<net::HttpConnection> MakeNew() const;

  // Keeps the connection if it is reusable and there is room.
  void Return(const Endpoint& endpoint,
              std::uint64_t incarnation,
              std::unique_ptr<net::HttpConnection> connection,
              MonoTime now);

  // Closes connections that were idle for longer than kMaxIdleTime.
  void Prune(MonoTime now);

 private:
  struct Key {
    Endpoint m_endpoint;
    std::uint64_t m_incarnation = 0;  // of the instance; another one may have
                                      // taken over the address

    // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Idle {
    std::unique_ptr<net::HttpConnection> m_connection;
    MonoTime m_since;
  };

  // Shorter than the idle timeouts that are usual at HTTP servers (5 s and
  // more), so that a request rarely meets a connection that is being closed.
  static constexpr std::chrono::seconds kMaxIdleTime{4};

  boost::asio::any_io_executor m_executor;
  std::size_t m_max_idle;
  std::map<Key, std::vector<Idle>> m_idle;
};

}  // namespace jujube::entry
