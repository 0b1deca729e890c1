#include "process/control_cluster.h"

#include "core/json_document.h"
#include "gen/control_json.h"
#include "gen/control_status_json.h"
#include "gen/deployment_json.h"
#include "net/http_call.h"
#include "unit/sample_deployment.h"

namespace jujube::process {

namespace {

constexpr char kPeerKey[] = "peer key of the process tests";
constexpr char kOperatorKey[] = "operator key of the process tests";
constexpr std::chrono::seconds kCallTimeout{5};

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kUnprocessable = 422;

std::string HostName(int host) {
  return "c" + std::to_string(host);
}

}  // namespace

ControlCluster::ControlCluster(const ControlClusterOptions& options)
    : m_options(options) {
  m_folder.Write("peer.key", kPeerKey);
  m_folder.Write("operator.key", kOperatorKey);
  for (int host = 0; host < m_options.m_hosts; ++host) {
    m_peer_endpoints.push_back(ReserveEndpoint());
    m_operator_endpoints.push_back(ReserveEndpoint());
  }
  for (int from = 0; from < m_options.m_hosts; ++from) {
    for (int to = 0; to < m_options.m_hosts; ++to) {
      if (from != to)
        m_relays[{from, to}] = std::make_unique<TcpRelay>(m_peer_endpoints[to]);
    }
  }
  for (int host = 0; host < m_options.m_hosts; ++host)
    WriteSettings(host);
}

void ControlCluster::WriteSettings(int host) const {
  std::string peers;
  for (int to = 0; to < m_options.m_hosts; ++to) {
    const Endpoint& path =
        to == host ? m_peer_endpoints[to] : m_relays.at({host, to})->Address();
    peers += std::string(to == 0 ? "" : ", ") + R"({"host": ")" + HostName(to) +
             R"(", "peer": )" + ToSettings(path) + R"(, "operator": )" +
             ToSettings(m_operator_endpoints[to]) + "}";
  }
  m_folder.Write(HostName(host) + ".json",
                 R"({"host": ")" + HostName(host) +
                     R"(", "availability_zone": "luz-a", "peers": [)" + peers +
                     R"(], "data_folder": ")" + DataFolder(host) +
                     R"(", "peer_key_file": ")" + m_folder.File("peer.key") +
                     R"(", "operator_key_file": ")" +
                     m_folder.File("operator.key") + R"(", "heartbeat_ms": )" +
                     std::to_string(m_options.m_election_timeout_ms / 10) +
                     R"(, "election_timeout_ms": )" +
                     std::to_string(m_options.m_election_timeout_ms) +
                     R"(, "snapshot_every": )" +
                     std::to_string(m_options.m_snapshot_every) + "}");
}

std::string ControlCluster::DataFolder(int host) const {
  return m_folder.File("data-" + HostName(host));
}

void ControlCluster::Start(int host) {
  const std::string settings = m_folder.File(HostName(host) + ".json");
  const std::vector<std::string> arguments = {"--settings", settings};
  m_processes.erase(host);
  m_processes[host] = std::make_unique<ChildProcess>(
      "jujube-controld", arguments, m_folder.File(HostName(host) + ".log"));
}

void ControlCluster::StartAll() {
  for (int host = 0; host < m_options.m_hosts; ++host)
    Start(host);
}

void ControlCluster::Isolate(int host) {
  for (auto& [path, relay] : m_relays) {
    if (path.first == host || path.second == host)
      relay->Stall();
  }
}

void ControlCluster::Heal(int host) {
  for (auto& [path, relay] : m_relays) {
    if (path.first == host || path.second == host)
      relay->Restore();
  }
}

void ControlCluster::CutOutgoing(int host) {
  for (auto& [path, relay] : m_relays) {
    if (path.first == host)
      relay->Cut();
  }
}

