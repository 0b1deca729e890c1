// ChildProcess: a program of the build folder that a test started.

#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace jujube::process {

// It is killed by the destructor, and by the kernel if the test process dies.
class ChildProcess {
 public:
  // Both output streams are appended to the log file.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               std::string log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Id() const { return m_id; }
  bool IsRunning();

  void Terminate();  // SIGTERM; does not wait
  void Freeze();     // SIGSTOP; returns when the process is stopped
  void Resume();     // SIGCONT
  void Kill();       // SIGKILL, and waits

  // Waits for the end. Returns the exit code, or 128 plus the signal.
  int Wait();

  // What the process has written so far, earlier runs with this file included.
  std::string Log() const;
  bool HasLogged(const std::string& text) const;

 private:
  void Signal(int signal) const;

  const std::string m_log_path;
  pid_t m_id = -1;
  std::optional<int> m_exit_code;
};

}  // namespace jujube::process
