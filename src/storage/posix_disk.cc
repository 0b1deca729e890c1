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

constexpr const char* kLockFile = "lock";
constexpr int kFolderMode = 0700;
constexpr int kFileMode = 0600;

StorageError SystemError(const std::string& context, int code) {
  const bool is_full = code == ENOSPC || code == EDQUOT || code == EFBIG;
  StorageFault fault = is_full ? StorageFault::kFull : StorageFault::kIo;
  if (code == ENOENT)
    fault = StorageFault::kNotFound;
  return MakeStorageError(
      fault, context + ": " + std::generic_category().message(code));
}

StorageError SyncError(const std::string& name, int code) {
  return MakeStorageError(
      StorageFault::kSyncFailed,
      "sync of " + name + ": " + std::generic_category().message(code));
}

}  // namespace

StorageResult<PosixDisk> PosixDisk::Open(const std::string& folder) {
  if (::mkdir(folder.c_str(), kFolderMode) != 0 && errno != EEXIST)
    return SystemError("creating " + folder, errno);
  PosixDisk disk;
  disk.m_folder_fd =
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);  // NOLINT
  if (disk.m_folder_fd < 0)
    return SystemError(folder, errno);
  disk.m_lock_fd = ::openat(disk.m_folder_fd, kLockFile,  // NOLINT
                            O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  if (disk.m_lock_fd < 0)
    return SystemError(folder + "/" + kLockFile, errno);
  if (::flock(disk.m_lock_fd, LOCK_EX | LOCK_NB) != 0) {
    return MakeStorageError(StorageFault::kInUse,
                            folder + " is locked by another process");
  }
  return disk;
}

PosixDisk::PosixDisk(PosixDisk&& other) noexcept
    : m_folder_fd(std::exchange(other.m_folder_fd, -1)),
      m_lock_fd(std::exchange(other.m_lock_fd, -1)),
      m_file_fds(std::exchange(other.m_file_fds, {})) {}

PosixDisk& PosixDisk::operator=(PosixDisk&& other) noexcept {
  if (this != &other) {
    CloseAll();
    m_folder_fd = std::exchange(other.m_folder_fd, -1);
    m_lock_fd = std::exchange(other.m_lock_fd, -1);
    m_file_fds = std::exchange(other.m_file_fds, {});
  }
  return *this;
}

PosixDisk::~PosixDisk() {
  CloseAll();
}

void PosixDisk::CloseAll() {
  for (const auto& [name, file_fd] : m_file_fds)
    ::close(file_fd);
  m_file_fds.clear();
  if (m_lock_fd >= 0)
    ::close(std::exchange(m_lock_fd, -1));
  if (m_folder_fd >= 0)
    ::close(std::exchange(m_folder_fd, -1));
}

// Descriptors stay open between write and sync, because the kernel reports a
// write-back error only to descriptors that were open when it occurred.
StorageResult<int> PosixDisk::FileDescriptor(const std::string& name,
                                             bool create) {
  const auto found = m_file_fds.find(name);
  if (found != m_file_fds.end())
    return found->second;
  const int flags = O_RDWR | O_APPEND | O_CLOEXEC | (create ? O_CREAT : 0);
  const int file_fd =
      ::openat(m_folder_fd, name.c_str(), flags, kFileMode);  // NOLINT
  if (file_fd < 0)
    return SystemError(name, errno);
  m_file_fds.emplace(name, file_fd);
  return file_fd;
}

void PosixDisk::CloseFile(const std::string& name) {
  const auto found = m_file_fds.find(name);
  if (found == m_file_fds.end())
    return;
  ::close(found->second);
  m_file_fds.erase(found);
}

StorageResult<std::vector<std::string>> PosixDisk::List() {
  const int list_fd = ::openat(m_folder_fd, ".",  // NOLINT
                               O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (list_fd < 0)
    return SystemError("folder", errno);
  DIR* directory = ::fdopendir(list_fd);
  if (directory == nullptr) {
    const int code = errno;
    ::close(list_fd);
    return SystemError("folder", code);
  }
  std::vector<std::string> names;
  while (const dirent* entry = ::readdir(directory)) {  // NOLINT
    std::string name(static_cast<const char*>(entry->d_name));
    if (name != "." && name != ".." && name != kLockFile)
      names.push_back(std::move(name));
  }
  ::closedir(directory);
  return names;
}

StorageResult<std::uint64_t> PosixDisk::Size(const std::string& name) {
  struct stat status {};
  if (::fstatat(m_folder_fd, name.c_str(), &status, 0) != 0)
    return SystemError(name, errno);
  return static_cast<std::uint64_t>(status.st_size);
}

StorageResult<std::string> PosixDisk::Read(const std::string& name,
                                           std::uint64_t offset,
                                           std::uint64_t size) {
  JUJUBE_TRY(const int file_fd, FileDescriptor(name, false));
  JUJUBE_TRY(const std::uint64_t file_size, Size(name));
  const std::uint64_t remaining_bytes =
      offset < file_size ? file_size - offset : 0;
  std::string bytes(
      static_cast<std::size_t>(size < remaining_bytes ? size : remaining_bytes),
      '\0');
  std::size_t bytes_read = 0;
  while (bytes_read < bytes.size()) {
    const ssize_t count =
        ::pread(file_fd, bytes.data() + bytes_read, bytes.size() - bytes_read,
                static_cast<off_t>(offset + bytes_read));
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return SystemError(name, errno);
    if (count == 0)
      break;
    bytes_read += static_cast<std::size_t>(count);
  }
  bytes.resize(bytes_read);
  return bytes;
}

StorageStatus PosixDisk::Append(const std::string& name,
                                std::string_view bytes) {
  JUJUBE_TRY(const int file_fd, FileDescriptor(name, true));
  while (!bytes.empty()) {
    const ssize_t count = ::write(file_fd, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0)
      return SystemError(name, errno);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return StorageSuccess();
}

StorageStatus PosixDisk::Truncate(const std::string& name, std::uint64_t size) {
  JUJUBE_TRY(const int file_fd, FileDescriptor(name, false));
  if (::ftruncate(file_fd, static_cast<off_t>(size)) != 0)
    return SystemError(name, errno);
  return StorageSuccess();
}

StorageStatus PosixDisk::Sync(const std::string& name) {
  JUJUBE_TRY(const int file_fd, FileDescriptor(name, false));
  if (::fdatasync(file_fd) != 0)
    return SyncError(name, errno);
  return StorageSuccess();
}

StorageStatus PosixDisk::Rename(const std::string& from,
                                const std::string& to) {
  CloseFile(from);
  CloseFile(to);
  if (::renameat(m_folder_fd, from.c_str(), m_folder_fd, to.c_str()) != 0)
    return SystemError(from, errno);
  return StorageSuccess();
}

StorageStatus PosixDisk::Remove(const std::string& name) {
  CloseFile(name);
  if (::unlinkat(m_folder_fd, name.c_str(), 0) != 0)
    return SystemError(name, errno);
  return StorageSuccess();
}

StorageStatus PosixDisk::SyncFolder() {
  if (::fsync(m_folder_fd) != 0)
    return SyncError("folder", errno);
  return StorageSuccess();
}

}  // namespace jujube::storage
