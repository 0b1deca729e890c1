#include "storage/fake_disk.h"

#include <algorithm>

namespace jujube::storage {

namespace {

StorageError NotFoundError(const std::string& name) {
  return MakeStorageError(StorageFault::kNotFound, name + " does not exist");
}

}  // namespace

StorageResult<std::vector<std::string>> FakeDisk::List() {
  std::vector<std::string> names;
  names.reserve(m_files.size());
  for (const auto& [name, file] : m_files)
    names.push_back(name);
  return names;
}

StorageResult<std::uint64_t> FakeDisk::Size(const std::string& name) {
  const auto found = m_files.find(name);
  if (found == m_files.end())
    return NotFoundError(name);
  return static_cast<std::uint64_t>(found->second->m_bytes.size());
}

StorageResult<std::string> FakeDisk::Read(const std::string& name,
                                          std::uint64_t offset,
                                          std::uint64_t size) {
  const auto found = m_files.find(name);
  if (found == m_files.end())
    return NotFoundError(name);
  const std::string& bytes = found->second->m_bytes;
  if (offset >= bytes.size())
    return std::string();
  return bytes.substr(offset, size);
}

StorageStatus FakeDisk::Append(const std::string& name,
                               std::string_view bytes) {
  m_operations.push_back("append " + name);
  auto& file = m_files[name];
  if (!file)
    file = std::make_shared<File>();
  const auto written_bytes =
      std::min<std::uint64_t>(bytes.size(), m_free_bytes);
  file->m_bytes.append(bytes.substr(0, written_bytes));
  if (m_free_bytes != UINT64_MAX)
    m_free_bytes -= written_bytes;
  if (written_bytes < bytes.size())
    return MakeStorageError(StorageFault::kFull, name + ": no space left");
  return StorageSuccess();
}

StorageStatus FakeDisk::Truncate(const std::string& name, std::uint64_t size) {
  m_operations.push_back("truncate " + name);
  const auto found = m_files.find(name);
  if (found == m_files.end())
    return NotFoundError(name);
  found->second->m_bytes.resize(size);
  return StorageSuccess();
}

StorageStatus FakeDisk::Sync(const std::string& name) {
  m_operations.push_back("sync " + name);
  const auto found = m_files.find(name);
  if (found == m_files.end())
    return NotFoundError(name);
  if (m_fail_sync)
    return MakeStorageError(StorageFault::kSyncFailed,
                            "injected sync failure of " + name);
  found->second->m_synced_bytes = found->second->m_bytes;
  return StorageSuccess();
}

StorageStatus FakeDisk::Rename(const std::string& from, const std::string& to) {
  m_operations.push_back("rename " + to);
  const auto found = m_files.find(from);
  if (found == m_files.end())
    return NotFoundError(from);
  m_files[to] = found->second;
  m_files.erase(from);
  return StorageSuccess();
}

StorageStatus FakeDisk::Remove(const std::string& name) {
  m_operations.push_back("remove " + name);
  if (m_files.erase(name) == 0)
    return NotFoundError(name);
  return StorageSuccess();
}

StorageStatus FakeDisk::SyncFolder() {
  m_operations.emplace_back("sync folder");
  if (m_fail_sync)
    return MakeStorageError(StorageFault::kSyncFailed,
                            "injected sync failure of the folder");
  m_synced_files = m_files;
  return StorageSuccess();
}

void FakeDisk::Crash(std::uint64_t torn_bytes) {
  m_files = m_synced_files;
  for (const auto& [name, file] : m_files) {
    const std::uint64_t synced_size = file->m_synced_bytes.size();
    const bool is_extended =
        file->m_bytes.size() > synced_size &&
        file->m_bytes.compare(0, synced_size, file->m_synced_bytes) == 0;
    if (is_extended)
      file->m_bytes.resize(std::min<std::uint64_t>(file->m_bytes.size(),
                                                   synced_size + torn_bytes));
    else
      file->m_bytes = file->m_synced_bytes;
    file->m_synced_bytes = file->m_bytes;
  }
}

void FakeDisk::FlipByte(const std::string& name, std::uint64_t offset) {
  char& byte = m_files.at(name)->m_bytes.at(offset);
  byte = static_cast<char>(~byte);
}

}  // namespace jujube::storage
