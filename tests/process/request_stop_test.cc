// Tests with real processes: requests while upstreams and entry hosts leave,
// are killed, freeze or receive invalid input.

#include <algorithm>
#include <atomic>
#include <csignal>
#include <future>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "core/json_document.h"
#include "gen/deployment_json.h"
#include "gen/load_json.h"
#include "process/raw_socket.h"
#include "process/request_announcer.h"
#include "process/request_fixture.h"

// Sections: leaving upstreams, planned stops, frozen hosts, invalid input.

namespace jujube::testing {
namespace {

using std::chrono::milliseconds;

// Sends GET requests to all entry hosts until Stop().
class LoadGenerator {
 public:
  LoadGenerator(const RequestSystem& system, int senders) {
    for (int i = 0; i < senders; ++i) {
      m_senders.push_back(std::async(std::launch::async, [this, &system, i] {
        for (std::size_t n = 0; !m_is_stopped; ++n) {
          const std::size_t entry =
              (static_cast<std::size_t>(i) + n) % system.EntryCount();
          const Answer answer =
              system.Send(entry, {.m_target = "/s/log/load?delay_ms=20"});
          ++(answer.m_status == 200 ? m_ok_count : m_failed_count);
        }
      }));
    }
  }
  ~LoadGenerator() { Stop(); }
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void WaitForResponses(int additional) const {
    const int target = m_ok_count + m_failed_count + additional;
    RequestSystem::WaitUntil(
        [&] { return m_ok_count + m_failed_count >= target; });
  }
  void Stop() {
    m_is_stopped = true;
    for (std::future<void>& sender : m_senders)
      sender.wait();
  }
  int FailedCount() const { return m_failed_count; }

