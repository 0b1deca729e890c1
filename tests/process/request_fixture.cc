#include "process/request_fixture.h"

#include "process/process_harness.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <boost/json.hpp>

#include "core/json_document.h"
#include "gen/control_status_json.h"
#include "gen/deployment_json.h"
#include "gen/lookup_json.h"
#include "gen/membership_json.h"
#include "gen/settings_json.h"
#include "gen/status_json.h"
#include "net/http_fields.h"

// Sections: configuration, processes, requests, conditions.

namespace jujube::testing {

namespace {

using std::chrono::milliseconds;

// Ends a request to a daemon that hangs; no test depends on the value.
constexpr std::chrono::seconds kCallTimeout{60};
constexpr std::chrono::seconds kStatusTimeout{2};
constexpr char kZone[] = "zone-a";

Answer ToAnswer(const Result<net::HttpResponse>& response) {
  if (!response)
    return {};
  const std::vector<Header>& headers = response.value().m_head.m_headers;
  return {.m_status = response.value().m_head.m_status,
          .m_verdict = std::string(
              net::FindHeader(headers, "Jujube-Verdict").value_or("")),
          .m_is_replayed = net::FindHeader(headers, "Jujube-Replayed") == "yes",
          .m_body = response.value().m_body};
}

Answer Call(const Endpoint& endpoint,
            const net::HttpRequest& request,
            std::chrono::seconds timeout = kCallTimeout) {
  return ToAnswer(
      net::HttpCallBlocking(endpoint, request, MonoClock::now() + timeout));
}

template <class T>
std::string ToJsonText(const T& value) {
  return boost::json::serialize(ToJson(value));
}

std::string ProgramPath(const std::string& name) {
  return std::string(JUJUBE_BIN_DIR) + "/" + name;
}

}  // namespace

// ---- Configuration ---------------------------------------------------------

RequestSystem::RequestSystem(const SystemOptions& options) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "jujube-XXXXXX").string();
  m_folder = ::mkdtemp(pattern.data());
  Write("peer.key", kPeerKey);
  Write("platform.key", kPlatformKey);
  Write("operator.key", kOperatorKey);
  CreateHostSettings(options);
  CreateDeployment(options);
  StartControls();
  Apply(m_deployment);
  StartEntries();
}

RequestSystem::~RequestSystem() {
  m_upstreams.clear();
  m_entries.clear();
  m_controls.clear();
  // Lets a developer inspect the logs of a failed test.
  if (std::getenv("JUJUBE_KEEP_FOLDERS") == nullptr)
    std::filesystem::remove_all(m_folder);
}

std::string RequestSystem::Write(const std::string& name,
                                 const std::string& text) const {
  std::ofstream(Path(name)) << text;
  return Path(name);
}

void RequestSystem::CreateHostSettings(const SystemOptions& options) {
  std::vector<ControlPeer> peers;
  std::vector<Endpoint> voters;
  for (std::size_t i = 0; i < options.m_controls; ++i) {
    peers.push_back({.m_host = {"control-" + std::to_string(i)},
                     .m_peer = process::ReserveEndpoint(),
                     .m_operator = process::ReserveEndpoint()});
    voters.push_back(peers.back().m_peer);
  }
  for (const ControlPeer& peer : peers) {
    m_control_settings.push_back(
        {.m_host = peer.m_host,
         .m_availability_zone = {kZone},
         .m_peers = peers,
         .m_data_folder = Path("data-" + peer.m_host.m_value),
         .m_discovers_peers = options.m_key_lease.has_value(),
         .m_peer_key_file = Path("peer.key"),
         .m_operator_key_file = Path("operator.key"),
         .m_heartbeat = milliseconds(50),
         .m_election_timeout = milliseconds(500)});
  }
  for (std::size_t i = 0; i < options.m_entries; ++i) {
    m_entry_settings.push_back(
        {.m_host = {"entry-" + std::to_string(i)},
         .m_availability_zone = {kZone},
         .m_caller = process::ReserveEndpoint(),
         .m_platform = process::ReserveEndpoint(),
         .m_peer = process::ReserveEndpoint(),
         .m_operator = process::ReserveEndpoint(),
         .m_control =
             options.m_key_lease ? ConnectThroughRelays(voters) : voters,
         .m_peer_key_file = Path("peer.key"),
         .m_platform_key_file = Path("platform.key"),
         .m_operator_key_file = Path("operator.key"),
         .m_discovers_control = options.m_key_lease.has_value(),
         .m_drain_limit = options.m_drain_limit,
         .m_stop_limit = options.m_stop_limit,
         .m_connect_timeout = options.m_connect_timeout,
         .m_key_lease = options.m_key_lease});
  }
}