std::uint64_t ControlCluster::PeerBytes(int host) const {
  std::uint64_t bytes = 0;
  for (const auto& [path, relay] : m_relays) {
    if (path.first == host || path.second == host)
      bytes += relay->BytesToTarget() + relay->BytesFromTarget();
  }
  return bytes;
}

OperatorReply ControlCluster::Call(int host,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   const std::string& operator_name) const {
  const net::HttpRequest request{
      .m_method = method,
      .m_target = path,
      .m_headers = {{"Authorization", std::string("Bearer ") + kOperatorKey},
                    {"Jujube-Operator", operator_name}},
      .m_body = body};
  const auto response = net::HttpCallBlocking(
      m_operator_endpoints.at(host), request, MonoClock::now() + kCallTimeout);
  if (!response)
    return {};
  return {.m_status = response.value().m_head.m_status,
          .m_body = response.value().m_body};
}

std::optional<ControlDaemonStatus> ControlCluster::StatusOf(int host) const {
  const OperatorReply reply = Call(host, "GET", "/v1/status");
  if (reply.m_status != kOk)
    return std::nullopt;
  return ParseDocument<ControlDaemonStatus>(reply.m_body, "status").value();
}

std::optional<std::vector<HistoryEntry>> ControlCluster::HistoryOf(
    int host) const {
  const OperatorReply reply = Call(host, "GET", "/v1/history");
  if (reply.m_status != kOk)
    return std::nullopt;
  return ParseDocument<HistoryPage>(reply.m_body, "history").value().m_entries;
}

int ControlCluster::WaitForLeader(const std::set<int>& excluded) const {
  int leader = -1;
  WaitUntil("a leader answers", [&] {
    for (int host = 0; host < m_options.m_hosts && leader < 0; ++host) {
      if (!excluded.contains(host) && HistoryOf(host))
        leader = host;
    }
    return leader >= 0;
  });
  return leader;
}

ApplyAnswer ControlCluster::Apply(const Deployment& deployment,
                                  const std::set<int>& excluded,
                                  const std::string& operator_name) const {
  const std::string document = ToText(deployment);
  std::optional<ApplyAnswer> answer;
  WaitUntil("the document is accepted or refused", [&] {
    for (int host = 0; host < m_options.m_hosts && !answer; ++host) {
      if (excluded.contains(host))
        continue;
      const OperatorReply reply =
          Call(host, "POST", "/v1/apply", document, operator_name);
      if (reply.m_status == kOk || reply.m_status == kConflict ||
          reply.m_status == kUnprocessable)
        answer = ParseDocument<ApplyAnswer>(reply.m_body, "answer").value();
    }
    return answer.has_value();
  });
  return *answer;
}

std::vector<HistoryEntry> ControlCluster::History(
    const std::set<int>& excluded) const {
  std::optional<std::vector<HistoryEntry>> history;
  WaitUntil("the leader returns the history", [&] {
    history = HistoryOf(WaitForLeader(excluded));
    return history.has_value();
  });
  return *history;
}

void ControlCluster::WaitForDocument(int host, std::uint64_t number) const {
  WaitUntil("the host has applied the document", [&] {
    const auto status = StatusOf(host);
    return status && status->m_state.m_number >= number;
  });
}

void ControlCluster::ChangeMember(const std::string& step,
                                  const VoterId& replica) const {
  const std::string body = R"({"step": ")" + step +
                           R"(", "replica": {"host": ")" +
                           replica.m_host.m_value + R"(", "folder": )" +
                           std::to_string(replica.m_folder) + "}}";
  WaitUntil("the membership change is committed", [&] {
    return Call(WaitForLeader(), "POST", "/v1/members", body).m_status == kOk;
  });
}

Deployment NumberedDocument(std::uint64_t number, const std::string& name) {
  Deployment deployment = testing::SampleDeployment(number);
  deployment.m_name = name;
  return deployment;
}

std::string ToText(const Deployment& deployment) {
  return boost::json::serialize(ToJson(deployment));
}

}  // namespace jujube::process
