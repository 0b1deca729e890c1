// Tests with real jujube-platform processes and an upstream whose response is
// malformed.

#include <string>

#include <gtest/gtest.h>

#include "process/discovery_call.h"
#include "process/discovery_fixture.h"
#include "process/discovery_hosts.h"
#include "process/fixed_response_upstream.h"
#include "process/process_harness.h"

namespace jujube::process {
namespace {

class DiscoveryResponse : public DiscoveryTest {
 protected:
  DiscoveryResponse() {
    StartControlHosts();
    Start(kEntryHost);
    PutUntilAccepted(1, 0);
  }

  // Answers a request with the given bytes and expects that the caller gets
  // nothing of them, nor a status that states that the request has not run.
  static void ExpectNotPassedOn(const std::string& response) {
    const FixedResponseUpstream upstream(UpstreamEndpoint(), response);
    Answer answer;
    int sequence = 0;
    WaitUntil("the upstream gets the request", [&] {
      Announce(++sequence);  // an upstream that stops is taken out of use
      answer =
          Call({.m_address = AddressOf(kEntryHost), .m_port = kRequestPort},
               "GET /q/1", "Attempt-Id: 77\r\nDeadline-Ms: 50000\r\n");
      return upstream.Requests() > 0;
    });
    EXPECT_EQ(answer.m_status, 502) << answer.m_text;
    EXPECT_EQ(answer.m_text.find("fuel"), std::string::npos) << answer.m_text;
    EXPECT_EQ(answer.m_text.find("X-Grade"), std::string::npos)
        << answer.m_text;
  }
};

// Guards against a response with status 000, which reaches the caller as a
// response of the instance.
TEST_F(DiscoveryResponse, StatusZeroIsNotPassedOn) {
  ExpectNotPassedOn(
      "HTTP/1.1 000 OK\r\nAttempt-Id: 77\r\nContent-Length: 4\r\n\r\nfuel");
}

// Guards against a status above those of HTTP that is passed on, or taken for a
// statement that the request has not run.
TEST_F(DiscoveryResponse, StatusAboveTheLastClassIsNotPassedOn) {
  ExpectNotPassedOn(
      "HTTP/1.1 600 OK\r\nAttempt-Id: 77\r\nNot-Executed: 1\r\n"
      "Content-Length: 4\r\n\r\nfuel");
}

// Guards against a field line that is passed on with a blank in its name.
TEST_F(DiscoveryResponse, BlankInAFieldNameIsNotPassedOn) {
  ExpectNotPassedOn(
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nX-Grade two: a\r\n"
      "Content-Length: 4\r\n\r\nfuel");
}

// Guards against a field line that is passed on with a control byte in its
// name.
TEST_F(DiscoveryResponse, ControlByteInAFieldNameIsNotPassedOn) {
  ExpectNotPassedOn(
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nX-Grade\x01: a\r\n"
      "Content-Length: 4\r\n\r\nfuel");
}

// Guards against the framing of a body that is passed on as the body, because
// the name of the field that states it begins with a blank.
TEST_F(DiscoveryResponse, BlankBeforeAFieldNameIsNotPassedOn) {
  ExpectNotPassedOn(
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nX-Grade: a\r\n"
      " Transfer-Encoding: chunked\r\n\r\n4\r\nfuel\r\n0\r\n\r\n");
}

// Guards against a body that is passed on with a transfer coding whose name the
// caller does not get.
TEST_F(DiscoveryResponse, UnknownTransferCodingIsNotPassedOn) {
  ExpectNotPassedOn(
      "HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\n"
      "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nfuel\r\n0\r\n\r\n");
}

}  // namespace
}  // namespace jujube::process
