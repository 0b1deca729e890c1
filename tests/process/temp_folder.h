// TempFolder: a temporary folder. The destructor removes it with its contents
// unless the environment variable JUJUBE_KEEP_FOLDERS is set.

#pragma once

#include <string>
#include <string_view>

namespace jujube::process {

class TempFolder {
 public:
  TempFolder();
  ~TempFolder();
  TempFolder(const TempFolder&) = delete;
  TempFolder& operator=(const TempFolder&) = delete;

  const std::string& Path() const { return m_path; }
  // Returns the path of a file in the folder.
  std::string File(std::string_view name) const;
  // Writes a file and returns its path.
  std::string Write(std::string_view name, std::string_view text) const;

 private:
  std::string m_path;
};

}  // namespace jujube::process
