// Tests with real processes: the path of a request, claims, the verdicts of
// refused requests, and complete responses.

#include <algorithm>
#include <csignal>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "core/hash.h"
#include "core/json_document.h"
#include "gen/load_json.h"
#include "process/process_harness.h"
#include "process/raw_socket.h"
#include "process/request_announcer.h"
#include "process/request_fixture.h"

// Sections: path, claims, control hosts, refusals, complete responses.

namespace jujube::testing {
namespace {

using std::chrono::milliseconds;

EchoedRequest EchoOf(const Answer& answer) {
  const auto echo = ParseDocument<EchoedRequest>(answer.m_body, "response");
  return echo ? echo.value() : EchoedRequest();
}

std::unique_ptr<RequestSystem> StartSystem(const SystemOptions& options = {}) {
  auto system = std::make_unique<RequestSystem>(options);
  system->StartUpstream("u1");
  system->WaitUntilServing();
  return system;
}

// A listener that never accepts and whose backlog is full: new connections to
// it neither succeed nor fail.
class FullListener {
 public:
  explicit FullListener(const Endpoint& endpoint)
      : m_listener(RawSocket::Listen(endpoint, 0)) {
    constexpr int kConnections = 4;  // more than the backlog takes
    for (int i = 0; i < kConnections; ++i)
      m_connections.push_back(RawSocket::StartConnect(endpoint));
  }

