// Tests with real daemons: an accepted configuration survives the loss, freeze
// and isolation of control hosts.

#include <atomic>
#include <filesystem>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

#include "process/control_cluster.h"

namespace jujube::process {
namespace {

using HistoryEntries = std::vector<HistoryEntry>;

// Fails if an accepted document is missing, has another index or was replaced.
void ExpectInHistory(const HistoryEntries& accepted,
                     const HistoryEntries& history) {
  for (const HistoryEntry& entry : accepted) {
    EXPECT_EQ(std::count(history.begin(), history.end(), entry), 1)
        << "document " << entry.m_number << " at " << entry.m_index;
  }
}

// Applies documents one after the other on its own thread until Stop().
class DocumentWriter {
 public:
  explicit DocumentWriter(const ControlCluster& cluster)
      : m_cluster(cluster), m_thread([this] { Run(); }) {}
  ~DocumentWriter() { Stop(); }
  DocumentWriter(const DocumentWriter&) = delete;
  DocumentWriter& operator=(const DocumentWriter&) = delete;

  void Stop() {
    m_is_stopped = true;
    if (m_thread.joinable())
      m_thread.join();
  }
  HistoryEntries AcceptedEntries() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_accepted;
  }
  void WaitForAcceptedDocuments(std::size_t count) const {
    const std::size_t start = AcceptedEntries().size();
    WaitUntil("more documents are accepted",
              [&] { return AcceptedEntries().size() >= start + count; });
  }

 private:
  void Run() {
    for (std::uint64_t number = 1; !m_is_stopped; ++number) {
      const ApplyAnswer answer = m_cluster.Apply(NumberedDocument(number));
      EXPECT_EQ(answer.m_outcome, ApplyOutcome::kAccepted);
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_accepted.push_back(answer.m_accepted);
    }
  }

  const ControlCluster& m_cluster;
  std::atomic<bool> m_is_stopped{false};
  mutable std::mutex m_mutex;
  HistoryEntries m_accepted;
  std::thread m_thread;
};

class ControlProcesses : public ::testing::Test {
 protected:
  void ApplyDocuments(std::uint64_t first, std::uint64_t last) {
    for (std::uint64_t number = first; number <= last; ++number) {
      const ApplyAnswer answer = m_cluster.Apply(NumberedDocument(number));
      ASSERT_EQ(answer.m_outcome, ApplyOutcome::kAccepted);
      m_accepted.push_back(answer.m_accepted);
    }
  }
  void ExpectAllInHistory() {
    ExpectInHistory(m_accepted, m_cluster.History());
  }

