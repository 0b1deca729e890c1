// Tests with real jujube-platform processes: requests during a planned stop of
// an entry host.

#include <chrono>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "process/discovery_call.h"
#include "process/discovery_fixture.h"
#include "process/discovery_hosts.h"
#include "process/fixed_response_upstream.h"
#include "process/process_harness.h"

namespace jujube::process {
namespace {

// Guards against a request that is passed on late in a planned stop and given
// up at its end while its instance works: requests sent later than 3 s after
// SIGTERM must be finished or refused.
TEST_F(DiscoveryTest, LateRequestThatMayOutlastAStopIsRefused) {
  constexpr std::chrono::milliseconds kLate{3050};
  StartControlHosts();
  Start(kEntryHost);
  PutUntilAccepted(1, 0);
  const FixedResponseUpstream upstream(UpstreamEndpoint(), kFuelResponse);
  WaitUntilServed();
  EXPECT_EQ(Announce(2), 200);
  // Without their confirmation, the entry host serves callers that may still be
  // told its address until 3.5 s after SIGTERM.
  for (std::size_t host = 0; host < kControlHosts; ++host)
    m_hosts.at(host)->Freeze();
  const int requests = upstream.Requests();
  m_hosts.at(kEntryHost)->Terminate();
  std::this_thread::sleep_for(kLate);
  const Answer answer =
      Call({.m_address = AddressOf(kEntryHost), .m_port = kRequestPort},
           "GET /p/1", "Attempt-Id: 77\r\nDeadline-Ms: 5000\r\n");
  EXPECT_EQ(answer.m_status, 503) << answer.m_text;
  EXPECT_EQ(upstream.Requests(), requests);
}

}  // namespace
}  // namespace jujube::process
