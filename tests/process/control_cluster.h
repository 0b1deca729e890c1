// ControlCluster: control daemons on loopback. The connections from each host
// to each other host pass through their own TcpRelay.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gen/control.h"
#include "gen/control_status.h"
#include "gen/deployment.h"
#include "process/process_harness.h"

namespace jujube::process {

struct ControlClusterOptions {
  int m_hosts = 3;
  int m_election_timeout_ms = 500;
  int m_snapshot_every = 4096;  // log entries
};

struct OperatorReply {
  std::uint16_t m_status = 0;  // 0: no response
  std::string m_body;
};

class ControlCluster {
 public:
  explicit ControlCluster(const ControlClusterOptions& options = {});

  // The first start of the hosts founds the cluster.
  void Start(int host);
  void StartAll();
  ChildProcess& Host(int host) { return *m_processes.at(host); }
  const Endpoint& PeerEndpoint(int host) const {
    return m_peer_endpoints.at(host);
  }
  const Endpoint& OperatorEndpoint(int host) const {
    return m_operator_endpoints.at(host);
  }
  std::string DataFolder(int host) const;

  // Stalls or restores all relays from and to a host.
  void Isolate(int host);
  void Heal(int host);
  // Closes the outgoing connections of a host and refuses new ones. Messages of
  // the other hosts still reach it.
  void CutOutgoing(int host);
  // Returns the number of bytes that all relays from and to a host forwarded.
  std::uint64_t PeerBytes(int host) const;

  OperatorReply Call(int host,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body = "",
                     const std::string& operator_name = "test") const;
  // Return std::nullopt if the response is missing or not 200. Any host returns
  // its status, but only the leader returns the history.
  std::optional<ControlDaemonStatus> StatusOf(int host) const;
  std::optional<std::vector<HistoryEntry>> HistoryOf(int host) const;

  // Waits until a host that is not in `excluded` completes a read as leader,
  // and returns that host. The daemon confirms its leadership before it
  // answers.
  int WaitForLeader(const std::set<int>& excluded = {}) const;
  // Sends the document to the hosts that are not in `excluded` until a response
  // says that it was accepted or refused.
  ApplyAnswer Apply(const Deployment& deployment,
                    const std::set<int>& excluded = {},
                    const std::string& operator_name = "test") const;
  // Returns the accepted documents as the leader reports them.
  std::vector<HistoryEntry> History(const std::set<int>& excluded = {}) const;
  // Waits until the host has applied the document with this number.
  void WaitForDocument(int host, std::uint64_t number) const;
  // Sends a membership change until it is committed.
  void ChangeMember(const std::string& step, const VoterId& replica) const;

 private:
  void WriteSettings(int host) const;

  const ControlClusterOptions m_options;
  TempFolder m_folder;
  std::vector<Endpoint> m_peer_endpoints;
  std::vector<Endpoint> m_operator_endpoints;
  std::map<std::pair<int, int>, std::unique_ptr<TcpRelay>> m_relays;
  std::map<int, std::unique_ptr<ChildProcess>> m_processes;
};

// Returns the sample document with this number and name.
Deployment NumberedDocument(std::uint64_t number,
                            const std::string& name = "sample");
std::string ToText(const Deployment& deployment);

}  // namespace jujube::process