  ControlCluster m_cluster;
  HistoryEntries m_accepted;
};

// ---- Kill and freeze -------------------------------------------------------

// Guards against an accepted document that is lost when the leader is killed
// while the next document is being applied.
TEST_F(ControlProcesses, KilledLeadersLoseNothingAccepted) {
  m_cluster.StartAll();
  DocumentWriter writer(m_cluster);
  for (std::size_t round = 0; round < 4; ++round) {
    writer.WaitForAcceptedDocuments(1 + 2 * round);
    // The writer continues, so the kill interrupts an arbitrary step of an
    // apply.
    const int killed = m_cluster.WaitForLeader();
    m_cluster.Host(killed).Kill();
    writer.WaitForAcceptedDocuments(2);
    // The writer goes on; the history lacks what is accepted after it was read.
    const HistoryEntries accepted = writer.AcceptedEntries();
    ExpectInHistory(accepted, m_cluster.History());
    m_cluster.Start(killed);
  }
  writer.Stop();
  const HistoryEntries accepted = writer.AcceptedEntries();
  ExpectInHistory(accepted, m_cluster.History());
}

// Guards against a leader that answers before a majority has stored the
// document.
TEST_F(ControlProcesses, LeaderKilledRightAfterItsResponseLosesNothing) {
  m_cluster.StartAll();
  for (std::uint64_t number = 1; number <= 4; ++number) {
    ApplyDocuments(number, number);
    const int killed = m_cluster.WaitForLeader();
    m_cluster.Host(killed).Kill();
    ExpectAllInHistory();
    m_cluster.Start(killed);
  }
}

// Guards against an accepted document that the hosts kept only in memory.
TEST_F(ControlProcesses, RestartOfAllHostsKeepsEverything) {
  m_cluster.StartAll();
  ApplyDocuments(1, 10);
  for (int host = 0; host < 3; ++host)
    m_cluster.Host(host).Kill();
  m_cluster.StartAll();
  ExpectAllInHistory();
  ApplyDocuments(11, 11);
}

// Guards against a leader that was replaced while it was frozen and, when it
// resumes, still accepts a document or answers a read as leader.
TEST_F(ControlProcesses, FrozenLeaderAcknowledgesNothingOldWhenResumed) {
  m_cluster.StartAll();
  ApplyDocuments(1, 2);
  const int frozen = m_cluster.WaitForLeader();
  const auto before = m_cluster.StatusOf(frozen);
  ASSERT_TRUE(before);
  m_cluster.Host(frozen).Freeze();
  // This request waits in the socket buffer of the frozen leader. Meanwhile
  // another operator applies a document with the same number.
  OperatorReply late;
  std::vector<std::thread> calls;
  calls.emplace_back([&] {
    WaitUntil("the resumed host answers", [&] {
      late = m_cluster.Call(frozen, "POST", "/v1/apply",
                            ToText(NumberedDocument(3, "late")));
      return late.m_status != 0;
    });
  });
  const ApplyAnswer newer =
      m_cluster.Apply(NumberedDocument(3, "newer"), {frozen});
  EXPECT_EQ(newer.m_outcome, ApplyOutcome::kAccepted);
  m_accepted.push_back(newer.m_accepted);
  m_cluster.Host(frozen).Resume();
  // The resumed host must not answer as leader of its earlier term.
  const OperatorReply config = m_cluster.Call(frozen, "GET", "/v1/config");
  EXPECT_TRUE(config.m_status != 200 ||
              config.m_body.find("newer") != std::string::npos)
      << config.m_body;
  const auto status = m_cluster.StatusOf(frozen);
  ASSERT_TRUE(status);
  EXPECT_FALSE(status->m_role == "leader" && status->m_term == before->m_term);
  calls.front().join();
  EXPECT_NE(late.m_status, 200) << late.m_body;
  m_cluster.WaitForDocument(frozen, 3);
  ExpectAllInHistory();
}

// ---- Isolation -------------------------------------------------------------

// Guards against a leader without a majority that acknowledges a change or
// answers a read, and against its unconfirmed drain taking effect after the
// isolation ends.
TEST_F(ControlProcesses, IsolatedLeaderAcknowledgesNothing) {
  m_cluster.StartAll();
  ApplyDocuments(1, 2);
  const std::string body = R"({"kind": "EntryHost", "name": "e1"})";
  int isolated = -1;
  for (const std::string path : {"/v1/drain", "/v1/resume"}) {
    WaitUntil("the leader accepts drains", [&] {
      isolated = m_cluster.WaitForLeader();
      return m_cluster.Call(isolated, "POST", path, body).m_status == 200;
    });
  }
  m_cluster.Isolate(isolated);
  const OperatorReply drain =
      m_cluster.Call(isolated, "POST", "/v1/drain", body);
  EXPECT_NE(drain.m_status, 200) << drain.m_body;
  const OperatorReply applied = m_cluster.Call(
      isolated, "POST", "/v1/apply", ToText(NumberedDocument(3, "isolated")));
  EXPECT_NE(applied.m_status, 200) << applied.m_body;
  EXPECT_NE(m_cluster.Call(isolated, "GET", "/v1/config").m_status, 200);
  WaitUntil("the isolated leader steps down", [&] {
    const auto status = m_cluster.StatusOf(isolated);
    return status && status->m_role != "leader";
  });
  const ApplyAnswer newer =
      m_cluster.Apply(NumberedDocument(3, "newer"), {isolated});
  ASSERT_EQ(newer.m_outcome, ApplyOutcome::kAccepted);
  m_accepted.push_back(newer.m_accepted);
  m_cluster.Heal(isolated);
  m_cluster.WaitForDocument(isolated, 3);
  ExpectAllInHistory();
  const auto healed = m_cluster.StatusOf(isolated);
  ASSERT_TRUE(healed);
  EXPECT_TRUE(healed->m_state.m_drains.empty());
}

// Guards against an age of the configuration that starts again with each
// candidacy: the subscribers of an isolated host then take its configuration to
// be current.
TEST_F(ControlProcesses, AgeOfAnIsolatedHostGrows) {
  m_cluster.StartAll();
  ApplyDocuments(1, 1);
  const int follower = (m_cluster.WaitForLeader() + 1) % 3;
  m_cluster.WaitForDocument(follower, 1);
  m_cluster.Isolate(follower);
  // Several times the longest election timeout of the cluster, which is 1 s.
  constexpr std::uint64_t kAgeMs = 4000;
  WaitUntil("the follower reports an age beyond its election timeouts", [&] {
    const std::string metrics =
        m_cluster.Call(follower, "GET", "/metrics").m_body;
    const std::string name = "\njujube_feed_age_milliseconds ";
    const std::size_t position = metrics.find(name);
    return position != std::string::npos &&
           std::stoull(metrics.substr(position + name.size())) > kAgeMs;
  });
  m_cluster.Heal(follower);
}

// ---- Operators -------------------------------------------------------------

// Guards against two concurrent documents with the same number that are both
// accepted, and against a conflict that does not name the accepted one.
TEST_F(ControlProcesses, OfTwoOperatorsWithTheSameNumberOneWins) {
  m_cluster.StartAll();
  for (std::uint64_t number = 1; number <= 10; ++number) {
    const std::vector<std::string> names = {"ana", "ben"};
    std::vector<ApplyAnswer> answers(2);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < 2; ++i) {
      operators.emplace_back([&, i] {
        answers[i] =
            m_cluster.Apply(NumberedDocument(number, names[i]), {}, names[i]);
      });
    }
    for (std::thread& one : operators)
      one.join();
    const std::size_t winner =
        answers[0].m_outcome == ApplyOutcome::kAccepted ? 0 : 1;
    EXPECT_EQ(answers[winner].m_outcome, ApplyOutcome::kAccepted);
    EXPECT_EQ(answers[1 - winner].m_outcome, ApplyOutcome::kConflict);
    EXPECT_EQ(answers[1 - winner].m_accepted, answers[winner].m_accepted);
    EXPECT_EQ(answers[winner].m_accepted.m_operator_name, names[winner]);
    m_accepted.push_back(answers[winner].m_accepted);
  }
  ExpectAllInHistory();
}

