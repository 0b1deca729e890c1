// DiscoveryTest: real jujube-platform processes that are configured with three
// seeds.

#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "gen/types.h"
#include "process/process_harness.h"

namespace jujube::process {

// Response to the requests of WaitUntilServed.
inline constexpr char kFuelResponse[] =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nConnection: close\r\n"
    "Content-Length: 4\r\n\r\nfuel";

std::string DocumentText(int number);

// The route "r" of this document serves anonymous callers, "q" those of a
// tenant.
std::string TenantDocumentText(int number);

class DiscoveryTest : public ::testing::Test {
 protected:
  DiscoveryTest();

  std::string Settings(std::size_t host,
                       bool is_first_start,
                       const std::vector<std::size_t>& seed_hosts);
  std::string DataFolder(std::size_t host) const;

  void Start(std::size_t host,
             bool is_first_start = true,
             const std::vector<std::size_t>& seed_hosts = {0, 1, 2});
  void StartControlHosts();
  static bool IsControlHost(std::size_t host);

  // The control host that answers a read itself.
  std::size_t WaitForLeader();
  // Restarts leaders one after the other until one leads that is not a seed.
  void WaitForLeaderThatIsNoSeed();

  static void PutUntilAccepted(int number, int base);
  static void PutUntilAccepted(const std::string& document, int base);

  static Endpoint UpstreamEndpoint();
  // Announces the upstream at a control host. Returns the status.
  static int Announce(int sequence);
  // Announces the upstream and waits until the entry host sends it requests.
  static void WaitUntilServed();

  // Returns true if the logs of all hosts together contain at least `count`
  // promotions to voter (step=1).
  bool HasPromotions(std::size_t count) const;

  TempFolder m_folder;
  int m_memory_mb = 256;
  std::string m_more_bounds;  // of the settings, starting with a comma
  std::map<std::size_t, std::unique_ptr<ChildProcess>> m_hosts;
};

}  // namespace jujube::process
