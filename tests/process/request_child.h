// ChildProcess: a daemon that a test started. Killed when it goes out of scope.

#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace jujube::testing {

class ChildProcess {
 public:
  ChildProcess() = default;
  // Appends its output to `log`.
  ChildProcess(const std::vector<std::string>& command, const std::string& log);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool IsRunning();
  void Signal(int number) const;  // nothing once it has ended
  void Kill();                    // SIGKILL, and waits for its end
  int Wait();                     // exit code, or 128 + number of the signal

 private:
  void KeepStatus(int status);

  pid_t m_id = -1;
  int m_exit_code = -1;
};

}  // namespace jujube::testing