 private:
  RawSocket m_listener;
  std::vector<RawSocket> m_connections;
};

// ---- Path ------------------------------------------------------------------

// Guards against a request that is changed on its way from the look-up through
// an entry host to an upstream, and against look-ups that differ between hosts.
TEST(RequestPath, LookupRequestResponse) {
  const auto system = StartSystem();
  const LookupAnswer lookup = system->Lookup(1);
  EXPECT_EQ(lookup.m_hosts.size(), 2U);
  EXPECT_EQ(lookup.m_hosts, system->Lookup(0).m_hosts);
  const Answer answer = system->Send(0, {.m_target = "/s/log/tank/7?x=1"});
  EXPECT_EQ(answer.m_status, 200);
  EXPECT_EQ(answer.m_verdict, "ran");
  EXPECT_EQ(EchoOf(answer).m_target, "/tank/7?x=1");
  const Answer posted =
      system->Post(1, "/fuel", system->NewIdempotencyKey(), "abc");
  EXPECT_EQ(posted.m_status, 200);
  EXPECT_EQ(EchoOf(posted).m_body_sha256, Hex(Sha256("abc")));
  EXPECT_EQ(system->RunCount("/fuel"), 1U);
}

// Guards against a request that waits until its deadline for a connection to an
// unreachable instance, or that spends all its retries on that instance.
TEST(RequestPath, UnreachableInstanceIsReplaced) {
  const auto system = StartSystem();
  const Endpoint stuck = process::ReserveEndpoint();
  const FullListener listener(stuck);
  RequestAnnouncer announcer(*system, 1,
                             system->AnnouncementOf("stuck", stuck));
  system->WaitUntilServing(13);
  // More concurrent requests than the other instance has slots.
  constexpr int kRequests = 14;
  std::vector<std::future<Answer>> answers;
  answers.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    answers.push_back(std::async(std::launch::async, [&] {
      return system->Send(0, {.m_target = "/s/log/x?delay_ms=100"});
    }));
  }
  for (std::future<Answer>& answer : answers)
    EXPECT_NE(answer.get().m_status, 504);
}

// ---- Claims ----------------------------------------------------------------

// Guards against a second run when a caller resends a request to any entry
// host, and against the reuse of a key for a different request.
TEST(RequestClaims, ResendGetsStoredResponse) {
  const auto system = StartSystem();
  const std::string key = system->NewIdempotencyKey();
  const Answer first = system->Post(0, "/fuel", key);
  ASSERT_EQ(first.m_status, 200);
  EXPECT_FALSE(first.m_is_replayed);
  for (std::size_t entry = 0; entry < system->EntryCount(); ++entry) {
    const Answer again = system->PostUntilClaimSettled(entry, "/fuel", key);
    EXPECT_EQ(again.m_status, 200);
    EXPECT_TRUE(again.m_is_replayed);
    EXPECT_EQ(again.m_verdict, "ran");
    EXPECT_EQ(again.m_body, first.m_body);
    const Answer other = system->Post(entry, "/fuel", key, "litres=41");
    EXPECT_EQ(other.m_status, 422);
    EXPECT_EQ(system->Post(entry, "/other", key).m_status, 422);
  }
  EXPECT_EQ(system->RunCount("/"), 1U);
}

// Guards against the run of a request whose key cannot be stored as a claim.
TEST(RequestClaims, UnusableKeysDoNotRun) {
  const auto system = StartSystem();
  for (const std::string& key :
       {std::string(), std::string("abc"), std::string("17-x"),
        std::string("-12345678"), std::string(300, '1')}) {
    const Answer answer = system->Post(0, "/fuel", key);
    EXPECT_EQ(answer.m_status, 400) << key;
    EXPECT_EQ(answer.m_verdict, "not-run") << key;
  }
  const Answer old = system->Post(
      0, "/fuel", system->NewIdempotencyKey(std::chrono::hours(25)));
  EXPECT_EQ(old.m_status, 409);
  EXPECT_EQ(old.m_verdict, "may-have-run");
  const Answer early = system->Post(
      0, "/fuel", system->NewIdempotencyKey(-std::chrono::hours(1)));
  EXPECT_EQ(early.m_status, 400);
  EXPECT_EQ(early.m_verdict, "not-run");
  EXPECT_EQ(system->RunCount("/"), 0U);
}

// Guards against two runs when a caller sends the same key to all entry hosts
// concurrently.
TEST(RequestClaims, ConcurrentSendsRunOnce) {
  const auto system = StartSystem({.m_entries = 3});
  constexpr int kRounds = 10;
  constexpr std::size_t kSenders = 12;
  for (int round = 0; round < kRounds; ++round) {
    const std::string key = system->NewIdempotencyKey();
    const std::string path = "/round-" + std::to_string(round) + "-";
    std::vector<std::future<Answer>> answers;
    for (std::size_t i = 0; i < kSenders; ++i) {
      answers.push_back(std::async(std::launch::async, [&, i] {
        return system->Post(i % system->EntryCount(), path, key);
      }));
    }
    for (std::future<Answer>& pending : answers) {
      const Answer answer = pending.get();
      EXPECT_TRUE(answer.m_status == 200 || answer.m_verdict != "ran");
      EXPECT_NE(answer.m_status, 0);
    }
    const Answer last = system->PostUntilClaimSettled(0, path, key);
    EXPECT_EQ(last.m_status, 200);
    EXPECT_EQ(system->RunCount(path), 1U);
  }
}

// Guards against a second run after the entry host with the claim was killed.
// The other hosts cannot tell whether it had sent the request to an upstream.
TEST(RequestClaims, EntryKilledBeforeDispatch) {
  // The entry host has to be killed while it waits for the connection.
  RequestSystem system({.m_connect_timeout = std::chrono::minutes(10)});
  const Endpoint stuck = process::ReserveEndpoint();
  const FullListener listener(stuck);
  RequestAnnouncer announcer(system, 1, system.AnnouncementOf("stuck", stuck));
  system.WaitUntilServing();
  const std::string key = system.NewIdempotencyKey();
  auto first = std::async(std::launch::async,
                          [&] { return system.Post(0, "/fuel", key); });
  RequestSystem::WaitUntil([&] {
    const auto status = system.StatusOf(0);
    return status && status->m_services[0].m_slots_in_use > 0;
  });
  const Answer meanwhile = system.Post(1, "/fuel", key);
  EXPECT_EQ(meanwhile.m_status, 409);
  EXPECT_EQ(meanwhile.m_verdict, "may-have-run");
  system.Entry(0).Kill();
  EXPECT_EQ(first.get().m_status, 0);
  system.StartUpstream("u1");
  const Answer again = system.PostUntilClaimSettled(1, "/fuel", key);
  EXPECT_EQ(again.m_status, 409);
  EXPECT_EQ(again.m_verdict, "may-have-run");
  EXPECT_EQ(system.RunCount("/fuel"), 0U);
}

// Guards against a second run after the entry host was killed while an upstream
// ran the request.
TEST(RequestClaims, EntryKilledDuringDispatch) {
  const auto system = StartSystem();
  const std::string key = system->NewIdempotencyKey();
  const std::string path = "/fuel?delay_ms=3000";
  auto first = std::async(std::launch::async,
                          [&] { return system->Post(0, path, key); });
  RequestSystem::WaitUntil([&] { return system->RunCount("/fuel") == 1; });
  system->Entry(0).Kill();
  EXPECT_EQ(first.get().m_status, 0);
  const Answer again = system->PostUntilClaimSettled(1, path, key);
  EXPECT_EQ(again.m_status, 409);
  EXPECT_EQ(again.m_verdict, "may-have-run");
  EXPECT_EQ(system->Post(1, path, key).m_verdict, "may-have-run");
  EXPECT_EQ(system->RunCount("/fuel"), 1U);
}

// Guards against a second run when the outcome of the first one may not be
// recorded yet.
TEST(RequestClaims, EntryKilledAfterDispatch) {
  const auto system = StartSystem();
  for (int round = 0; round < 5; ++round) {
    const std::string key = system->NewIdempotencyKey();
    const std::string path = "/fuel-" + std::to_string(round) + "-";
    const std::size_t entry = 0;
    const Answer first = system->Post(entry, path, key);
    ASSERT_EQ(first.m_status, 200);
    // In the last round the host is killed when the outcome may not be recorded
    // yet; the other rounds resend the request immediately.
    if (round == 4)
      system->Entry(entry).Kill();
    const Answer again = system->PostUntilClaimSettled(1, path, key);
    EXPECT_TRUE(again.m_is_replayed || again.m_verdict == "may-have-run");
    EXPECT_EQ(system->RunCount(path), 1U);
  }
}

// ---- Control hosts ---------------------------------------------------------

// Guards against a lost outcome when the leader is killed after it granted the
// claim.
TEST(RequestControl, LeaderKilledBetweenClaimAndFinish) {
  const auto system = StartSystem({.m_controls = 3});
  const std::string key = system->NewIdempotencyKey();
  const std::string path = "/fuel?delay_ms=1000";
  auto first = std::async(std::launch::async,
                          [&] { return system->Post(0, path, key); });
  RequestSystem::WaitUntil([&] { return system->RunCount("/fuel") == 1; });
  system->Control(system->LeaderIndex()).Kill();
  EXPECT_EQ(first.get().m_status, 200);
  const Answer again = system->PostUntilClaimSettled(1, path, key);
  EXPECT_EQ(again.m_status, 200);
  EXPECT_TRUE(again.m_is_replayed);
  EXPECT_EQ(system->RunCount("/fuel"), 1U);
}

// Guards against three faults while no control host runs: a run without a
// claim, a "not-run" verdict that may be false, and an entry host that stops
// serving or uses more than its safe share.
TEST(RequestControl, AllControlHostsStopped) {
  RequestSystem system;
  const std::set<std::string> names{"u1", "u2", "u3", "u4"};
  for (const std::string& name : names)
    system.StartUpstream(name);
  system.WaitUntilServing(4);
  system.Control(0).Kill();
  const std::vector<Header> short_deadline{{"Jujube-Deadline-Ms", "500"}};
  const Answer unknown =
      system.Post(0, "/fuel", system.NewIdempotencyKey(), "x", short_deadline);
  EXPECT_EQ(unknown.m_status, 503);
  EXPECT_EQ(unknown.m_verdict, "may-have-run");
  std::vector<Header> first_attempt = short_deadline;
  first_attempt.push_back({"Jujube-Earlier-Attempts", "not-run"});
  const Answer known =
      system.Post(0, "/fuel", system.NewIdempotencyKey(), "x", first_attempt);
  EXPECT_EQ(known.m_status, 503);
  EXPECT_EQ(known.m_verdict, "not-run");
  EXPECT_EQ(system.RunCount("/fuel"), 0U);
  std::uint32_t total_usable_slots = 0;
  for (std::size_t i = 0; i < system.EntryCount(); ++i) {
    RequestSystem::WaitUntil([&] {
      const auto status = system.StatusOf(i);
      return status && status->m_lease_left == milliseconds(0) &&
             !status->m_feed_connected;
    });
    const std::uint32_t usable_slots =
        system.StatusOf(i)->m_services[0].m_usable_slots;
    total_usable_slots += usable_slots;
    const Answer read = system.Send(i, {.m_target = "/s/log/read"});
    EXPECT_EQ(read.m_status, usable_slots > 0 ? 200 : 503);
  }
  // The safe share is one slot of each instance.
  EXPECT_EQ(total_usable_slots, names.size());
}

// ---- Refusals --------------------------------------------------------------

// Guards against the verdict "may-have-run" for a request that was not sent,
// and "not-run" for one that was.
TEST(RequestRefusals, ConnectRefused) {
  RequestSystem system;
  const Endpoint closed = process::ReserveEndpoint();
  RequestAnnouncer announcer(system, 0, system.AnnouncementOf("u0", closed));
  system.WaitUntilServing();
  const std::string key = system.NewIdempotencyKey();
  const Answer answer = system.Post(0, "/fuel", key);
  EXPECT_EQ(answer.m_status, 503);
  EXPECT_EQ(answer.m_verdict, "not-run");
  // The claim was released, so the same request may run later.
  announcer.Stop();
  system.StartUpstream("u1");
  RequestSystem::WaitUntil(
      [&] { return system.Post(1, "/fuel", key).m_status == 200; });
  EXPECT_EQ(system.RunCount("/fuel"), 1U);
}

// Guards against the verdict "may-have-run" for a request that the upstream
// refused, and against a claim that stays held after the refusal.
TEST(RequestRefusals, ShedByUpstream) {
  RequestSystem system;
  system.StartUpstream("small", {.m_slots = 1, .m_announces = false});
  RequestAnnouncer announcer(
      system, 0,
      system.AnnouncementOf("small", system.UpstreamEndpoint("small")));
  system.WaitUntilServing();
  auto holder = std::async(std::launch::async, [&] {
    return net::HttpCallBlocking(system.UpstreamEndpoint("small"),
                                 {.m_target = "/hold?delay_ms=2000"},
                                 MonoClock::now() + std::chrono::minutes(1));
  });
  RequestSystem::WaitUntil([&] { return system.RunCount("/hold") == 1; });
  const std::string key = system.NewIdempotencyKey();
  const Answer answer = system.Post(0, "/fuel", key);
  EXPECT_EQ(answer.m_status, 503);
  EXPECT_EQ(answer.m_verdict, "not-run");
  EXPECT_EQ(system.RunCount("/fuel"), 0U);
  EXPECT_TRUE(holder.get().has_value());
  RequestSystem::WaitUntil(
      [&] { return system.Post(1, "/fuel", key).m_status == 200; });
  EXPECT_EQ(system.RunCount("/fuel"), 1U);
}

// Guards against the verdict "not-run" for a request that an earlier attempt at
// another entry host may have run.
TEST(RequestRefusals, NoSlotsAndNoService) {
  const auto system = StartSystem();
  system->Upstream("u1").Kill();
  RequestSystem::WaitUntil([&] {
    const auto status = system->StatusOf(0);
    return status && (status->m_services.empty() ||
                      status->m_services[0].m_usable_slots == 0);
  });
  const std::vector<Header> first{{"Jujube-Earlier-Attempts", "not-run"}};
  const std::string key = system->NewIdempotencyKey();
  EXPECT_EQ(system->Post(0, "/fuel", key, "x", first).m_verdict, "not-run");
  // Without the header, an earlier attempt at another host may have run.
  EXPECT_EQ(system->Post(0, "/fuel", key).m_verdict, "may-have-run");
  EXPECT_EQ(system->Send(0, {.m_target = "/s/log/x"}).m_verdict, "not-run");
  // The entry host has no such service, but another host may have run the
  // request.
  const net::HttpRequest unknown{.m_method = "POST",
                                 .m_target = "/s/unknown/x",
                                 .m_headers = {{"Idempotency-Key", key}}};
  const Answer answer = system->Send(0, unknown);
  EXPECT_EQ(answer.m_status, 404);
  EXPECT_EQ(answer.m_verdict, "may-have-run");
  EXPECT_EQ(system->RunCount("/"), 0U);
}

// ---- Complete responses ----------------------------------------------------

// Guards against a truncated response that the caller takes for complete.
TEST(RequestResponses, CutResponses) {
  const auto system = StartSystem();
  const Answer small =
      system->Post(0, "/small?cut_after=10", system->NewIdempotencyKey());
  EXPECT_EQ(small.m_status, 502);
  EXPECT_EQ(small.m_verdict, "may-have-run");
  EXPECT_EQ(system->RunCount("/small"), 1U);
  const std::string key = system->NewIdempotencyKey();
  const Answer none = system->Post(0, "/none?no_response=1", key);
  EXPECT_EQ(none.m_status, 502);
  EXPECT_EQ(none.m_verdict, "may-have-run");
  const Answer again =
      system->PostUntilClaimSettled(1, "/none?no_response=1", key);
  EXPECT_EQ(again.m_verdict, "may-have-run");
  EXPECT_EQ(system->RunCount("/none"), 1U);
  // A large response is streamed. If it is truncated, the entry host closes the
  // connection before the end of the body.
  const Answer large = system->Send(
      0, {.m_target = "/s/log/large?body_bytes=300000&cut_after=200000"});
  EXPECT_EQ(large.m_status, 0);
  const Answer complete =
      system->Send(0, {.m_target = "/s/log/whole?body_bytes=300000"});
  EXPECT_EQ(complete.m_status, 200);
  EXPECT_EQ(complete.m_body.size(), 300000U);
}

// Guards against a response that reaches the caller of another request.
TEST(RequestResponses, LateResponsesBelongToTheirRequest) {
  RequestSystem system;
  for (const std::string name : {"u1", "u2"})
    system.StartUpstream(name, {.m_slots = 24});
  system.WaitUntilServing(8);
  constexpr int kSenders = 8;
  constexpr int kRequests = 40;
  std::vector<std::future<int>> error_counts;
  error_counts.reserve(kSenders);
  for (int sender = 0; sender < kSenders; ++sender) {
    error_counts.push_back(std::async(std::launch::async, [&, sender] {
      int count = 0;
      for (int i = 0; i < kRequests; ++i) {
        const bool is_late = i % 4 == 0;
        const std::string target = "/t-" + std::to_string(sender) + "-" +
                                   std::to_string(i) +
                                   (is_late ? "?delay_ms=300" : "");
        net::HttpRequest request{.m_target = "/s/log" + target};
        if (is_late)
          request.m_headers = {{"Jujube-Deadline-Ms", "100"}};
        const Answer answer = system.Send(0, request);
        const bool is_right = answer.m_status == 200
                                  ? EchoOf(answer).m_target == target
                                  : answer.m_verdict != "ran";
        count += is_right && answer.m_status != 0 ? 0 : 1;
        if (is_late && answer.m_status == 200)
          ++count;
      }
      return count;
    }));
  }
  for (std::future<int>& count : error_counts)
    EXPECT_EQ(count.get(), 0);
  EXPECT_GT(system.RunCount("delay_ms"), 0U);
}

// Guards against an upstream request that continues after its caller has
// disconnected.
TEST(RequestResponses, CallerGoesAway) {
  RequestSystem system;
  const Endpoint endpoint = process::ReserveEndpoint();
  const RawSocket listener = RawSocket::Listen(endpoint, 16);
  RequestAnnouncer announcer(system, 0, system.AnnouncementOf("u0", endpoint));
  system.WaitUntilServing();
  RawSocket caller = RawSocket::Connect(system.SettingsOfEntry(0).m_caller);
  // The deadline is long, since its expiry closes the upstream connection as
  // well.
  caller.Send(
      "GET /s/log/gone HTTP/1.1\r\nHost: x\r\n"
      "Jujube-Deadline-Ms: 600000\r\n\r\n");
  const RawSocket upstream = listener.Accept();
  ASSERT_TRUE(upstream.ReadUntil("\r\n\r\n"));
  caller.Close();
  EXPECT_EQ(upstream.ReadToEnd(), "");
}

}  // namespace
}  // namespace jujube::testing
