// ChildProcess: a running program of the build folder, started by a test.

#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace jujube::process {

// The destructor kills the process; the kernel kills it if the test process
// ends first.
class ChildProcess {
 public:
  // Appends standard output and standard error to the log file.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               std::string log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Id() const { return m_id; }
  bool IsRunning();

  void Terminate();  // SIGTERM; does not wait
  void Reload();     // SIGHUP; does not wait
  void Freeze();     // SIGSTOP; returns when the process is stopped
  void Resume();     // SIGCONT
  void Kill();       // SIGKILL, and waits

  // Waits for the process to exit. Returns the exit code, or 128 plus the
  // number of the signal that ended it.
  int Wait();

  // Returns the log file, which includes earlier runs with the same path.
  std::string Log() const;
  bool HasLogged(const std::string& text) const;

 private:
  void Signal(int signal) const;

  const std::string m_log_path;
  pid_t m_id = -1;
  std::optional<int> m_exit_code;
};

}  // namespace jujube::process