std::vector<Endpoint> RequestSystem::ConnectThroughRelays(
    const std::vector<Endpoint>& controls) {
  std::vector<Endpoint> addresses;
  auto& relays = m_relays.emplace_back();
  for (const Endpoint& control : controls) {
    relays.push_back(std::make_unique<process::TcpRelay>(control));
    addresses.push_back(relays.back()->Address());
  }
  return addresses;
}

void RequestSystem::CreateDeployment(const SystemOptions& options) {
  m_deployment = {
      .m_number = 1,
      .m_name = "request tests",
      .m_regions = {{{"region-a"}, options.m_region_cap}},
      .m_availability_zones = {{{kZone}, {"region-a"}}},
      .m_sites = {{{"site-a"}, {kZone}}},
      .m_services = {{.m_name = {"log"},
                      .m_priority = 9,
                      .m_non_repeatable_methods = {"POST"},
                      .m_lookup_lifetime = options.m_lookup_lifetime,
                      .m_retry_budget_permille = 1000,
                      .m_slow_start = milliseconds(0)}},
      .m_tenants = options.m_tenants,
      .m_blocks = {{"127.0.0.0/8", {"site-a"}}}};
  m_deployment.m_overload_control = true;
  for (const EntrySettings& entry : m_entry_settings) {
    m_deployment.m_entry_hosts.push_back(
        {.m_name = entry.m_host,
         .m_availability_zone = entry.m_availability_zone,
         .m_caller = entry.m_caller,
         .m_peer = entry.m_peer});
  }
}

// ---- Processes -------------------------------------------------------------

void RequestSystem::StartControls() {
  for (const ControlSettings& settings : m_control_settings) {
    std::filesystem::create_directories(settings.m_data_folder);
    const std::string& name = settings.m_host.m_value;
    m_controls.push_back(
        ChildProcess({ProgramPath("jujube-controld"), "--settings",
                      Write(name + ".json", ToJsonText(settings))},
                     Path(name + ".log")));
  }
}

void RequestSystem::StartEntries() {
  for (const EntrySettings& settings : m_entry_settings) {
    const std::string& name = settings.m_host.m_value;
    m_entries.push_back(
        ChildProcess({ProgramPath("jujube-entryd"), "--settings",
                      Write(name + ".json", ToJsonText(settings))},
                     Path(name + ".log")));
  }
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    WaitUntil([&] {
      // A daemon that has exited would never report the document.
      if (!m_entries[i].IsRunning())
        throw std::runtime_error("an entry daemon exited during its start");
      const std::optional<EntryStatus> status = StatusOf(i);
      return status && status->m_number == m_deployment.m_number;
    });
  }
}

void RequestSystem::RestartControls() {
  m_controls.clear();
  StartControls();
}

void RequestSystem::RestartEntries() {
  m_entries.clear();
  StartEntries();
}

void RequestSystem::Apply(const Deployment& document) {
  m_deployment = document;
  const net::HttpRequest request{.m_method = "POST",
                                 .m_target = "/v1/apply",
                                 .m_body = ToJsonText(document)};
  WaitUntil([&] {
    const std::size_t leader = LeaderIndex();
    return CallOperator(m_control_settings[leader].m_peers[leader].m_operator,
                        request)
               .m_status == 200;
  });
}

void RequestSystem::CutOff(std::size_t entry) {
  for (const auto& relay : m_relays[entry])
    relay->Stall();
}

void RequestSystem::Reconnect(std::size_t entry) {
  for (const auto& relay : m_relays[entry])
    relay->Restore();
}

