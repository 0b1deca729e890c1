#include "process/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <utility>

#include "process/process_harness.h"

namespace jujube::process {

namespace {

constexpr int kSignalBase = 128;

int ExitCodeOf(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalBase + WTERMSIG(status);
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           std::string log_path)
    : m_log_path(std::move(log_path)) {
  std::string path = std::string(JUJUBE_BIN_DIR) + "/" + program;
  std::vector<std::string> words = arguments;
  words.insert(words.begin(), path);
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words)
    argv.push_back(word.data());
  argv.push_back(nullptr);
  const int log =
      open(m_log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log < 0)
    throw std::runtime_error("cannot open " + m_log_path);
  const pid_t parent = getpid();
  m_id = fork();
  if (m_id == 0) {
    // Only async-signal-safe calls: other threads may hold locks.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(EXIT_FAILURE);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // Asio opens sockets without CLOEXEC. A connection of a relay would stay
    // open for its peer as long as a child has inherited it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(argv[0], argv.data());
    _exit(EXIT_FAILURE);
  }
  close(log);
  if (m_id < 0)
    throw std::runtime_error("cannot start " + path);
}

ChildProcess::~ChildProcess() {
  Kill();
}

bool ChildProcess::IsRunning() {
  if (m_exit_code)
    return false;
  int status = 0;
  if (waitpid(m_id, &status, WNOHANG) == m_id)
    m_exit_code = ExitCodeOf(status);
  return !m_exit_code;
}

void ChildProcess::Signal(int signal) const {
  // After waitpid() the kernel may have reused the id for another process.
  if (!m_exit_code)
    kill(m_id, signal);
}

void ChildProcess::Terminate() {
  Signal(SIGTERM);
}

void ChildProcess::Reload() {
  Signal(SIGHUP);
}

void ChildProcess::Freeze() {
  Signal(SIGSTOP);
  int status = 0;
  if (!m_exit_code && waitpid(m_id, &status, WUNTRACED) == m_id &&
      !WIFSTOPPED(status))
    m_exit_code = ExitCodeOf(status);
}

void ChildProcess::Resume() {
  Signal(SIGCONT);
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Wait();
}

int ChildProcess::Wait() {
  int status = 0;
  while (!m_exit_code) {
    if (waitpid(m_id, &status, 0) == m_id)
      m_exit_code = ExitCodeOf(status);
    else if (errno != EINTR)
      throw std::runtime_error("waitpid() failed for a child process");
  }
  return *m_exit_code;
}

std::string ChildProcess::Log() const {
  return ReadText(m_log_path);
}

bool ChildProcess::HasLogged(const std::string& text) const {
  return Log().find(text) != std::string::npos;
}

}  // namespace jujube::process
