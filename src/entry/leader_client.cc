#include "entry/leader_client.h"

#include <algorithm>

namespace jujube::entry {

LeaderClient::LeaderClient(boost::asio::io_context& io,
                           const net::FrameOptions& options,
                           const std::vector<Endpoint>& control)
    : m_io(io), m_control(control) {
  m_clients.reserve(control.size());
  for (const Endpoint& endpoint : control) {
    m_clients.push_back(std::make_unique<net::FrameClient>(
        io, options, endpoint, net::FrameDispatch()));
  }
}

void LeaderClient::Start() {
  for (const auto& client : m_clients)
    client->Start();
}

void LeaderClient::Stop() {
  for (const auto& client : m_clients)
    client->Stop();
}

void LeaderClient::MoveOn(std::size_t asked,
                          const std::optional<Endpoint>& hint) {
  // Another call may have found the leader meanwhile.
  if (m_leader != asked)
    return;
  const auto known = hint ? std::find(m_control.begin(), m_control.end(), *hint)
                          : m_control.end();
  const auto position =
      static_cast<std::size_t>(std::distance(m_control.begin(), known));
  const bool is_new = known != m_control.end() && position != asked;
  m_leader = is_new ? position : (asked + 1) % m_clients.size();
}

}  // namespace jujube::entry