std::size_t RequestSystem::LeaderIndex() {
  while (true) {
    for (std::size_t i = 0; i < m_controls.size(); ++i) {
      if (!m_controls[i].IsRunning())
        continue;
      const Answer answer =
          CallOperator(m_control_settings[i].m_peers[i].m_operator,
                       {.m_target = "/v1/status"});
      const auto status =
          ParseDocument<ControlDaemonStatus>(answer.m_body, "status");
      if (status && status.value().m_role == "leader")
        return i;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

void RequestSystem::StartUpstream(const std::string& name,
                                  const UpstreamOptions& options) {
  UpstreamSettings settings{.m_service = {"log"},
                            .m_instance = {name},
                            .m_availability_zone = {kZone},
                            .m_listen = process::ReserveEndpoint(),
                            .m_platform_key_file = Path("platform.key"),
                            .m_slots = options.m_slots,
                            .m_run_log = Path("runs.log")};
  for (const EntrySettings& entry : m_entry_settings) {
    if (options.m_announces)
      settings.m_announce_to.push_back(entry.m_platform);
  }
  m_upstreams[name] =
      ChildProcess({ProgramPath("jujube-upstream"), "--settings",
                    Write(name + ".json", ToJsonText(settings))},
                   Path(name + ".log"));
  m_upstream_settings[name] = std::move(settings);
}

ChildProcess RequestSystem::StartCaller(const std::vector<std::string>& flags,
                                        const std::string& output) {
  std::string entries;
  for (const EntrySettings& entry : m_entry_settings) {
    entries += (entries.empty() ? "" : ",") + entry.m_caller.m_address + ":" +
               std::to_string(entry.m_caller.m_port);
  }
  std::vector<std::string> command{ProgramPath("jujube-caller"),
                                   "--entries=" + entries, "--service=log",
                                   "--json"};
  command.insert(command.end(), flags.begin(), flags.end());
  return ChildProcess(command, Path(output));
}

// ---- Requests --------------------------------------------------------------

Answer RequestSystem::Send(std::size_t entry,
                           const net::HttpRequest& request) const {
  return Call(m_entry_settings[entry].m_caller, request);
}

Answer RequestSystem::Post(std::size_t entry,
                           const std::string& path,
                           const std::string& key,
                           const std::string& body,
                           std::vector<Header> extra_headers) const {
  net::HttpRequest request{.m_method = "POST",
                           .m_target = "/s/log" + path,
                           .m_headers = std::move(extra_headers),
                           .m_body = body};
  if (!key.empty())
    request.m_headers.push_back({"Idempotency-Key", key});
  return Send(entry, request);
}

Answer RequestSystem::PostUntilClaimSettled(std::size_t entry,
                                            const std::string& path,
                                            const std::string& key) const {
  Answer answer;
  WaitUntil([&] {
    answer = Post(entry, path, key);
    return answer.m_body.find("is in progress") == std::string::npos &&
           answer.m_status != 503;
  });
  return answer;
}

std::string RequestSystem::NewIdempotencyKey(milliseconds age) {
  const UnixMillis issued = SystemClock().WallNow() - age;
  return std::to_string(issued.count()) + "-" +
         std::to_string(++m_last_key_suffix);
}

Answer RequestSystem::CallOperator(const Endpoint& endpoint,
                                   net::HttpRequest request) const {
  request.m_headers.push_back(
      {"Authorization", std::string("Bearer ") + kOperatorKey});
  return Call(endpoint, request, kStatusTimeout);
}

Answer RequestSystem::Announce(std::size_t entry,
                               const Announcement& announcement,
                               const std::string& key) const {
  const net::HttpRequest request{
      .m_method = "POST",
      .m_target = "/announce",
      .m_headers = {{"Authorization", "Bearer " + key}},
      .m_body = ToJsonText(announcement)};
  return Call(m_entry_settings[entry].m_platform, request);
}

Announcement RequestSystem::AnnouncementOf(const std::string& instance,
                                           const Endpoint& endpoint) const {
  return {
      .m_service = {"log"},
      .m_instance = {instance},
      .m_incarnation = 1,
      .m_sequence = static_cast<std::uint64_t>(SystemClock().WallNow().count()),
      .m_state = UpstreamState::kServing,
      .m_endpoint = endpoint,
      .m_availability_zone = {kZone},
      .m_slots = 12};
}

std::optional<EntryStatus> RequestSystem::StatusOf(std::size_t entry) const {
  const Answer answer =
      CallOperator(m_entry_settings[entry].m_operator, {.m_target = "/status"});
  const auto status = ParseDocument<EntryStatus>(answer.m_body, "status");
  if (!status)
    return std::nullopt;
  return status.value();
}

LookupAnswer RequestSystem::Lookup(std::size_t entry) const {
  const Answer answer = Send(entry, {.m_target = "/lookup?service=log"});
  return ParseDocument<LookupAnswer>(answer.m_body, "look-up").value();
}

// ---- Conditions ------------------------------------------------------------

void RequestSystem::WaitUntilServing(std::uint32_t slots) const {
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    WaitUntil([&] {
      const std::optional<EntryStatus> status = StatusOf(i);
      return status && !status->m_services.empty() &&
             status->m_services[0].m_usable_slots >= slots;
    });
  }
}

std::vector<std::string> RequestSystem::RunLines(
    const std::string& target) const {
  std::vector<std::string> lines;
  std::ifstream file(Path("runs.log"));
  for (std::string line; std::getline(file, line);) {
    if (line.find(target) != std::string::npos)
      lines.push_back(line);
  }
  return lines;
}

std::size_t RequestSystem::RunCount(const std::string& target) const {
  return RunLines(target).size();
}

}  // namespace jujube::testing
