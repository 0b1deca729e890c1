#include "storage/posix_disk.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

namespace jujube::storage {

namespace {

constexpr const char* kLockName = "lock";
constexpr int kFolderMode = 0700;
constexpr int kFileMode = 0600;

StorageError SystemError(const std::string& what, int code) {
  const bool full = code == ENOSPC || code == EDQUOT || code == EFBIG;
  StorageFault fault = full ? StorageFault::kFull : StorageFault::kIo;
  if (code == ENOENT)
    fault = StorageFault::kNotFound;
  return MakeStorageError(fault,
                          what + ": " + std::generic_category().message(code));
}

StorageError SyncError(const std::string& what, int code) {
  return MakeStorageError(
      StorageFault::kSyncFailed,
      "sync of " + what + ": " + std::generic_category().message(code));
}

}  // namespace

StorageResult<PosixDisk> PosixDisk::Open(const std::string& folder) {
  if (::mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST)
    return SystemError("creation of " + folder, errno);
  PosixDisk disk;
  disk.m_folder =
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);  // NOLINT
  if (disk.m_folder < 0)
    return SystemError(folder, errno);
  disk.m_lock = ::openat(disk.m_folder, kLockName,  // NOLINT
                         O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (disk.m_lock < 0)
    return SystemError(folder + "/" + kLockName, errno);
  if (::flock(disk.m_lock, LOCK_EX | LOCK_NB) != 0) {
    return MakeStorageError(StorageFault::kInUse,
                            folder + " is held by another process");
  }
  return disk;
}

PosixDisk::PosixDisk(PosixDisk&& other) noexcept
    : m_folder(std::exchange(other.m_folder, -1)),
      m_lock(std::exchange(other.m_lock, -1)),
      m_files(std::exchange(other.m_files, {})) {}

PosixDisk& PosixDisk::operator=(PosixDisk&& other) noexcept {
  if (this != &other) {
    Close();
    m_folder = std::exchange(other.m_folder, -1);
    m_lock = std::exchange(other.m_lock, -1);
    m_files = std::exchange(other.m_files, {});
  }
  return *this;
}

PosixDisk::~PosixDisk() {
  Close();
}

void PosixDisk::Close() {
  for (const auto& [name, file] : m_files)
    ::close(file);
  m_files.clear();
  if (m_lock >= 0)
    ::close(std::exchange(m_lock, -1));
  if (m_folder >= 0)
    ::close(std::exchange(m_folder, -1));
}

// Descriptors stay open between write and sync, since a write-back error is
// reported to the descriptors that were open when it happened.
StorageResult<int> PosixDisk::Descriptor(const std::string& name, bool create) {
  const auto found = m_files.find(name);
  if (found != m_files.end())
    return found->second;
  const int flags = O_RDWR | O_APPEND | O_CLOEXEC | (create ? O_CREAT : 0);
  const int file =
      ::openat(m_folder, name.c_str(), flags, kFileMode);  // NOLINT
  if (file < 0)
    return SystemError(name, errno);
  m_files.emplace(name, file);
  return file;
}

void PosixDisk::Forget(const std::string& name) {
  const auto found = m_files.find(name);
  if (found == m_files.end())
    return;
  ::close(found->second);
  m_files.erase(found);
}

StorageResult<std::vector<std::string>> PosixDisk::List() {
  const int copy = ::openat(m_folder, ".",  // NOLINT
                            O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (copy < 0)
    return SystemError("folder", errno);
  DIR* folder = ::fdopendir(copy);
  if (folder == nullptr) {
    const int code = errno;
    ::close(copy);
    return SystemError("folder", code);
  }
  std::vector<std::string> names;
  while (const dirent* entry = ::readdir(folder)) {  // NOLINT
    std::string name(static_cast<const char*>(entry->d_name));
    if (name != "." && name != ".." && name != kLockName)
      names.push_back(std::move(name));
  }
  ::closedir(folder);
  return names;
}

StorageResult<std::uint64_t> PosixDisk::Size(const std::string& name) {
  struct stat status {};
  if (::fstatat(m_folder, name.c_str(), &status, 0) != 0)
    return SystemError(name, errno);
  return static_cast<std::uint64_t>(status.st_size);
}

StorageResult<std::string> PosixDisk::Read(const std::string& name,
                                           std::uint64_t offset,
                                           std::uint64_t size) {
  JUJUBE_TRY(const int file, Descriptor(name, false));
  JUJUBE_TRY(const std::uint64_t total, Size(name));
  const std::uint64_t rest = offset < total ? total - offset : 0;
  std::string bytes(static_cast<std::size_t>(size < rest ? size : rest), '\0');
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count =
        ::pread(file, bytes.data() + done, bytes.size() - done,
                static_cast<off_t>(offset + done));
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return SystemError(name, errno);
    if (count == 0)
      break;
    done += static_cast<std::size_t>(count);
  }
  bytes.resize(done);
  return bytes;
}

StorageStatus PosixDisk::Append(const std::string& name,
                                std::string_view bytes) {
  JUJUBE_TRY(const int file, Descriptor(name, true));
  while (!bytes.empty()) {
    const ssize_t count = ::write(file, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return SystemError(name, errno);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return StorageSuccess();
}

StorageStatus PosixDisk::Truncate(const std::string& name, std::uint64_t size) {
  JUJUBE_TRY(const int file, Descriptor(name, false));
  if (::ftruncate(file, static_cast<off_t>(size)) != 0)
    return SystemError(name, errno);
  return StorageSuccess();
}

StorageStatus PosixDisk::Sync(const std::string& name) {
  JUJUBE_TRY(const int file, Descriptor(name, false));
  if (::fdatasync(file) != 0)
    return SyncError(name, errno);
  return StorageSuccess();
}

StorageStatus PosixDisk::Rename(const std::string& from,
                                const std::string& to) {
  Forget(from);
  Forget(to);
  if (::renameat(m_folder, from.c_str(), m_folder, to.c_str()) != 0)
    return SystemError(from, errno);
  return StorageSuccess();
}

StorageStatus PosixDisk::Remove(const std::string& name) {
  Forget(name);
  if (::unlinkat(m_folder, name.c_str(), 0) != 0)
    return SystemError(name, errno);
  return StorageSuccess();
}

StorageStatus PosixDisk::SyncFolder() {
  if (::fsync(m_folder) != 0)
    return SyncError("folder", errno);
  return StorageSuccess();
}

}  // namespace jujube::storage
