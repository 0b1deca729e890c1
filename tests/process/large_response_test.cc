// Tests with a real entry daemon, large responses, and callers that read them
// slowly or not at all.

#include <chrono>
#include <fstream>
#include <future>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "process/raw_socket.h"
#include "process/raw_upstream_fixture.h"

namespace jujube::testing {
namespace {

using std::chrono::seconds;

constexpr std::size_t kResponses = 300;
constexpr std::size_t kResponseBytes = 1U << 20U;
constexpr char kSmallResponse[] =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfuel";

std::string MakeLargeResponse() {
  return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
         std::to_string(kResponseBytes) + "\r\n\r\n" +
         std::string(kResponseBytes, 'x');
}

// Highest resident memory of a process so far, in KiB.
std::size_t PeakMemoryKib(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (status >> word) {
    std::size_t kib = 0;
    if (word == "VmHWM:" && status >> kib)
      return kib;
  }
  return 0;
}

class LargeResponse : public RawUpstreamTest {
 protected:
  LargeResponse()
      : RawUpstreamTest({.m_entries = 1, .m_region_cap = 1000},
                        static_cast<int>(kResponses),
                        1000) {}
};

// Guards against a caller that stops reading and keeps its instance, its slot
// and its connections occupied long after the deadline of the request.
TEST_F(LargeResponse, CallerThatStopsReadingIsLeftAtTheDeadline) {
  auto instance = std::async(std::launch::async, [this] {
    const RawSocket connection = AcceptRequest();
    connection.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    while (connection.Send(chunk)) {
    }
  });
  const auto start = std::chrono::steady_clock::now();
  m_caller.Send(
      "GET /s/log/x HTTP/1.1\r\nHost: x\r\nJujube-Deadline-Ms: 500\r\n\r\n");
  instance.get();
  // The deadline, the shortest write timeout, and a margin for a busy machine.
  EXPECT_LT(std::chrono::steady_clock::now() - start, seconds(10));
}

// Guards against memory that grows with the size of responses whose callers
// read slowly, and against other callers that wait for them.
TEST_F(LargeResponse, SlowCallersTakeLittleMemoryAndHoldUpNobody) {
  std::vector<RawSocket> connections;
  connections.reserve(kResponses);
  auto instance = std::async(std::launch::async, [&] {
    std::vector<std::thread> senders;
    for (std::size_t i = 0; i < kResponses; ++i) {
      connections.push_back(AcceptRequest());
      senders.emplace_back([connection = &connections[i]] {
        connection->Send(MakeLargeResponse());
      });
    }
    AcceptRequest().Send(kSmallResponse);
    return senders;
  });
  m_system.WaitUntilServing(kResponses + 1);
  const std::size_t memory_before = PeakMemoryKib(m_system.Entry(0).Id());
  std::vector<RawSocket> callers;
  for (std::size_t i = 0; i < kResponses; ++i) {
    callers.push_back(ConnectCaller());
    callers.back().Send(
        "GET /s/log/large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Jujube-Deadline-Ms: 600000\r\n\r\n");
  }
  // Sent last, so it reaches the instance after the others.
  for (const RawSocket& caller : callers)
    EXPECT_TRUE(caller.ReadUntil("HTTP/1.1 200"));
  SendGet("/small");
  EXPECT_TRUE(m_caller.ReadUntil("fuel"));
  std::vector<std::thread> senders = instance.get();
  const std::size_t memory =
      PeakMemoryKib(m_system.Entry(0).Id()) - memory_before;
  // Twice the buffer of 64 KiB, two chunks of 16 KiB, and the coroutines.
  constexpr std::size_t kMaxKibPerResponse = 192;
  EXPECT_LT(memory, kResponses * kMaxKibPerResponse);
  std::cout << "KiB per response: " << memory / kResponses << "\n";
  // The first bytes were read together with the head.
  constexpr std::size_t kMaxReadWithHead = 8192;
  for (const RawSocket& caller : callers)
    EXPECT_GE(caller.DiscardToEnd() + kMaxReadWithHead, kResponseBytes);
  for (std::thread& sender : senders)
    sender.join();
}

// Guards against a response that breaks off halfway and reaches the caller as
// complete: with a length, in chunks, and one that ends with a reset.
TEST_F(LargeResponse, ResponseThatBreaksOffIsNeverComplete) {
  const std::string part(kResponseBytes, 'x');
  for (const std::string head :
       {"Content-Length: 2000000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n200000\r\n"}) {
    auto instance = std::async(std::launch::async, [&] {
      const RawSocket connection = AcceptRequest();
      std::string bytes = "HTTP/1.1 200 OK\r\n";
      bytes += head;
      bytes += part;
      connection.Send(bytes);
    });
    const RawSocket caller = ConnectCaller();
    SendGet(caller, "/broken");
    const std::string answer = caller.ReadToEnd();
    instance.get();
    // Whatever framing the caller sees, it must tell that bytes are missing.
    const bool is_chunked =
        answer.find("Transfer-Encoding: chunked") != std::string::npos;
    if (is_chunked)
      EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << head;
    else if (answer.find("200 OK") != std::string::npos)
      EXPECT_NE(answer.find("Content-Length: 2000000"), std::string::npos);
  }
}

}  // namespace
}  // namespace jujube::testing
