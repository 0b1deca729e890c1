// RequestSystem: control daemons, entry daemons and stub upstreams with a
// temporary folder. They listen on a loopback address that no other test uses.
// The destructor kills them and removes the folder unless the environment
// variable JUJUBE_KEEP_FOLDERS is set.
//
//   RequestSystem system({.m_entries = 2});
//   system.StartUpstream("u1");
//   system.WaitUntilServing();
//   const Answer answer = system.Send(0, {.m_target = "/s/log/x"});
//
// Waits are unbounded; the time limit of the test runner ends a test that
// hangs.

#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "gen/deployment.h"
#include "gen/lookup.h"
#include "gen/membership.h"
#include "gen/settings.h"
#include "gen/status.h"
#include "net/http_call.h"
#include "process/request_child.h"
#include "process/tcp_relay.h"

namespace jujube::testing {

struct SystemOptions {
  std::size_t m_controls = 1;
  std::size_t m_entries = 2;
  std::uint32_t m_region_cap = 60;  // requests in progress
  std::chrono::milliseconds m_connect_timeout{250};
  std::chrono::milliseconds m_drain_limit{60000};
  std::optional<std::chrono::milliseconds> m_stop_limit;
  // A planned stop waits for look-ups to expire.
  std::chrono::milliseconds m_lookup_lifetime{1000};
  std::vector<Tenant> m_tenants;
  // If set, entry hosts discover the control hosts, each through a TcpRelay.
  // Claims of non-repeatable requests are not available then.
  std::optional<std::chrono::milliseconds> m_key_lease;
};

// The response that a caller received; status 0 if it was missing or truncated.
struct Answer {
  std::uint16_t m_status = 0;
  std::string m_verdict;
  bool m_is_replayed = false;
  std::string m_body;
};

struct UpstreamOptions {
  std::uint16_t m_slots = 12;
  bool m_announces = true;  // false: the test announces the instance itself
};

class RequestSystem {
 public:
  explicit RequestSystem(const SystemOptions& options = {});
  ~RequestSystem();
  RequestSystem(const RequestSystem&) = delete;
  RequestSystem& operator=(const RequestSystem&) = delete;

  // ---- Processes
  ChildProcess& Entry(std::size_t index) { return m_entries[index]; }
  ChildProcess& Control(std::size_t index) { return m_controls[index]; }
  ChildProcess& Upstream(const std::string& name) { return m_upstreams[name]; }
  std::size_t EntryCount() const { return m_entries.size(); }
  std::size_t ControlCount() const { return m_controls.size(); }
  void StartUpstream(const std::string& name,
                     const UpstreamOptions& options = {});
  ChildProcess StartCaller(const std::vector<std::string>& flags,
                           const std::string& output);
  std::size_t LeaderIndex();  // waits for a leader
  // Kill the processes, if they run, and start them again.
  void RestartEntries();
  void RestartControls();

  // ---- Documents
  const Deployment& Document() const { return m_deployment; }
  // Applies the document at the leader, repeatedly until it is acknowledged.
  void Apply(const Deployment& document);

  // ---- Connections of an entry host to all control hosts, with a key lease
  void CutOff(std::size_t entry);  // without closing them
  void Reconnect(std::size_t entry);

  // ---- Addresses
  const EntrySettings& SettingsOfEntry(std::size_t index) const {
    return m_entry_settings[index];
  }
  const ControlSettings& SettingsOfControl(std::size_t index) const {
    return m_control_settings[index];
  }
  const Endpoint& UpstreamEndpoint(const std::string& name) const {
    return m_upstream_settings.at(name).m_listen;
  }
  std::string Path(const std::string& name) const {
    return m_folder + "/" + name;
  }

  // ---- Requests
  Answer Send(std::size_t entry, const net::HttpRequest& request) const;
  // Sends a POST request to the service "log", where POST is non-repeatable.
  Answer Post(std::size_t entry,
              const std::string& path,
              const std::string& key,
              const std::string& body = "litres=40",
              std::vector<Header> extra_headers = {}) const;
  // Repeats the request while the response is 503 or contains "is in progress",
  // so until the claim of an earlier attempt is settled.
  Answer PostUntilClaimSettled(std::size_t entry,
                               const std::string& path,
                               const std::string& key) const;
  // Returns a unique key that was issued `age` ago; a negative age is a time in
  // the future.
  std::string NewIdempotencyKey(std::chrono::milliseconds age = {});
  Answer CallOperator(const Endpoint& endpoint, net::HttpRequest request) const;
  Answer Announce(std::size_t entry,
                  const Announcement& announcement,
                  const std::string& key) const;
  Announcement AnnouncementOf(const std::string& instance,
                              const Endpoint& endpoint) const;
  std::optional<EntryStatus> StatusOf(std::size_t entry) const;
  LookupAnswer Lookup(std::size_t entry) const;

  // ---- Conditions
  // Waits until every entry host may use at least `slots` slots of "log".
  void WaitUntilServing(std::uint32_t slots = 1) const;
  // RunLines() returns the lines of the run log that contain `target`, and
  // RunCount() their number. An upstream appends a line when it begins to run a
  // request; the line ends with the name of the instance.
  std::size_t RunCount(const std::string& target) const;
  std::vector<std::string> RunLines(const std::string& target) const;

  static void WaitUntil(const std::function<bool()>& condition) {
    while (!condition())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

 private:
  std::string Write(const std::string& name, const std::string& text) const;
  void CreateHostSettings(const SystemOptions& options);
  void CreateDeployment(const SystemOptions& options);
  void StartControls();
  void StartEntries();
  std::vector<Endpoint> ConnectThroughRelays(
      const std::vector<Endpoint>& controls);

  std::string m_folder;
  std::uint64_t m_last_key_suffix = 10'000'000;
  Deployment m_deployment;
  // By entry host, one for each control host.
  std::vector<std::vector<std::unique_ptr<process::TcpRelay>>> m_relays;
  std::vector<ControlSettings> m_control_settings;
  std::vector<EntrySettings> m_entry_settings;
  std::map<std::string, UpstreamSettings> m_upstream_settings;
  std::vector<ChildProcess> m_controls;
  std::vector<ChildProcess> m_entries;
  std::map<std::string, ChildProcess> m_upstreams;
};

inline constexpr char kPeerKey[] = "peer key of the request tests";
inline constexpr char kPlatformKey[] = "platform key of the request tests";
inline constexpr char kOperatorKey[] = "operator key of the request tests";

}  // namespace jujube::testing
