// PosixDisk: a Disk in a directory of the file system, locked by one process at
// a time.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "storage/disk.h"

namespace jujube::storage {

class PosixDisk {
 public:
  // Creates the folder if it does not exist, and locks it. The parent folder
  // must exist and is not synced. Fails with kInUse if the lock call fails for
  // any reason, usually because another process has locked the folder.
  static StorageResult<PosixDisk> Open(const std::string& folder);

  PosixDisk(PosixDisk&& other) noexcept;
  PosixDisk& operator=(PosixDisk&& other) noexcept;
  PosixDisk(const PosixDisk&) = delete;
  PosixDisk& operator=(const PosixDisk&) = delete;
  ~PosixDisk();

  StorageResult<std::vector<std::string>> List();
  StorageResult<std::uint64_t> Size(const std::string& name);
  StorageResult<std::string> Read(const std::string& name,
                                  std::uint64_t offset,
                                  std::uint64_t size);
  StorageStatus Append(const std::string& name, std::string_view bytes);
  StorageStatus Truncate(const std::string& name, std::uint64_t size);
  StorageStatus Sync(const std::string& name);
  StorageStatus Rename(const std::string& from, const std::string& to);
  StorageStatus Remove(const std::string& name);
  StorageStatus SyncFolder();

 private:
  PosixDisk() = default;
  // Descriptor of a file, which is opened if necessary.
  StorageResult<int> FileDescriptor(const std::string& name, bool create);
  void CloseFile(const std::string& name);
  void CloseAll();

  int m_folder_fd = -1;
  int m_lock_fd = -1;
  std::map<std::string, int> m_file_fds;  // open files by name
};

static_assert(Disk<PosixDisk>);

}  // namespace jujube::storage
