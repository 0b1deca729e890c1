// FakeDisk: a folder in memory with faults, for tests of storage and consensus.
//
// Copies share nothing; a test keeps the disk and hands the store a
// FakeDiskRef.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "storage/disk.h"

namespace jujube::storage {

class FakeDisk {
 public:
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

  // Loses what was not synced. Of the bytes after the synced part of a file,
  // the first `torn_bytes` survive.
  void Crash(std::uint64_t torn_bytes = 0);
  // Inverts the bits of one byte.
  void FlipByte(const std::string& name, std::uint64_t offset);

  bool m_fail_sync = false;                 // every sync fails
  std::uint64_t m_free_bytes = UINT64_MAX;  // space for appends
  std::vector<std::string> m_operations;    // names of calls, in order

 private:
  struct File {
    std::string m_bytes;
    std::string m_synced;
  };

  std::map<std::string, std::shared_ptr<File>> m_files;
  std::map<std::string, std::shared_ptr<File>> m_synced_names;
};

// The handle that a LogStore owns; the disk outlives it.
struct FakeDiskRef {
  FakeDisk* m_disk = nullptr;

  auto List() const { return m_disk->List(); }
  auto Size(const std::string& name) const { return m_disk->Size(name); }
  auto Read(const std::string& name,
            std::uint64_t offset,
            std::uint64_t size) const {
    return m_disk->Read(name, offset, size);
  }
  auto Append(const std::string& name, std::string_view bytes) const {
    return m_disk->Append(name, bytes);
  }
  auto Truncate(const std::string& name, std::uint64_t size) const {
    return m_disk->Truncate(name, size);
  }
  auto Sync(const std::string& name) const { return m_disk->Sync(name); }
  auto Rename(const std::string& from, const std::string& to) const {
    return m_disk->Rename(from, to);
  }
  auto Remove(const std::string& name) const { return m_disk->Remove(name); }
  auto SyncFolder() const { return m_disk->SyncFolder(); }
};

static_assert(Disk<FakeDisk>);
static_assert(Disk<FakeDiskRef>);

}  // namespace jujube::storage
