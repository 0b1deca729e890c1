#include "entry/connection_pool.h"

#include <utility>

namespace jujube::entry {

std::unique_ptr<net::HttpConnection> ConnectionPool::TakeIdle(
    const Endpoint& endpoint,
    std::uint64_t incarnation,
    MonoTime now) {
  const auto found = m_idle_connections.find({endpoint, incarnation});
  if (found == m_idle_connections.end())
    return nullptr;
  std::vector<IdleConnection>& idle = found->second;
  while (!idle.empty()) {
    // The upstream is least likely to have closed the most recently used one.
    IdleConnection candidate = std::move(idle.back());
    idle.pop_back();
    if (now - candidate.m_idle_since < kMaxIdleTime &&
        !candidate.m_connection->Stale())
      return std::move(candidate.m_connection);
  }
  return nullptr;
}

std::unique_ptr<net::HttpConnection> ConnectionPool::MakeConnection() const {
  return std::make_unique<net::HttpConnection>(m_executor);
}

void ConnectionPool::Return(const Endpoint& endpoint,
                            std::uint64_t incarnation,
                            std::unique_ptr<net::HttpConnection> connection,
                            MonoTime now) {
  if (!connection->Reusable())
    return;
  std::vector<IdleConnection>& idle =
      m_idle_connections[{endpoint, incarnation}];
  if (idle.size() < m_max_idle_per_instance)
    idle.push_back(
        {.m_connection = std::move(connection), .m_idle_since = now});
}

void ConnectionPool::Prune(MonoTime now) {
  for (auto& [key, idle] : m_idle_connections) {
    std::erase_if(idle, [&](const IdleConnection& entry) {
      return now - entry.m_idle_since >= kMaxIdleTime;
    });
  }
  std::erase_if(m_idle_connections,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace jujube::entry
