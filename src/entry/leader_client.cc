#include "entry/leader_client.h"

#include <algorithm>

namespace jujube::entry {

LeaderClient::LeaderClient(boost::asio::io_context& io,
                           const net::FrameOptions& options,
                           const std::vector<Endpoint>& control_hosts)
    : m_io(io), m_control_hosts(control_hosts) {
  m_clients.reserve(control_hosts.size());
  for (const Endpoint& endpoint : control_hosts) {
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

void LeaderClient::SelectNextHost(std::size_t called_index,
                                  const std::optional<Endpoint>& leader_hint) {
  // A concurrent call has already selected another host.
  if (m_leader_index != called_index)
    return;
  const auto found = leader_hint
                         ? std::find(m_control_hosts.begin(),
                                     m_control_hosts.end(), *leader_hint)
                         : m_control_hosts.end();
  const auto leader_index =
      static_cast<std::size_t>(std::distance(m_control_hosts.begin(), found));
  const bool is_other_host =
      found != m_control_hosts.end() && leader_index != called_index;
  m_leader_index =
      is_other_host ? leader_index : (called_index + 1) % m_clients.size();
}

}  // namespace jujube::entry
