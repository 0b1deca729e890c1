#include "process/request_child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace jujube::testing {

namespace {

constexpr int kSignalBase = 128;
constexpr int kExecFailedExitCode = 127;

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command)
    arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  m_id = ::fork();
  if (m_id != 0)
    return;
  // Daemons end with the test process, also when the test runner kills it at
  // its time limit.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log_fd = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
  ::dup2(log_fd, STDOUT_FILENO);
  ::dup2(log_fd, STDERR_FILENO);
  ::execv(arguments[0], arguments.data());
  ::_exit(kExecFailedExitCode);
}

ChildProcess::~ChildProcess() {
  Kill();
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_id(std::exchange(other.m_id, -1)), m_exit_code(other.m_exit_code) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  Kill();
  m_id = std::exchange(other.m_id, -1);
  m_exit_code = other.m_exit_code;
  return *this;
}

void ChildProcess::SetExitCode(int status) {
  m_exit_code =
      WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  m_id = -1;
}

bool ChildProcess::IsRunning() {
  int status = 0;
  if (m_id > 0 && ::waitpid(m_id, &status, WNOHANG) == m_id)
    SetExitCode(status);
  return m_id > 0;
}

void ChildProcess::Signal(int number) const {
  if (m_id > 0)
    ::kill(m_id, number);
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Wait();
}

int ChildProcess::Wait() {
  int status = 0;
  if (m_id > 0 && ::waitpid(m_id, &status, 0) == m_id)
    SetExitCode(status);
  return m_exit_code;
}

}  // namespace jujube::testing
