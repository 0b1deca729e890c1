// ChildProcess: a daemon started by a test. The destructor kills it. Unlike
// process::ChildProcess, it can be moved and default-constructed.

#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace jujube::testing {

class ChildProcess {
 public:
  ChildProcess() = default;
  // Appends standard output and standard error to the file `log`.
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t Id() const { return m_id; }
  bool IsRunning();
  void Signal(int number) const;  // no effect after it has exited
  void Kill();                    // SIGKILL, and waits
  // Waits for the process to exit. Returns the exit code, or 128 plus the
  // number of the signal that ended it; -1 if no process was started.
  int Wait();

 private:
  void SetExitCode(int status);

  pid_t m_id = -1;
  int m_exit_code = -1;
};

}  // namespace jujube::testing
