#include "stub/run_log.h"

#include <fcntl.h>
#include <unistd.h>

namespace jujube::stub {

RunLog::RunLog(const std::string& path) {
  if (!path.empty())
    m_fd =
        ::open(path.c_str(), O_CREAT | O_APPEND | O_WRONLY | O_CLOEXEC, 0644);
}

RunLog::~RunLog() {
  if (m_fd >= 0)
    ::close(m_fd);
}

void RunLog::Append(const std::string& line) const {
  if (m_fd < 0)
    return;
  const std::string text = line + "\n";
  [[maybe_unused]] const ssize_t count =
      ::write(m_fd, text.data(), text.size());
}

}  // namespace jujube::stub
