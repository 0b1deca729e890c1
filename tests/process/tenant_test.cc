// Tests with real processes: keys of tenants that are taken away while hosts
// are cut off, frozen, restarted or without a leader.

#include <chrono>
#include <csignal>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "process/peer_announcer.h"
#include "process/process_harness.h"
#include "process/raw_socket.h"
#include "process/request_fixture.h"

// Sections: taking keys away, requests in progress, header fields.

namespace jujube::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLease{2000};
constexpr char kTakenKey[] = "key-1";
constexpr char kKeptKey[] = "key-2";

std::vector<Header> KeyField(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

// A GET request as sent on a connection of the test.
std::string GetText(const std::string& target, const std::string& key) {
  return "GET /s/log" + target +
         " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key + "\r\n";
}

// Status codes of the responses in a text, in order.
std::vector<std::string> StatusesIn(const std::string& text) {
  const std::string start = "HTTP/1.1 ";
  std::vector<std::string> statuses;
  for (std::size_t at = text.find(start); at != std::string::npos;
       at = text.find(start, at + 1))
    statuses.push_back(text.substr(at + start.size(), 3));
  return statuses;
}

bool Contains(const std::string& path, const std::string& text) {
  std::ifstream file(path);
  const std::string content{std::istreambuf_iterator<char>(file), {}};
  return content.find(text) != std::string::npos;
}

SystemOptions OptionsWithTenant() {
  return {.m_controls = 3,
          .m_entries = 2,
          .m_tenants = {{.m_name = {"ferry"}, .m_keys = {kTakenKey, kKeptKey}}},
          .m_key_lease = kLease};
}

class TenantTest : public ::testing::Test {
 protected:
  TenantTest() {
    m_system.StartUpstream("u1", {.m_announces = false});
    m_announcer.emplace(m_system, m_system.AnnouncementOf(
                                      "u1", m_system.UpstreamEndpoint("u1")));
    m_system.WaitUntilServing();
    WaitUntilAccepted(kTakenKey);
  }

  Answer Get(std::size_t entry,
             const std::string& key,
             const std::string& path = "/x") const {
    return m_system.Send(
        entry, {.m_target = "/s/log" + path, .m_headers = KeyField(key)});
  }

  void WaitUntilAccepted(const std::string& key) const {
    for (std::size_t i = 0; i < m_system.EntryCount(); ++i)
      RequestSystem::WaitUntil([&] { return Get(i, key).m_status == 200; });
  }

  void Apply(const Deployment& document) {
    m_system.Apply(document);
    m_acknowledged_at = MonoClock::now();
  }

  // A host that does not have the last document yet may accept the key, but no
  // request that begins after the lease, however busy the machine is. Refusals
  // have to be true.
  void WaitUntilUnknown(std::size_t entry, const std::string& key) const {
    RequestSystem::WaitUntil([&] {
      const bool is_too_late = MonoClock::now() >= m_acknowledged_at + kLease;
      const Answer answer = Get(entry, key);
      EXPECT_TRUE(answer.m_status == 401 || answer.m_status == 503 ||
                  (answer.m_status == 200 && !is_too_late))
          << answer.m_status;
      EXPECT_EQ(answer.m_verdict, answer.m_status == 200 ? "ran" : "not-run");
      return answer.m_status == 401;
    });
  }

  Deployment DocumentWithoutTakenKey() const {
    Deployment document = m_system.Document();
    ++document.m_number;
    document.m_tenants[0].m_keys = {kKeptKey};
    return document;
  }

  RequestSystem m_system{OptionsWithTenant()};
  std::optional<PeerAnnouncer> m_announcer;
  MonoTime m_acknowledged_at;  // of the last document
};

// ---- Taking keys away ------------------------------------------------------

// Guards against a host that is cut off and keeps serving a key that was taken
// away, on a new connection or on one that was open before, and against hosts
// that are not cut off and refuse the other key.
TEST_F(TenantTest, ACutOffHostStopsUsingKeys) {
  const RawSocket open_connection =
      RawSocket::Connect(m_system.SettingsOfEntry(0).m_caller);
  open_connection.Send(GetText("/before", kTakenKey) + "\r\n");
  RequestSystem::WaitUntil([&] { return m_system.RunCount("/before") == 1; });
  m_system.CutOff(0);
  Apply(DocumentWithoutTakenKey());
  RequestSystem::WaitUntil([&] {
    const bool is_too_late = MonoClock::now() >= m_acknowledged_at + kLease;
    const Answer answer = Get(0, kTakenKey);
    EXPECT_FALSE(is_too_late && answer.m_status == 200);
    return answer.m_status == 503;
  });
  open_connection.Send(GetText("/after", kTakenKey) +
                       "Connection: close\r\n\r\n");
  const std::string responses = open_connection.ReadToEnd();
  EXPECT_EQ(StatusesIn(responses), (std::vector<std::string>{"200", "503"}))
      << responses;
  const Answer refusal = Get(0, kKeptKey);
  EXPECT_EQ(refusal.m_status, 503);
  EXPECT_EQ(refusal.m_verdict, "not-run");
  EXPECT_EQ(m_system.RunCount("/after"), 0U);
  EXPECT_EQ(Get(1, kKeptKey).m_status, 200);
  WaitUntilUnknown(1, kTakenKey);
  // Statements that were held up may renew the lease up to this time.
  RequestSystem::WaitUntil(
      [&] { return MonoClock::now() >= m_acknowledged_at + kLease; });
  m_system.Reconnect(0);
  RequestSystem::WaitUntil([&] {
    EXPECT_NE(Get(0, kTakenKey).m_status, 200);
    return Get(0, kKeptKey).m_status == 200;
  });
  WaitUntilUnknown(0, kTakenKey);
  EXPECT_TRUE(Contains(m_system.Path("entry-0.log"), "KeyLeaseExpired"));
  EXPECT_TRUE(Contains(m_system.Path("entry-0.log"), "KeyLeaseRenewed"));
}

// Guards against a process that is stopped for longer than its lease and serves
// the requests that arrived meanwhile before it has the newest configuration.
TEST_F(TenantTest, AFrozenHostUsesNoTakenKey) {
  for (int round = 0; round < 3; ++round) {
    const std::string path = "/frozen-" + std::to_string(round);
    constexpr std::size_t kConnections = 4;
    std::vector<RawSocket> connections;
    connections.reserve(kConnections);
    for (std::size_t i = 0; i < kConnections; ++i) {
      connections.push_back(
          RawSocket::Connect(m_system.SettingsOfEntry(0).m_caller));
    }
    m_system.Entry(0).Signal(SIGSTOP);
    Apply(DocumentWithoutTakenKey());
    for (const RawSocket& connection : connections) {
      connection.Send(GetText(path, kTakenKey) + "\r\n" +
                      GetText(path, kTakenKey) + "Connection: close\r\n\r\n");
    }
    RequestSystem::WaitUntil(
        [&] { return MonoClock::now() >= m_acknowledged_at + kLease; });
    m_system.Entry(0).Signal(SIGCONT);
    for (const RawSocket& connection : connections) {
      const std::vector<std::string> statuses =
          StatusesIn(connection.ReadToEnd());
      EXPECT_EQ(statuses.size(), 2U);
      for (const std::string& status : statuses)
        EXPECT_TRUE(status == "401" || status == "503") << status;
    }
    EXPECT_EQ(m_system.RunCount(path), 0U);
    WaitUntilAccepted(kKeptKey);
    WaitUntilUnknown(0, kTakenKey);
    Deployment restored = m_system.Document();
    ++restored.m_number;
    restored.m_tenants[0].m_keys = {kTakenKey, kKeptKey};
    Apply(restored);
    WaitUntilAccepted(kTakenKey);
  }
}

// Guards against a key that comes back with the next leader: the leader dies
// right after it has acknowledged the document, or before it could.
TEST_F(TenantTest, ALostLeaderDoesNotBringAKeyBack) {
  const Deployment document = DocumentWithoutTakenKey();
  Apply(document);
  m_system.Control(m_system.LeaderIndex()).Signal(SIGKILL);
  for (std::size_t i = 0; i < m_system.EntryCount(); ++i)
    WaitUntilUnknown(i, kTakenKey);
  WaitUntilAccepted(kKeptKey);
  m_system.RestartControls();
  Deployment without_keys = document;
  ++without_keys.m_number;
  without_keys.m_tenants[0].m_keys = {};
  const std::size_t leader = m_system.LeaderIndex();
  std::thread operator_call([&] { Apply(without_keys); });
  m_system.Control(leader).Signal(SIGKILL);
  // Sends the document again to the next leader.
  operator_call.join();
  for (std::size_t i = 0; i < m_system.EntryCount(); ++i) {
    WaitUntilUnknown(i, kKeptKey);
    WaitUntilUnknown(i, kTakenKey);
  }
}

// Guards against an entry host that serves keys of the document that it had, or
// control hosts that state a lease for one, after all of them have restarted.
TEST_F(TenantTest, RestartedHostsUseNoTakenKey) {
  m_system.CutOff(0);
  Apply(DocumentWithoutTakenKey());
  m_system.RestartControls();
  m_system.Reconnect(0);
  m_system.RestartEntries();
  for (std::size_t i = 0; i < m_system.EntryCount(); ++i)
    WaitUntilUnknown(i, kTakenKey);
  m_system.WaitUntilServing();
  WaitUntilAccepted(kKeptKey);
  m_system.RestartEntries();
  for (std::size_t i = 0; i < m_system.EntryCount(); ++i)
    WaitUntilUnknown(i, kTakenKey);
}

// Guards against a tenant without keys that opens the system to all callers,
// and against a key that keeps the tenant which held it before.
TEST_F(TenantTest, TenantsMayLoseAndGainKeys) {
  Deployment document = DocumentWithoutTakenKey();
  document.m_tenants[0].m_keys = {};
  Apply(document);
  for (std::size_t i = 0; i < m_system.EntryCount(); ++i) {
    WaitUntilUnknown(i, kTakenKey);
    WaitUntilUnknown(i, kKeptKey);
    EXPECT_EQ(m_system.Send(i, {.m_target = "/s/log/x"}).m_status, 401);
  }
  // Added and taken away at once, then given to another tenant.
  ++document.m_number;
  document.m_tenants[0].m_keys = {kTakenKey};
  Apply(document);
  ++document.m_number;
  document.m_tenants[0].m_keys = {};
  document.m_tenants.push_back({.m_name = {"island"}, .m_keys = {kKeptKey}});
  Apply(document);
  WaitUntilAccepted(kKeptKey);
  for (std::size_t i = 0; i < m_system.EntryCount(); ++i)
    WaitUntilUnknown(i, kTakenKey);
}

// Guards against a refusal that says "not run" although an earlier attempt with
// the same Idempotency-Key may have run through another host.
TEST_F(TenantTest, ARefusedRetryMayHaveRun) {
  net::HttpRequest retry{
      .m_method = "POST",
      .m_target = "/s/log/x",
      .m_headers = {{"Idempotency-Key", m_system.NewIdempotencyKey()}}};
  const Answer answer = m_system.Send(0, retry);
  EXPECT_EQ(answer.m_status, 401);
  EXPECT_EQ(answer.m_verdict, "may-have-run");
  retry.m_headers.push_back({"Jujube-Earlier-Attempts", "not-run"});
  EXPECT_EQ(m_system.Send(0, retry).m_verdict, "not-run");
}

// ---- Requests in progress --------------------------------------------------

class TenantRequestTest : public TenantTest {
 protected:
  // Sends a request without its body and waits until the entry host has
  // admitted it.
  RawSocket StartRequest() const {
    RawSocket caller = RawSocket::Connect(m_system.SettingsOfEntry(0).m_caller);
    caller.Send(
        "PUT /s/log/slow HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
        "Authorization: Bearer " +
        std::string(kTakenKey) +
        "\r\nJujube-Deadline-Ms: 600000\r\nConnection: close\r\n\r\n");
    RequestSystem::WaitUntil([&] {
      const auto status = m_system.StatusOf(0);
      return status && status->m_in_progress == 1;
    });
    return caller;
  }

  // Status of the response after the rest of the request.
  static std::vector<std::string> FinishRequest(const RawSocket& caller) {
    caller.Send("fuel");
    return StatusesIn(caller.ReadToEnd());
  }
};

// Guards against a request that is sent with a key that was taken away after
// the request was admitted.
TEST_F(TenantRequestTest, AKeyTakenDuringTheRequestIsRefused) {
  const RawSocket caller = StartRequest();
  Apply(DocumentWithoutTakenKey());
  WaitUntilUnknown(0, kTakenKey);
  EXPECT_EQ(FinishRequest(caller), std::vector<std::string>{"401"});
  EXPECT_EQ(m_system.RunCount("/slow"), 0U);
}

// Guards against a request that is refused because no region is common to the
// regions of its tenant in two successive documents.
TEST_F(TenantRequestTest, RegionsOfAnEarlierDocumentDoNotBind) {
  Deployment document = m_system.Document();
  document.m_regions.push_back(
      {.m_name = {"region-b"}, .m_max_in_progress = 60});
  ++document.m_number;
  document.m_tenants[0].m_allowed_regions = {{"region-b"}};
  Apply(document);
  RequestSystem::WaitUntil([&] { return Get(0, kTakenKey).m_status == 503; });
  const RawSocket caller = StartRequest();
  ++document.m_number;
  document.m_tenants[0].m_allowed_regions = {{"region-a"}};
  Apply(document);
  RequestSystem::WaitUntil([&] { return Get(0, kTakenKey).m_status == 200; });
  EXPECT_EQ(FinishRequest(caller), std::vector<std::string>{"200"});
}

// ---- Header fields ---------------------------------------------------------

class TenantUpstreamTest : public ::testing::Test {
 protected:
  TenantUpstreamTest() {
    m_system.WaitUntilServing();
    RequestSystem::WaitUntil([&] {
      return Contains(m_system.Path("entry-0.log"), "KeyLeaseRenewed");
    });
  }

  RequestSystem m_system{OptionsWithTenant()};
  Endpoint m_endpoint = process::ReserveEndpoint();
  RawSocket m_listener = RawSocket::Listen(m_endpoint, 16);
  PeerAnnouncer m_announcer{m_system,
                            m_system.AnnouncementOf("u0", m_endpoint)};
};

// Guards against a key, or a name that the caller states for its tenant, that
// reaches the upstream in a header or trailer field.
TEST_F(TenantUpstreamTest, TheUpstreamGetsTheNameOfTheTenantOnly) {
  const RawSocket caller =
      RawSocket::Connect(m_system.SettingsOfEntry(0).m_caller);
  caller.Send(
      "PUT /s/log/t HTTP/1.1\r\nHost: x\r\nJujube-Deadline-Ms: 1000\r\n"
      "Authorization: Bearer key-2\r\nJujube-Tenant: forged-1\r\n"
      "jujube-tenant: forged-2\r\nConnection: Jujube-Tenant\r\n"
      "Trailer: Jujube-Tenant\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nfuel\r\n0\r\nJujube-Tenant: forged-3\r\n"
      "Authorization: Bearer key-2\r\n\r\n");
  const RawSocket connection = m_listener.Accept();
  // The entry host closes the connection at the deadline.
  const std::string request = connection.ReadToEnd();
  EXPECT_NE(request.find("fuel"), std::string::npos) << request;
  EXPECT_NE(request.find("Jujube-Tenant: ferry\r\n"), std::string::npos)
      << request;
  EXPECT_EQ(request.find("forged"), std::string::npos) << request;
  EXPECT_EQ(request.find("key-2"), std::string::npos) << request;
  EXPECT_EQ(request.find("Bearer"), std::string::npos) << request;
}

// Guards against keys in what operators see: logs, metrics and the status.
TEST_F(TenantUpstreamTest, OperatorsSeeNoKeys) {
  for (const std::string& value :
       {std::string("Bearer key-2"), std::string("Bearer key-unknown"),
        std::string("Basic key-malformed"), std::string("Bearer key 2")}) {
    (void)m_system.Send(
        0, {.m_target = "/s/other/x", .m_headers = {{"Authorization", value}}});
  }
  const EntrySettings& settings = m_system.SettingsOfEntry(0);
  const std::string metrics =
      m_system.CallOperator(settings.m_operator, {.m_target = "/metrics"})
          .m_body;
  for (const std::string reason : {"unknown_key", "malformed_key"}) {
    EXPECT_NE(metrics.find("jujube_requests_refused_total{reason=\"" + reason),
              std::string::npos)
        << metrics.substr(0, 2000);
  }
  EXPECT_EQ(metrics.find("key-"), std::string::npos);
  EXPECT_EQ(m_system.CallOperator(settings.m_operator, {.m_target = "/status"})
                .m_body.find("key-"),
            std::string::npos);
  for (const std::string name :
       {"entry-0", "entry-1", "control-0", "control-1", "control-2"}) {
    const std::string log = m_system.Path(name + ".log");
    EXPECT_TRUE(Contains(log, "Started")) << name;
    EXPECT_FALSE(Contains(log, "key-1")) << name;
    EXPECT_FALSE(Contains(log, "key-2")) << name;
    EXPECT_FALSE(Contains(log, "key-unknown")) << name;
    EXPECT_FALSE(Contains(log, "key-malformed")) << name;
  }
}

}  // namespace
}  // namespace jujube::testing
