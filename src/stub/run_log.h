// RunLog: writes a line for each request that a stub upstream starts to run.
// Tests count the lines to check that a request ran at most once.

#pragma once

#include <string>

namespace jujube::stub {

class RunLog {
 public:
  // An empty path disables the log, and so does a file that cannot be opened.
  explicit RunLog(const std::string& path);
  ~RunLog();
  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  // Appends the line with a single write, so that lines of several processes do
  // not interleave and are kept if this process is killed.
  void Append(const std::string& line) const;

 private:
  int m_fd = -1;
};

}  // namespace jujube::stub
