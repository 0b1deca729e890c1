#include "process/temp_folder.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace jujube::process {

TempFolder::TempFolder()
    : m_path(
          (std::filesystem::temp_directory_path() / "jujube-XXXXXX").string()) {
  if (mkdtemp(m_path.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder");
}

TempFolder::~TempFolder() {
  // Lets a developer inspect the logs of a failed test.
  if (std::getenv("JUJUBE_KEEP_FOLDERS") != nullptr)
    return;
  std::error_code ignored;
  std::filesystem::remove_all(m_path, ignored);
}

std::string TempFolder::File(std::string_view name) const {
  return m_path + "/" + std::string(name);
}

std::string TempFolder::Write(std::string_view name,
                              std::string_view text) const {
  std::ofstream file(File(name), std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file)
    throw std::runtime_error("cannot write " + File(name));
  return File(name);
}

}  // namespace jujube::process
