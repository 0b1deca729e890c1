#include "entry/connection_pool.h"

#include <algorithm>
#include <utility>

namespace jujube::entry {

namespace {

// Upstreams that forget idle connections usually do so together, for example
// behind one middlebox. A single upstream that stops closes its connections as
// well, so several have to be found closed within this time of one another. A
// request that failed is reason enough.
constexpr std::chrono::seconds kDistrustTime{5};
constexpr std::uint32_t kForgottenToDistrust = 4;

constexpr std::chrono::seconds kPruneInterval{1};

}  // namespace

ReuseAnswer ConnectionPool::Decide(const IdleConnection& entry,
                                   bool is_repeatable,
                                   MonoTime now) const {
  return DecideReuse(
      {.m_is_repeatable = is_repeatable,
       .m_reuses_for_at_most_once = m_reuses_for_at_most_once},
      {.m_idle_for = now - entry.m_idle_since,
       .m_stated_timeout = entry.m_stated_timeout,
       .m_is_forgotten_elsewhere = m_forgotten >= kForgottenToDistrust &&
                                   now - m_forgotten_at < kDistrustTime});
}

std::unique_ptr<net::HttpConnection> ConnectionPool::TakeIdle(
    const Endpoint& endpoint,
    std::uint64_t incarnation,
    bool is_repeatable,
    MonoTime now) {
  const auto found = m_idle_connections.find({endpoint, incarnation});
  if (found == m_idle_connections.end())
    return nullptr;
  std::vector<IdleConnection>& idle = found->second;
  while (!idle.empty()) {
    // The upstream is least likely to have closed the most recently used one.
    const ReuseAnswer answer = Decide(idle.back(), is_repeatable, now);
    // The others have been idle for longer.
    if (answer == ReuseAnswer::kKeep)
      return nullptr;
    IdleConnection candidate = std::move(idle.back());
    idle.pop_back();
    if (answer == ReuseAnswer::kExpire)
      continue;
    if (!candidate.m_connection->Stale())
      return std::move(candidate.m_connection);
    OnForgotten(1, now);
  }
  return nullptr;
}

std::unique_ptr<net::HttpConnection> ConnectionPool::MakeConnection() const {
  return std::make_unique<net::HttpConnection>(m_executor);
}

void ConnectionPool::Return(const Endpoint& endpoint,
                            std::uint64_t incarnation,
                            std::unique_ptr<net::HttpConnection> connection,
                            std::optional<std::chrono::seconds> stated_timeout,
                            MonoTime now) {
  if (m_reuses_for_at_most_once && now - m_pruned_at >= kPruneInterval) {
    m_pruned_at = now;
    Prune(now);
  }
  if (!connection->Reusable())
    return;
  std::vector<IdleConnection>& idle =
      m_idle_connections[{endpoint, incarnation}];
  if (idle.size() < m_max_idle_per_instance) {
    idle.push_back({.m_connection = std::move(connection),
                    .m_stated_timeout = stated_timeout,
                    .m_idle_since = now});
  }
}

void ConnectionPool::OnReuseFailed(MonoTime now) {
  OnForgotten(kForgottenToDistrust, now);
}

void ConnectionPool::OnConnected(const RegionId& region,
                                 MonoTime started,
                                 MonoTime now) {
  m_connected_at = std::max(m_connected_at, started);
  const MonoClock::duration time = now - started;
  const auto [found, is_new] = m_shortest_connects.try_emplace(region, time);
  if (!is_new)
    found->second = std::min(found->second, time);
}

std::chrono::milliseconds ConnectionPool::OneWayDelay(
    const RegionId& region,
    std::chrono::milliseconds stated) const {
  const auto found = m_shortest_connects.find(region);
  if (found == m_shortest_connects.end())
    return stated;
  return std::min(
      stated, std::chrono::ceil<std::chrono::milliseconds>(found->second / 2));
}

void ConnectionPool::OnForgotten(std::uint32_t count, MonoTime now) {
  if (now - m_forgotten_at >= kDistrustTime)
    m_forgotten = 0;
  m_forgotten += count;
  m_forgotten_at = now;
}

void ConnectionPool::Prune(MonoTime now) {
  for (auto& [key, idle] : m_idle_connections) {
    std::erase_if(idle, [&](const IdleConnection& entry) {
      return Decide(entry, true, now) == ReuseAnswer::kExpire;
    });
  }
  std::erase_if(m_idle_connections,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace jujube::entry