 private:
  std::atomic<bool> m_is_stopped = false;
  std::atomic<int> m_ok_count = 0;
  std::atomic<int> m_failed_count = 0;
  std::vector<std::future<void>> m_senders;
};

// Sends probe requests to all entry hosts. Returns true if the instance ran
// one.
bool IsSelected(const RequestSystem& system,
                const std::string& instance,
                int requests) {
  const auto count = [&] {
    const std::vector<std::string> lines = system.RunLines("/probe");
    return std::count_if(
        lines.begin(), lines.end(),
        [&](const std::string& line) { return line.ends_with(instance); });
  };
  const auto before = count();
  // Concurrent, since sequential requests to an idle service go to its
  // preferred instance.
  std::vector<std::future<Answer>> probes;
  for (int i = 0; i < requests; ++i) {
    const std::size_t entry = static_cast<std::size_t>(i) % system.EntryCount();
    probes.push_back(std::async(std::launch::async, [&system, entry] {
      return system.Send(entry, {.m_target = "/s/log/probe?delay_ms=100"});
    }));
  }
  for (std::future<Answer>& probe : probes)
    probe.wait();
  return count() != before;
}

// ---- Leaving upstreams -----------------------------------------------------

// Guards against requests that fail during a planned stop of an upstream, among
// them new requests sent to it after it has announced its leave.
TEST(RequestLeaving, PlannedStopOfUpstreamCutsNothing) {
  RequestSystem system;
  system.StartUpstream("u1");
  system.StartUpstream("u2");
  system.WaitUntilServing(8);
  LoadGenerator load(system, 3);
  load.WaitForResponses(50);
  system.Upstream("u1").Signal(SIGTERM);
  EXPECT_EQ(system.Upstream("u1").Wait(), 0);
  load.WaitForResponses(50);
  load.Stop();
  EXPECT_EQ(load.FailedCount(), 0);
}

// Guards against an announcement that puts a leaving instance back into use,
// also on an entry host that received the leave through its peer.
TEST(RequestLeaving, AnnouncementAfterLeaveIsIgnored) {
  RequestSystem system;
  system.StartUpstream("u1");
  system.StartUpstream("u2", {.m_announces = false});
  Announcement announcement =
      system.AnnouncementOf("u2", system.UpstreamEndpoint("u2"));
  {
    const RequestAnnouncer announcer(system, 0, announcement);
    system.WaitUntilServing(8);
    RequestSystem::WaitUntil([&] { return IsSelected(system, "u2", 30); });
  }
  announcement.m_sequence += 1'000'000;
  announcement.m_state = UpstreamState::kLeaving;
  EXPECT_EQ(system.Announce(0, announcement, kPlatformKey).m_status, 204);
  RequestSystem::WaitUntil([&] { return !IsSelected(system, "u2", 40); });
  announcement.m_state = UpstreamState::kServing;
  for (const std::uint64_t step : {0U, 1U, 2U}) {
    // Neither an equal nor a newer sequence number of this incarnation counts.
    announcement.m_sequence += step;
    system.Announce(0, announcement, kPlatformKey);
    system.Announce(1, announcement, kPlatformKey);
  }
  EXPECT_FALSE(IsSelected(system, "u2", 60));
}

// Guards against requests to an instance that no longer announces itself: its
// lease has to expire on every entry host, although the instance still answers.
TEST(RequestLeaving, LeaseEndsWithoutAnnouncements) {
  RequestSystem system;
  system.StartUpstream("u1");
  system.StartUpstream("u2", {.m_announces = false});
  {
    const RequestAnnouncer announcer(
        system, 0, system.AnnouncementOf("u2", system.UpstreamEndpoint("u2")));
    system.WaitUntilServing(8);
    RequestSystem::WaitUntil([&] { return IsSelected(system, "u2", 30); });
  }
  RequestSystem::WaitUntil([&] { return !IsSelected(system, "u2", 40); });
  EXPECT_FALSE(IsSelected(system, "u2", 60));
}

// Guards against failed repeatable requests after an upstream is killed.
TEST(RequestLeaving, KilledUpstreamIsHiddenByRetries) {
  RequestSystem system;
  system.StartUpstream("u1");
  system.StartUpstream("u2");
  system.WaitUntilServing(8);
  LoadGenerator load(system, 3);
  load.WaitForResponses(50);
  system.Upstream("u1").Kill();
  load.WaitForResponses(100);
  load.Stop();
  EXPECT_EQ(load.FailedCount(), 0);
}

// Guards against an entry host that ignores the drain of an instance.
TEST(RequestLeaving, OperatorDrainsInstance) {
  RequestSystem system;
  system.StartUpstream("u1");
  system.StartUpstream("u2");
  system.WaitUntilServing(8);
  RequestSystem::WaitUntil([&] { return IsSelected(system, "u2", 30); });
  const Drain drain{.m_kind = DrainKind::kInstance, .m_name = "log/u2"};
  const net::HttpRequest request{
      .m_method = "POST",
      .m_target = "/v1/drain",
      .m_body = boost::json::serialize(ToJson(drain))};
  const Endpoint& control = system.SettingsOfControl(0).m_peers[0].m_operator;
  EXPECT_EQ(system.CallOperator(control, request).m_status, 200);
  RequestSystem::WaitUntil([&] { return !IsSelected(system, "u2", 40); });
  EXPECT_FALSE(IsSelected(system, "u2", 60));
  net::HttpRequest resume = request;
  resume.m_target = "/v1/resume";
  EXPECT_EQ(system.CallOperator(control, resume).m_status, 200);
  RequestSystem::WaitUntil([&] { return IsSelected(system, "u2", 30); });
}

// ---- Planned stops ---------------------------------------------------------

// Returns once the first entry host has begun its planned stop.
void BeginPlannedStop(RequestSystem& system) {
  system.Entry(0).Signal(SIGTERM);
  RequestSystem::WaitUntil([&] {
    const auto status = system.StatusOf(0);
    return status && status->m_phase != "serving";
  });
}

// Guards against requests that fail during a planned stop of an entry host, and
// against a host that exits while callers may still use an older look-up.
TEST(RequestPlannedStop, NoRequestFails) {
  RequestSystem system({.m_entries = 3});
  system.StartUpstream("u1", {.m_slots = 30});
  system.WaitUntilServing(4);
  ChildProcess caller = system.StartCaller(
      {"--requests=1500", "--rate=250", "--concurrency=6"}, "report.json");
  RequestSystem::WaitUntil([&] { return system.RunCount("/load") > 100; });
  const LookupAnswer before = system.Lookup(0);
  const HostId leaving = before.m_hosts[0].m_host;
  std::size_t index = 0;
  while (system.SettingsOfEntry(index).m_host != leaving)
    ++index;
  const MonoTime started = MonoClock::now();
  system.Entry(index).Signal(SIGTERM);
  for (std::size_t i = 0; i < system.EntryCount(); ++i) {
    RequestSystem::WaitUntil([&] {
      const std::vector<LookupHost> hosts = system.Lookup(i).m_hosts;
      return std::none_of(
          hosts.begin(), hosts.end(),
          [&](const LookupHost& host) { return host.m_host == leaving; });
    });
  }
  // Callers with an older look-up still send requests to it.
  EXPECT_TRUE(system.Entry(index).IsRunning());
  EXPECT_EQ(system.Send(index, {.m_target = "/s/log/late"}).m_status, 200);
  EXPECT_EQ(system.Entry(index).Wait(), 0);
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(MonoClock::now() - started);
  EXPECT_GE(elapsed, before.m_lifetime);
  std::cout << "drain took " << elapsed.count() << " ms, look-up lifetime "
            << before.m_lifetime.count() << " ms\n";
  EXPECT_EQ(caller.Wait(), 0);
  const auto text = ReadFile(system.Path("report.json"), 1U << 20U);
  const auto report = ParseDocument<LoadReport>(text.value(), "report");
  ASSERT_TRUE(report.has_value()) << text.value();
  EXPECT_EQ(report.value().m_ok, report.value().m_sent) << text.value();
}

// Guards against a planned stop that ends before the longest request has its
// response. The time between that response and the exit is printed.
TEST(RequestPlannedStop, WaitsForLongestRequest) {
  RequestSystem system;
  system.StartUpstream("u1");
  system.WaitUntilServing(4);
  auto slow = std::async(std::launch::async, [&] {
    return system.Send(0, {.m_target = "/s/log/slow?delay_ms=5000"});
  });
  RequestSystem::WaitUntil([&] { return system.RunCount("/slow") == 1; });
  system.Entry(0).Signal(SIGTERM);
  EXPECT_EQ(slow.get().m_status, 200);
  const MonoTime answered = MonoClock::now();
  EXPECT_EQ(system.Entry(0).Wait(), 0);
  const auto elapsed = MonoClock::now() - answered;
  std::cout << "exit "
            << std::chrono::duration_cast<milliseconds>(elapsed).count()
            << " ms after the last response\n";
}

// Guards against requests that are taken late in a planned stop and cut at its
// end: one that must not repeat is refused before it is sent, and any other one
// gets its answer.
TEST(RequestPlannedStop, LateRequestsAreAnsweredBeforeItsEnd) {
  RequestSystem system({.m_drain_limit = milliseconds(500)});
  system.StartUpstream("u1");
  system.WaitUntilServing(4);
  BeginPlannedStop(system);
  auto slow = std::async(std::launch::async, [&] {
    return system.Send(0, {.m_target = "/s/log/slow?delay_ms=60000"});
  });
  const Answer refused =
      system.Post(0, "/fuel?delay_ms=60000", system.NewIdempotencyKey());
  EXPECT_EQ(refused.m_status, 503);
  EXPECT_EQ(slow.get().m_status, 504);
  EXPECT_EQ(system.RunCount("/fuel"), 0U);
  EXPECT_EQ(system.Entry(0).Wait(), 0);
}

// Guards against a repeatable request that is taken late in a planned stop and
// given up at its end: with both limits equal, no time is left for one that may
// outlast the stop, and any other one is served.
TEST(RequestPlannedStop, RequestsWithoutTheTimeOfTheDrainLimitAreRefused) {
  constexpr milliseconds kLimit{100000};
  RequestSystem system({.m_drain_limit = kLimit,
                        .m_stop_limit = kLimit,
                        .m_lookup_lifetime = kLimit});
  system.StartUpstream("u1");
  system.WaitUntilServing(4);
  BeginPlannedStop(system);
  const Answer served =
      system.Send(0, {.m_target = "/s/log/short",
                      .m_headers = {{"Jujube-Deadline-Ms", "10000"}}});
  EXPECT_EQ(served.m_status, 200);
  const Answer refused =
      system.Send(0, {.m_target = "/s/log/long",
                      .m_headers = {{"Jujube-Deadline-Ms", "600000"}}});
  EXPECT_EQ(refused.m_status, 503);
  EXPECT_EQ(refused.m_verdict, "not-run");
  EXPECT_EQ(system.RunCount("/long"), 0U);
}

// Sends the head of a repeatable request to the first entry host, without the
// body of four bytes.
RawSocket SendHeadTo(const RequestSystem& system) {
  RawSocket caller = RawSocket::Connect(system.SettingsOfEntry(0).m_caller);
  caller.Send(
      "GET /s/log/late_body HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
      "Jujube-Deadline-Ms: 600000\r\nConnection: close\r\n\r\n");
  return caller;
}

void ExpectRefusedUnsent(const RequestSystem& system, const RawSocket& caller) {
  const std::string received = caller.ReadToEnd();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
  EXPECT_NE(received.find("Jujube-Verdict: not-run"), std::string::npos)
      << received;
  EXPECT_EQ(system.RunCount("/late_body"), 0U);
}

// Guards against a request that is passed on without enough time, because a
// planned stop began while its body arrived.
TEST(RequestPlannedStop, RequestWhoseBodyArrivesDuringAStopIsRefused) {
  constexpr milliseconds kLimit{100000};
  RequestSystem system({.m_drain_limit = kLimit,
                        .m_stop_limit = kLimit,
                        .m_lookup_lifetime = kLimit});
  system.StartUpstream("u1");
  system.WaitUntilServing(4);
  const RawSocket caller = SendHeadTo(system);
  RequestSystem::WaitUntil([&] {
    const auto status = system.StatusOf(0);
    return status && status->m_in_progress == 1;
  });
  BeginPlannedStop(system);
  caller.Send("fuel");
  ExpectRefusedUnsent(system, caller);
}

// Guards against a request that was admitted early in a planned stop, with a
// shorter deadline, and is passed on when too little is left until that.
TEST(RequestPlannedStop, RequestWhoseBodyArrivesLateInAStopIsRefused) {
  constexpr milliseconds kLimit{100000};
  constexpr milliseconds kAdmissionTime{2000};
  RequestSystem system({.m_drain_limit = kLimit - kAdmissionTime,
                        .m_stop_limit = kLimit,
                        .m_lookup_lifetime = kLimit});
  system.StartUpstream("u1");
  system.WaitUntilServing(4);
  BeginPlannedStop(system);
  const RawSocket caller = SendHeadTo(system);
  std::this_thread::sleep_for(kAdmissionTime);
  caller.Send("fuel");
  ExpectRefusedUnsent(system, caller);
}

// Returns true if the first entry host has ejected an instance.
bool HasEjected(const RequestSystem& system) {
  const Answer metrics = system.CallOperator(
      system.SettingsOfEntry(0).m_operator, {.m_target = "/metrics"});
  return metrics.m_body.find("jujube_upstreams_ejected{service=\"log\"} 1") !=
         std::string::npos;
}

// Guards against a request that is given up in a planned stop while its
// instance works on it, because other requests to that instance failed.
TEST(RequestPlannedStop, RequestsAtAnEjectedInstanceKeepTheirResponses) {
  constexpr std::size_t kRequests = 9;
  RequestSystem system({.m_lookup_lifetime = milliseconds(100000)});
  // By default, one instance of three may be ejected.
  for (const char* name : {"u1", "u2", "u3"})
    system.StartUpstream(name);
  system.WaitUntilServing(12);
  std::vector<std::future<Answer>> responses;
  for (std::size_t i = 0; i < kRequests; ++i) {
    responses.push_back(std::async(std::launch::async, [&] {
      return system.Send(0, {.m_target = "/s/log/held?delay_ms=20000",
                             .m_headers = {{"Jujube-Deadline-Ms", "600000"}}});
    }));
  }
  RequestSystem::WaitUntil(
      [&] { return system.RunCount("/held") == kRequests; });
  BeginPlannedStop(system);
  RequestSystem::WaitUntil([&] {
    for (int i = 0; i < 10; ++i)
      system.Send(0, {.m_target = "/s/log/bad?status=500"});
    return HasEjected(system);
  });
  for (const std::future<Answer>& response : responses)
    EXPECT_NE(response.wait_for(milliseconds(0)), std::future_status::ready);
  for (std::future<Answer>& response : responses)
    EXPECT_EQ(response.get().m_status, 200);
  // No request was made again elsewhere.
  EXPECT_EQ(system.RunCount("/held"), kRequests);
}

// ---- Frozen hosts ----------------------------------------------------------

// Guards against a resumed host that uses an expired lease, whose slots were
// granted to another host while it was frozen.
TEST(RequestFrozen, ResumedHostSpendsNoExpiredLease) {
  RequestSystem system;
  constexpr std::size_t kSlots = 12;
  // Accepts more requests than it announces slots, so that it sheds none
  // itself.
  system.StartUpstream("u1", {.m_slots = 100, .m_announces = false});
  Announcement announcement =
      system.AnnouncementOf("u1", system.UpstreamEndpoint("u1"));
  announcement.m_slots = kSlots;
  const RequestAnnouncer announcer(system, 0, announcement);
  system.WaitUntilServing(3);
  system.Entry(1).Signal(SIGSTOP);
  // The other host gets all slots except the safe share of the frozen host.
  RequestSystem::WaitUntil([&] {
    const auto status = system.StatusOf(0);
    return status && status->m_services[0].m_usable_slots >= kSlots - 1;
  });
  std::vector<std::future<Answer>> responses;
  const std::uint32_t usable = system.StatusOf(0)->m_services[0].m_usable_slots;
  for (std::uint32_t i = 0; i < usable; ++i) {
    responses.push_back(std::async(std::launch::async, [&] {
      return system.Send(0, {.m_target = "/s/log/held?delay_ms=6000"});
    }));
  }
  RequestSystem::WaitUntil([&] { return system.RunCount("/held") == usable; });
  // Sent to the frozen host, which reads these requests as soon as it resumes.
  std::vector<std::future<Answer>> resumed_responses;
  std::atomic<std::size_t> answered = 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    resumed_responses.push_back(std::async(std::launch::async, [&] {
      Answer answer =
          system.Send(1, {.m_target = "/s/log/resumed?delay_ms=6000"});
      ++answered;
      return answer;
    }));
  }
  system.Entry(1).Signal(SIGCONT);
  RequestSystem::WaitUntil(
      [&] { return answered + system.RunCount("/resumed") >= kSlots; });
  EXPECT_LE(system.RunCount("/resumed") + usable, kSlots);
  for (std::future<Answer>& answer : responses)
    EXPECT_EQ(answer.get().m_status, 200);
  for (std::future<Answer>& answer : resumed_responses)
    answer.wait();
}

// ---- Invalid input ---------------------------------------------------------

std::vector<std::string> InvalidInputs() {
  std::string bytes;
  for (int i = 0; i < 4096; ++i)
    bytes.push_back(static_cast<char>((i * 7919) >> 3));
  return {
      bytes, "\r\n\r\n\r\n",
      "GET /s/log/x HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
      "GET /s/log/x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
      "POST /s/log/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "GET /s/log/x HTTP/1.1\r\nJujube-Deadline-Ms: 99x\r\n\r\n",
      "GET /lookup?service=%zz&caller=300.1.1.1 HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nX: " + std::string(1U << 20U, 'a') + "\r\n\r\n",
      "POST /announce HTTP/1.1\r\nAuthorization: Bearer wrong\r\n\r\n",
      std::string("POST /announce HTTP/1.1\r\nAuthorization: Bearer ") +
          kPlatformKey + "\r\nContent-Length: 6\r\n\r\n{\"a\":[",
      std::string("POST /v1/apply HTTP/1.1\r\nAuthorization: Bearer ") +
          kOperatorKey + "\r\nContent-Length: 9\r\n\r\n[[[[[[[[[",
      // A frame header that states a payload of 4 GiB.
      std::string("\x4a\x4a\x01\x00\xff\xff\xff\xff", 8) +
          std::string(64, '\xff')};
}

// Guards against invalid input that makes a process exit or stop serving, on
// any port, and against listeners that accept a wrong key.
TEST(RequestBadInput, EndsNoProcess) {
  RequestSystem system;
  system.StartUpstream("u1");
  system.WaitUntilServing();
  const ControlPeer control = system.SettingsOfControl(0).m_peers[0];
  const EntrySettings& entry = system.SettingsOfEntry(0);
  for (const Endpoint& port :
       {entry.m_caller, entry.m_platform, entry.m_operator, entry.m_peer,
        control.m_operator, control.m_peer, system.UpstreamEndpoint("u1")}) {
    for (const std::string& input : InvalidInputs()) {
      const RawSocket socket = RawSocket::Connect(port);
      socket.Send(input);
    }
  }
  const Announcement announcement =
      system.AnnouncementOf("u9", system.UpstreamEndpoint("u1"));
  EXPECT_EQ(system.Announce(0, announcement, "a wrong key").m_status, 401);
  EXPECT_EQ(system.Announce(0, announcement, kOperatorKey).m_status, 401);
  for (const Endpoint& port : {entry.m_operator, control.m_operator}) {
    for (const std::string target : {"/status", "/v1/status", "/metrics"}) {
      const auto response = net::HttpCallBlocking(
          port,
          {.m_target = target,
           .m_headers = {{"Authorization", "Bearer a wrong key"}}},
          MonoClock::now() + std::chrono::minutes(1));
      ASSERT_TRUE(response.has_value());
      EXPECT_EQ(response.value().m_head.m_status, 401);
    }
  }
  EXPECT_TRUE(system.Entry(0).IsRunning());
  EXPECT_TRUE(system.Control(0).IsRunning());
  EXPECT_TRUE(system.Upstream("u1").IsRunning());
  EXPECT_EQ(system.Send(0, {.m_target = "/s/log/x"}).m_status, 200);
  EXPECT_EQ(system.Post(0, "/fuel", system.NewIdempotencyKey()).m_status, 200);
  EXPECT_EQ(system.StatusOf(0)->m_services[0].m_instances, 1U);
}

}  // namespace
}  // namespace jujube::testing
