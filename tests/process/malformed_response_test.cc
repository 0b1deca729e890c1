// Tests with a real entry daemon and an upstream whose response is malformed.

#include <future>
#include <string>

#include <gtest/gtest.h>

#include "process/process_harness.h"
#include "process/raw_socket.h"
#include "process/raw_upstream_fixture.h"

namespace jujube::testing {
namespace {

constexpr std::size_t kMaxPrintedBytes = 1000;

class MalformedResponse : public RawUpstreamTest {
 protected:
  // Answers a request with the given bytes and expects that the caller gets
  // nothing of them.
  void ExpectNotPassedOn(const std::string& response) {
    auto instance = std::async(std::launch::async, [&] {
      AcceptRequest().Send(response);  // and closes the connection
    });
    std::string received;
    // The entry daemon may know the instance before it accepts callers.
    process::WaitUntil("the caller gets a response", [&] {
      const RawSocket caller = ConnectCaller();
      caller.Send(
          "GET /s/log/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
          "Jujube-Deadline-Ms: 600000\r\n\r\n");
      received = caller.ReadToEnd().substr(0, kMaxPrintedBytes);
      return !received.empty();
    });
    instance.get();
    // 502, or 503 if a retry found no other instance.
    EXPECT_TRUE(received.starts_with("HTTP/1.1 50")) << received;
    EXPECT_NE(received.find("Jujube-Verdict: may-have-run"), std::string::npos)
        << received;
    EXPECT_EQ(received.find("fuel"), std::string::npos) << received;
    EXPECT_EQ(received.find("X-Grade"), std::string::npos) << received;
  }
};

// Guards against a response with status 000, which reaches the caller as a
// response of the instance.
TEST_F(MalformedResponse, StatusZero) {
  ExpectNotPassedOn("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nfuel");
}

// Guards against a status above those of HTTP that is passed on.
TEST_F(MalformedResponse, StatusAboveTheLastClass) {
  ExpectNotPassedOn("HTTP/1.1 600 OK\r\nContent-Length: 4\r\n\r\nfuel");
}

// Guards against a status 000 that is taken for an informational response and
// skipped, so that the bytes behind it answer the request.
TEST_F(MalformedResponse, StatusZeroBeforeAResponse) {
  ExpectNotPassedOn(
      "HTTP/1.1 000 OK\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfuel");
}

// Guards against a large response, which is passed on while it arrives, with an
// invalid status.
TEST_F(MalformedResponse, StatusZeroOfALargeResponse) {
  const std::string body(std::size_t{1} << 20U, 'x');
  ExpectNotPassedOn("HTTP/1.1 000 OK\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
}

// Guards against a field line that is passed on with a blank in its name.
TEST_F(MalformedResponse, BlankInAFieldName) {
  ExpectNotPassedOn(
      "HTTP/1.1 200 OK\r\nX-Grade two: a\r\nContent-Length: 4\r\n\r\nfuel");
}

// Guards against a length that is ignored because of the blank before its
// colon, so that the connection and not the length ends the body.
TEST_F(MalformedResponse, BlankBehindAFieldName) {
  ExpectNotPassedOn("HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfuel");
}

// Guards against a field line that is passed on with a control byte in its
// name.
TEST_F(MalformedResponse, ControlByteInAFieldName) {
  ExpectNotPassedOn(
      "HTTP/1.1 200 OK\r\nX-Grade\x01: a\r\nContent-Length: 4\r\n\r\nfuel");
}

// Guards against a field line that is joined to the one above it, and passed on
// as a part of its value, because its name begins with a blank.
TEST_F(MalformedResponse, BlankBeforeAFieldName) {
  ExpectNotPassedOn(
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Id: 7\r\n X-Grade: a\r\n\r\n"
      "fuel");
}

// Guards against a body that is passed on with a transfer coding whose name the
// caller does not get.
TEST_F(MalformedResponse, UnknownTransferCoding) {
  ExpectNotPassedOn(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
      "4\r\nfuel\r\n0\r\n\r\n");
}

}  // namespace
}  // namespace jujube::testing
