#include "process/discovery_fixture.h"

#include <cstdlib>
#include <filesystem>

#include "process/discovery_call.h"
#include "process/discovery_hosts.h"

namespace jujube::process {

std::string DocumentText(int number) {
  return R"({"version":)" + std::to_string(number) +
         R"(,"routes":[{"name":"r","host":"a.example","path_prefix":"/p/",)"
         R"("kind":"repeatable","timeout_s":5,"target_latency_s":1,)"
         R"("priority":0,"service":"s","max_attempts":2},)"
         R"({"name":"q","host":"a.example","path_prefix":"/q/",)"
         R"("kind":"at_most_once","timeout_s":60,"target_latency_s":1,)"
         R"("priority":0,"service":"s","max_attempts":2}],)"
         R"("services":[{"name":"s","max_connections":10}],"limits":{}})";
}

std::string TenantDocumentText(int number) {
  std::string text = DocumentText(number);
  const std::string route = R"("name":"r",)";
  text.insert(text.find(route) + route.size(), R"("allow_anonymous":true,)");
  text.insert(text.find(R"("services")"),
              R"("tenants":[{"name":"ferry","api_keys":["k-1"]}],)");
  return text;
}

DiscoveryTest::DiscoveryTest() {
  // The settings name the key file relative to the root of the repository.
  std::filesystem::current_path(JUJUBE_SOURCE_DIR);
}

std::string DiscoveryTest::Settings(
    std::size_t host,
    bool is_first_start,
    const std::vector<std::size_t>& seed_hosts) {
  const std::string address = AddressOf(host);
  const auto quoted_endpoint = [&](std::uint16_t port) {
    return "\"" + address + ":" + std::to_string(port) + "\"";
  };
  std::string seeds;
  for (const std::size_t seed : seed_hosts) {
    seeds += std::string(seeds.empty() ? "" : ",") + "\"" + AddressOf(seed) +
             ":" + std::to_string(kControlPort) + "\"";
  }
  const std::string folder = DataFolder(host);
  std::filesystem::create_directories(folder);
  return R"({"node_name":"host-)" + std::to_string(host) +
         R"(","zone":"z","ip":")" + address +
         R"(","inner_port_range":[7620,7635],"seeds":[)" + seeds +
         R"(],"zones":{"z":"r"},"bootstrap":)" +
         (is_first_start ? "true" : "false") + R"(,"data_dir":")" + folder +
         R"(","heartbeat_s":0.3,"bounds":{"grace_s":6)" + m_more_bounds +
         R"(},"fault_tolerance":{"machines":2},"limits":{"memory_mb":)" +
         std::to_string(m_memory_mb) + R"(},"listen":{"control":)" +
         quoted_endpoint(kControlPort) +
         ",\"directory\":" + quoted_endpoint(kDirectoryPort) +
         ",\"front\":" + quoted_endpoint(kRequestPort) +
         ",\"ready\":" + quoted_endpoint(kReadyPort) + "}}";
}

std::string DiscoveryTest::DataFolder(std::size_t host) const {
  return m_folder.File("data-" + std::to_string(host));
}

void DiscoveryTest::Start(std::size_t host,
                          bool is_first_start,
                          const std::vector<std::size_t>& seed_hosts) {
  const std::string name = "host-" + std::to_string(host);
  const std::string path = m_folder.Write(
      name + ".json", Settings(host, is_first_start, seed_hosts));
  ::setenv("JUJUBELIFT_NODE_FILE", path.c_str(), 1);
  m_hosts[host] = std::make_unique<ChildProcess>(
      "jujube-platform",
      std::vector<std::string>{IsControlHost(host) ? "control" : "entry"},
      m_folder.File(name + ".log"));
}

bool DiscoveryTest::IsControlHost(std::size_t host) {
  return host < kControlHosts || host == kSuccessor || host == kOtherSuccessor;
}

std::size_t DiscoveryTest::WaitForLeader() {
  std::size_t leader = 0;
  WaitUntil("a control host leads", [&] {
    for (const auto& [host, process] : m_hosts) {
      leader = host;
      if (IsControlHost(host) && process->IsRunning() &&
          Call({.m_address = AddressOf(host), .m_port = kControlPort},
               "GET /document")
                  .m_status == 200)
        return true;
    }
    return false;
  });
  return leader;
}

void DiscoveryTest::WaitForLeaderThatIsNoSeed() {
  for (std::size_t leader = WaitForLeader(); leader < 3;
       leader = WaitForLeader()) {
    m_hosts.at(leader)->Terminate();
    m_hosts.at(leader)->Wait();
    Start(leader, false);
  }
}

void DiscoveryTest::StartControlHosts() {
  for (std::size_t i = 0; i < kControlHosts; ++i)
    Start(i);
}

void DiscoveryTest::PutUntilAccepted(int number, int base) {
  PutUntilAccepted(DocumentText(number), base);
}

void DiscoveryTest::PutUntilAccepted(const std::string& document, int base) {
  WaitUntil("the document is accepted", [&] {
    return CallControl(0, "POST", "/document",
                       "Base-Version: " + std::to_string(base) + "\r\n",
                       document)
               .m_status == 200;
  });
}

Endpoint DiscoveryTest::UpstreamEndpoint() {
  return {.m_address = AddressOf(kUpstreamHost), .m_port = 8080};
}

int DiscoveryTest::Announce(int sequence) {
  return Call({.m_address = AddressOf(2), .m_port = kControlPort},
              "POST /upstreams/i-1/announce", "",
              R"({"service":"s","address":")" + ToText(UpstreamEndpoint()) +
                  R"(","zone":"z","slots":3,"state":"serving",)"
                  R"("cold_left_s":0,"sequence":)" +
                  std::to_string(sequence) + R"(,"born":5})")
      .m_status;
}

void DiscoveryTest::WaitUntilServed() {
  EXPECT_EQ(Announce(1), 200);
  WaitUntil("a request is served", [] {
    return Call({.m_address = AddressOf(kEntryHost), .m_port = kRequestPort},
                "GET /p/1", "Attempt-Id: 77\r\nDeadline-Ms: 2000\r\n")
               .m_status == 200;
  });
}

bool DiscoveryTest::HasPromotions(std::size_t count) const {
  std::size_t promoted = 0;
  for (const auto& [host, process] : m_hosts) {
    const std::string log = process->Log();
    for (std::size_t at = log.find("step=1"); at != std::string::npos;
         at = log.find("step=1", at + 1))
      ++promoted;
  }
  return promoted >= count;
}

}  // namespace jujube::process
