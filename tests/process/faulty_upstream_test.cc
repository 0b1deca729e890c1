// Tests with a real entry daemon and an upstream that breaks the protocol:
// refusals written twice, and heads and bodies without end.

#include <future>
#include <string>

#include <gtest/gtest.h>

#include "process/raw_socket.h"
#include "process/raw_upstream_fixture.h"

namespace jujube::testing {
namespace {

constexpr char kRefusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nJujube-Started: no\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfuel";

// More than an entry host keeps of a response, and little enough for a test
// whose entry host keeps all of it.
constexpr std::size_t kEndlessBytes = 4U << 20U;

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string repeated;
  while (repeated.size() < bytes)
    repeated += text;
  return repeated;
}

class FaultyUpstream : public RawUpstreamTest {};

// Guards against "not-run" for a request that runs: the instance writes the
// refusal of an earlier request once more on the connection of this one.
TEST_F(FaultyUpstream, RefusalWrittenTwiceAnswersOnlyItsRequest) {
  auto instance = std::async(std::launch::async, [this] {
    const RawSocket first = AcceptRequest();
    first.Send(kRefusal);
    // The next request on this connection starts to run.
    if (first.ReadUntil(kEndOfHead))
      first.Send(kRefusal);
    else
      AcceptRequest().Send(kResponse);
  });
  SendGet("/first");
  ASSERT_TRUE(m_caller.ReadUntil("Jujube-Verdict: not-run"));
  SendGet("/second");
  // Of a kept connection, the first response has been read up to its verdict.
  EXPECT_TRUE(m_caller.ReadUntil("HTTP/1.1 200"));
  instance.get();
}

// Guards against an entry host that keeps all bytes of a refusal whose body
// does not end, until its memory is used up.
TEST_F(FaultyUpstream, RefusalWithAnEndlessBodyIsAnsweredAtOnce) {
  auto instance = std::async(std::launch::async, [this] {
    const RawSocket connection = AcceptRequest();
    connection.Send(
        "HTTP/1.1 503 Service Unavailable\r\nJujube-Started: no\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        Repeat("4\r\nfull\r\n", kEndlessBytes));
    connection.ReadToEnd();
  });
  SendGet("/x");
  EXPECT_TRUE(m_caller.ReadUntil("Jujube-Verdict: not-run"));
  instance.get();
}

// Guards against a refusal that the caller gets only at its deadline, because
// the announced body of the refusal never arrives.
TEST_F(FaultyUpstream, RefusalWithoutItsBodyIsAnsweredAtOnce) {
  auto instance = std::async(std::launch::async, [this] {
    const RawSocket connection = AcceptRequest();
    connection.Send(
        "HTTP/1.1 503 Service Unavailable\r\nJujube-Started: no\r\n"
        "Content-Length: 10\r\n\r\n");
    connection.ReadToEnd();
  });
  SendGet("/x");
  EXPECT_TRUE(m_caller.ReadUntil("Jujube-Verdict: not-run"));
  instance.get();
}

// Guards against a response head without end that is read until the deadline.
TEST_F(FaultyUpstream, EndlessHeadIsCutOff) {
  auto instance = std::async(std::launch::async, [this] {
    const RawSocket connection = AcceptRequest();
    connection.Send("HTTP/1.1 200 OK\r\n" +
                    Repeat("X-Fill: oil\r\n", kEndlessBytes));
    connection.ReadToEnd();
  });
  SendGet("/x");
  EXPECT_TRUE(m_caller.ReadUntil("Jujube-Verdict: may-have-run"));
  instance.get();
}

// Guards against informational responses without end, which are read until the
// deadline.
TEST_F(FaultyUpstream, EndlessInformationalResponsesAreCutOff) {
  auto instance = std::async(std::launch::async, [this] {
    const RawSocket connection = AcceptRequest();
    connection.Send(Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", kEndlessBytes));
    connection.ReadToEnd();
  });
  SendGet("/x");
  EXPECT_TRUE(m_caller.ReadUntil("Jujube-Verdict: may-have-run"));
  instance.get();
}

// Guards against the framing of a body without end, which is no data that could
// be passed on, and would be kept until the deadline.
TEST_F(FaultyUpstream, EndlessFramingOfABodyIsCutOff) {
  for (const std::string begin :
       {"4;extension=", "4\r\nfuel\r\n0\r\nTrailer: "}) {
    auto instance = std::async(std::launch::async, [&] {
      const RawSocket connection = AcceptRequest();
      connection.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      begin + std::string(kEndlessBytes, 'x'));
      connection.ReadToEnd();
    });
    const RawSocket caller = ConnectCaller();
    SendGet(caller, "/x");
    EXPECT_TRUE(caller.ReadUntil("Jujube-Verdict: may-have-run")) << begin;
    instance.get();
  }
}

// Guards against a response without end that is forwarded beyond the deadline,
// because bytes are available whenever the entry host reads.
TEST_F(FaultyUpstream, EndlessBodyEndsAtTheDeadline) {
  auto instance = std::async(std::launch::async, [this] {
    const RawSocket connection = AcceptRequest();
    connection.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunks = Repeat("4\r\nfuel\r\n", kEndlessBytes);
    while (connection.Send(chunks)) {
    }
  });
  m_caller.Send(
      "GET /s/log/x HTTP/1.1\r\nHost: x\r\nJujube-Deadline-Ms: 500\r\n\r\n");
  EXPECT_GT(m_caller.DiscardToEnd(), 0U);
  instance.get();
}

}  // namespace
}  // namespace jujube::testing
