// TempFolder: a folder for one test, removed with its contents.

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
  // Path of a name in the folder.
  std::string File(std::string_view name) const;
  // Writes a file and returns its path.
  std::string Write(std::string_view name, std::string_view text) const;

 private:
  std::string m_path;
};

}  // namespace jujube::process
