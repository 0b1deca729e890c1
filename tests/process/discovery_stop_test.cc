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
#include "process/raw_socket.h"

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

// Guards against a response that exists and is dropped at the end of a planned
// stop, because an earlier request on its connection is still in progress.
TEST_F(DiscoveryTest, ResponseBehindALongRequestArrivesBeforeTheEndOfAStop) {
  StartControlHosts();
  Start(kEntryHost);
  // Requests overlap under a document with tenants. The route takes longer than
  // the stop.
  std::string document = TenantDocumentText(1);
  const std::string time_limit = R"("timeout_s":5,)";
  document.replace(document.find(time_limit), time_limit.size(),
                   R"("timeout_s":60,)");
  PutUntilAccepted(document, 0);
  {
    const FixedResponseUpstream upstream(UpstreamEndpoint(), kFuelResponse);
    WaitUntilServed();
  }
  const testing::RawSocket upstream =
      testing::RawSocket::Listen(UpstreamEndpoint(), 16);
  EXPECT_EQ(Announce(2), 200);
  const testing::RawSocket caller = testing::RawSocket::Connect(
      {.m_address = AddressOf(kEntryHost), .m_port = kRequestPort});
  const auto send = [&](const std::string& id) {
    caller.Send("GET /p/" + id +
                " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
                "\r\nDeadline-Ms: 50000\r\n\r\n");
    testing::RawSocket connection = upstream.Accept();
    EXPECT_TRUE(connection.ReadUntil("\r\n\r\n"));
    return connection;
  };
  const testing::RawSocket at_work = send("76");
  send("77").Send(kFuelResponse);
  m_hosts.at(kEntryHost)->Terminate();
  const std::string received = caller.ReadToEnd();
  EXPECT_NE(received.find("fuel"), std::string::npos) << received;
}

}  // namespace
}  // namespace jujube::process