// Guards against a document that is refused or accepted a second time when it
// is sent again because its response was lost.
TEST_F(ControlProcesses, ResendAfterALostResponseGetsTheSameAnswer) {
  m_cluster.StartAll();
  ApplyDocuments(1, 1);
  const std::string body = ToText(NumberedDocument(2));
  const std::string request =
      "POST /v1/apply HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer operator "
      "key of the process tests\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  // Ignores the response, as if it were lost.
  WaitUntil("the document is accepted", [&] {
    SendBytes(m_cluster.OperatorEndpoint(m_cluster.WaitForLeader()), request);
    return m_cluster.History().back().m_number == 2;
  });
  const HistoryEntry first = m_cluster.History().back();
  const ApplyAnswer again = m_cluster.Apply(NumberedDocument(2));
  EXPECT_EQ(again.m_outcome, ApplyOutcome::kAccepted);
  EXPECT_EQ(again.m_accepted, first);
  // Another leader gives the same answer.
  m_cluster.Host(m_cluster.WaitForLeader()).Kill();
  EXPECT_EQ(m_cluster.Apply(NumberedDocument(2)), again);
}

// Guards against invalid input on the peer or operator port that ends a daemon.
TEST_F(ControlProcesses, GarbageEndsNoProcess) {
  m_cluster.StartAll();
  ApplyDocuments(1, 1);
  const std::string authorization =
      "Authorization: Bearer operator key of the process tests\r\n";
  const std::vector<std::string> garbage = {
      std::string(1, '\0'),
      std::string(100000, '\xff'),
      std::string(100000, 'A') + "\r\n\r\n",
      "GET /v1/status HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST /v1/apply HTTP/1.1\r\n" + authorization +
          "Content-Length: 99999999999999\r\n\r\n{",
      "POST /v1/apply HTTP/1.1\r\n" + authorization +
          "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
      "POST /v1/members HTTP/1.1\r\n" + authorization +
          "Content-Length: 5\r\n\r\n[[[[["};
  for (int host = 0; host < 3; ++host) {
    for (const std::string& bytes : garbage) {
      EXPECT_TRUE(SendBytes(m_cluster.PeerEndpoint(host), bytes));
      EXPECT_TRUE(SendBytes(m_cluster.OperatorEndpoint(host), bytes));
    }
    const OperatorReply reply =
        m_cluster.Call(host, "POST", "/v1/apply", "{\"number\": \"x\"}");
    EXPECT_NE(reply.m_status, 0);
    EXPECT_NE(reply.m_status, 200);
  }
  for (int host = 0; host < 3; ++host) {
    EXPECT_TRUE(m_cluster.Host(host).IsRunning());
    EXPECT_TRUE(m_cluster.Host(host).HasLogged("HandshakeFailed"));
  }
  ApplyDocuments(2, 2);
  ExpectAllInHistory();
}

// ---- Planned stop ----------------------------------------------------------

// Guards against a planned stop after which the cluster has no leader until an
// election timeout expires.
TEST(ControlPlannedStop, LeaderHandsOverBeforeItExits) {
  // Long enough that an election without a handover cannot end before the exit.
  ControlCluster cluster({.m_election_timeout_ms = 3000});
  cluster.StartAll();
  const Deployment document = NumberedDocument(1);
  EXPECT_EQ(cluster.Apply(document).m_outcome, ApplyOutcome::kAccepted);
  const int leader = cluster.WaitForLeader();
  cluster.Host(leader).Terminate();
  EXPECT_EQ(cluster.Host(leader).Wait(), 0);
  int leaders = 0;
  for (int host = 0; host < 3; ++host) {
    if (host == leader)
      continue;
    const auto status = cluster.StatusOf(host);
    leaders += status && status->m_role == "leader" ? 1 : 0;
  }
  EXPECT_EQ(leaders, 1);
  EXPECT_EQ(cluster.History({leader}).size(), 1U);
}

}  // namespace
}  // namespace jujube::process
