#include "entry/connection_pool.h"

#include <utility>

namespace jujube::entry {

std::unique_ptr<net::HttpConnection> ConnectionPool::TakeIdle(
    const Endpoint& endpoint,
    std::uint64_t incarnation,
    MonoTime now) {
  const auto found = m_idle.find({endpoint, incarnation});
  if (found == m_idle.end())
    return nullptr;
  std::vector<Idle>& idle = found->second;
  while (!idle.empty()) {
    // The newest one is the least likely to be closed by the upstream.
    Idle taken = std::move(idle.back());
    idle.pop_back();
    if (now - taken.m_since < kMaxIdleTime && !taken.m_connection->Stale())
      return std::move(taken.m_connection);
  }
  return nullptr;
}

std::unique_ptr<net::HttpConnection> ConnectionPool::MakeNew() const {
  return std::make_unique<net::HttpConnection>(m_executor);
}

void ConnectionPool::Return(const Endpoint& endpoint,
                            std::uint64_t incarnation,
                            std::unique_ptr<net::HttpConnection> connection,
                            MonoTime now) {
  if (!connection->Reusable())
    return;
  std::vector<Idle>& idle = m_idle[{endpoint, incarnation}];
  if (idle.size() < m_max_idle)
    idle.push_back({.m_connection = std::move(connection), .m_since = now});
}

void ConnectionPool::Prune(MonoTime now) {
  for (auto& [key, idle] : m_idle) {
    std::erase_if(idle, [&](const Idle& entry) {
      return now - entry.m_since >= kMaxIdleTime;
    });
  }
  std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace jujube::entry
