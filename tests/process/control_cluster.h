// ControlCluster: control daemons on loopback with a relay on each path
// between two of them.

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
  int m_snapshot_every = 4096;
};

struct OperatorReply {
  std::uint16_t m_status = 0;  // 0: no response
  std::string m_body;
};

class ControlCluster {
 public:
  explicit ControlCluster(const ControlClusterOptions& options = {});

  // Starts a host, or all of them; the first start founds the cluster.
  void Start(int host);
  void StartAll();
  ChildProcess& Host(int host) { return *m_processes.at(host); }
  const Endpoint& Peer(int host) const { return m_peers.at(host); }
  const Endpoint& Operator(int host) const { return m_operators.at(host); }
  std::string DataFolder(int host) const;

  // Stalls or restores every path from and to a host.
  void Isolate(int host);
  void Heal(int host);
  // Cuts the paths from a host; what others send still reaches it.
  void CutFrom(int host);
  // Bytes from and to a host on the paths between hosts.
  std::uint64_t PeerBytes(int host) const;

  OperatorReply Call(int host,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body = "",
                     const std::string& operator_name = "test") const;
  // Nothing if the host does not answer.
  std::optional<ControlDaemonStatus> StatusOf(int host) const;
  std::optional<std::vector<HistoryEntry>> HistoryOf(int host) const;

  // Waits until a host other than those named answers as leader after a read
  // barrier, and returns it.
  int WaitForLeader(const std::set<int>& without = {}) const;
  // Sends the document to the leader until a response is conclusive. Hosts in
  // `without` are not asked.
  ApplyAnswer Apply(const Deployment& deployment,
                    const std::set<int>& without = {},
                    const std::string& operator_name = "test") const;
  // The accepted documents, from whichever host leads.
  std::vector<HistoryEntry> History(const std::set<int>& without = {}) const;
  // Waits until the host has applied the document with this number.
  void WaitForNumber(int host, std::uint64_t number) const;
  // Repeats a change of membership until it is committed.
  void ChangeMember(const std::string& step, const VoterId& replica) const;

 private:
  void WriteSettings(int host) const;

  const ControlClusterOptions m_options;
  TempFolder m_folder;
  std::vector<Endpoint> m_peers;
  std::vector<Endpoint> m_operators;
  std::map<std::pair<int, int>, std::unique_ptr<TcpRelay>> m_relays;
  std::map<int, std::unique_ptr<ChildProcess>> m_processes;
};

// The sample document under a number; the name makes documents differ.
Deployment NumberedDocument(std::uint64_t number,
                            const std::string& name = "sample");
std::string ToText(const Deployment& deployment);

}  // namespace jujube::process
