// CtlTest: a test fixture that starts control daemons and runs jujubectl.

#pragma once

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <gtest/gtest.h>
#include <boost/json.hpp>

extern char** environ;
#include "gen/types_json.h"
#include "process/process_harness.h"

namespace jujube::testing {

struct ProgramResult {
  int m_exit_code = -1;
  std::string m_out;
  std::string m_error;
};

inline std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void WriteText(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

// Starts a program that appends its output to files. Returns -1 on failure.
inline pid_t StartProgram(const std::string& program,
                          std::vector<std::string> arguments,
                          const std::string& out,
                          const std::string& error) {
  arguments.insert(arguments.begin(), program);
  std::vector<char*> argv;
  for (std::string& argument : arguments)
    argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr int kFlags = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, out.c_str(), kFlags,
                                   0600);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, error.c_str(),
                                   kFlags, 0600);
  pid_t pid = -1;
  const int spawn_error = posix_spawn(&pid, program.c_str(), &actions, nullptr,
                                      argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  EXPECT_EQ(spawn_error, 0) << program;
  return spawn_error == 0 ? pid : -1;
}

inline int WaitForExit(pid_t pid) {
  int status = 0;
  if (pid <= 0 || ::waitpid(pid, &status, 0) != pid)
    return -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

// Starts three control daemons in a temporary folder, which is removed after
// the test.
class CtlTest : public ::testing::Test {
 protected:
  static constexpr std::size_t kHosts = 3;

  void SetUp() override {
    std::string folder =
        (std::filesystem::temp_directory_path() / "jujube-ctl-XXXXXX").string();
    ASSERT_NE(::mkdtemp(folder.data()), nullptr);
    m_folder = folder;
    WriteText(Path("peer.key"), "peer-key-of-the-ctl-test\n");
    WriteText(Path("operator.key"), "operator-key-of-the-ctl-test\n");
    for (std::size_t i = 0; i < 2 * kHosts; ++i)
      m_endpoints.push_back(process::ReserveEndpoint());
    m_daemons.assign(kHosts, -1);
    for (std::size_t i = 0; i < kHosts; ++i)
      StartControl(i, "data-" + std::to_string(i), false);
  }

  void TearDown() override {
    for (std::size_t i = 0; i < kHosts; ++i)
      StopControl(i, SIGTERM);
    if (HasFailure()) {
      for (std::size_t i = 0; i < kHosts; ++i)
        std::cerr << ReadText(Path("control-" + std::to_string(i) + ".log"));
    }
    std::filesystem::remove_all(m_folder);
  }

  std::string Path(const std::string& name) const {
    return m_folder + "/" + name;
  }
  static std::string HostName(std::size_t host) {
    return "control-" + std::to_string(host + 1);
  }
  std::string OperatorAddress(std::size_t host) const {
    return process::ToText(m_endpoints[2 * host + 1]);
  }

  void StartControl(std::size_t host, const std::string& data, bool join) {
    boost::json::array peers;
    for (std::size_t i = 0; i < kHosts; ++i) {
      peers.push_back({{"host", HostName(i)},
                       {"peer", ToJson(m_endpoints[2 * i])},
                       {"operator", ToJson(m_endpoints[2 * i + 1])}});
    }
    const boost::json::object settings{
        {"host", HostName(host)},
        {"availability_zone", "luz-a"},
        {"peers", peers},
        {"data_folder", Path(data)},
        {"join", join},
        {"peer_key_file", Path("peer.key")},
        {"operator_key_file", Path("operator.key")}};
    const std::string name = "control-" + std::to_string(host);
    WriteText(Path(name + ".json"), boost::json::serialize(settings));
    m_daemons[host] =
        StartProgram(std::string(JUJUBE_BIN_DIR) + "/jujube-controld",
                     {"--settings", Path(name + ".json")}, Path(name + ".log"),
                     Path(name + ".log"));
  }

  void StopControl(std::size_t host, int signal) {
    if (m_daemons[host] <= 0)
      return;
    // A stopped process would not handle SIGTERM.
    ::kill(m_daemons[host], SIGCONT);
    ::kill(m_daemons[host], signal);
    WaitForExit(m_daemons[host]);
    m_daemons[host] = -1;
  }

  void SignalControl(std::size_t host, int signal) {
    ::kill(m_daemons[host], signal);
  }

  // Runs jujubectl without --control, --key_file and --operator.
  ProgramResult RunCtlWithoutCluster(
      const std::vector<std::string>& arguments) {
    const std::string base = Path("run-" + std::to_string(m_run_count++));
    const pid_t pid = StartProgram(std::string(JUJUBE_BIN_DIR) + "/jujubectl",
                                   arguments, base + ".out", base + ".err");
    const int exit_code = WaitForExit(pid);
    return {.m_exit_code = exit_code,
            .m_out = ReadText(base + ".out"),
            .m_error = ReadText(base + ".err")};
  }

  // Runs jujubectl with a host list that begins with `first`. jujubectl itself
  // waits for an election.
  ProgramResult RunCtlFrom(std::size_t first,
                           std::vector<std::string> arguments) {
    std::string control;
    for (std::size_t i = 0; i < kHosts; ++i)
      control += (i > 0 ? "," : "") + OperatorAddress((first + i) % kHosts);
    arguments.insert(arguments.begin(),
                     {"--control=" + control,
                      "--key_file=" + Path("operator.key"), "--operator=ana"});
    return RunCtlWithoutCluster(arguments);
  }
  ProgramResult RunCtl(std::vector<std::string> arguments) {
    return RunCtlFrom(0, std::move(arguments));
  }

  // Runs the command with --json and returns the parsed output.
  boost::json::object RunCtlJson(std::vector<std::string> arguments) {
    arguments.emplace_back("--json");
    const ProgramResult result = RunCtl(std::move(arguments));
    boost::json::error_code error;
    const boost::json::value json = boost::json::parse(result.m_out, error);
    EXPECT_FALSE(error) << result.m_out << result.m_error;
    return json.is_object() ? json.get_object() : boost::json::object();
  }

  // Returns the status of a control host, or nullptr if it did not answer.
  static const boost::json::object* StatusOfHost(
      const boost::json::object& report,
      std::size_t host) {
    const auto& host_report =
        report.at("hosts").as_array().at(host).as_object();
    const auto* status = host_report.if_contains("status");
    return status != nullptr ? &status->as_object() : nullptr;
  }

  // Repeats `jujubectl status` until the predicate holds for its report. Only
  // the time limit of the test runner bounds the wait.
  template <class Predicate>
  boost::json::object WaitForStatus(Predicate predicate) {
    while (true) {
      boost::json::object report = RunCtlJson({"status", "--timeout_ms=5000"});
      if (predicate(report))
        return report;
      ::usleep(kPollMicroseconds);
    }
  }

  std::size_t WaitForLeader() {
    std::size_t leader = 0;
    WaitForStatus([&](const boost::json::object& report) {
      for (std::size_t i = 0; i < kHosts; ++i) {
        const auto* state = StatusOfHost(report, i);
        if (state != nullptr && state->at("role") == "leader") {
          leader = i;
          return true;
        }
      }
      return false;
    });
    return leader;
  }

  // Writes a valid document and returns its path. A different max_in_progress
  // makes a different document with the same number.
  std::string WriteDocument(int number, int max_in_progress = 40) {
    const std::string path = Path("doc-" + std::to_string(number) + "-" +
                                  std::to_string(max_in_progress) + ".json");
    WriteText(path, R"({"number":)" + std::to_string(number) +
                        R"(,"name":"sample","regions":[{"name":"luzon",)"
                        R"("max_in_progress":)" +
                        std::to_string(max_in_progress) +
                        R"(}],"availability_zones":[{"name":"luz-a",)"
                        R"("region":"luzon"}],"sites":[{"name":"depot-1",)"
                        R"("availability_zone":"luz-a"}],"entry_hosts":[)"
                        R"({"name":"e1","availability_zone":"luz-a",)"
                        R"("caller":{"port":7001},"peer":{"port":7002}}],)"
                        R"("services":[{"name":"pumplog"}],"blocks":[)"
                        R"({"prefix":"10.1.0.0/16","site":"depot-1"}]})");
    return path;
  }

  static constexpr unsigned kPollMicroseconds = 50000;

  std::string m_folder;
  std::vector<Endpoint> m_endpoints;  // peer and operator listener of each host
  std::vector<pid_t> m_daemons;
  int m_run_count = 0;
};

}  // namespace jujube::testing
