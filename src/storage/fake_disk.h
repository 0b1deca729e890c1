// FakeDisk: an in-memory Disk with fault injection, for tests of storage and
// consensus.
//
// A test owns the FakeDisk and passes a FakeDiskRef to the LogStore.

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

  // Simulates a crash: discards all changes that were not synced, except for
  // the first `torn_bytes` bytes appended to each file since its last sync.
  void Crash(std::uint64_t torn_bytes = 0);
  // Inverts the bits of one byte.
  void FlipByte(const std::string& name, std::uint64_t offset);

  bool m_fail_sync = false;                 // Sync and SyncFolder fail
  std::uint64_t m_free_bytes = UINT64_MAX;  // space left for appends
  std::vector<std::string> m_operations;    // log of modifying calls

 private:
  struct File {
    std::string m_bytes;
    std::string m_synced_bytes;
  };

  std::map<std::string, std::shared_ptr<File>> m_files;
  std::map<std::string, std::shared_ptr<File>> m_synced_files;
};

// Non-owning reference to a FakeDisk, which must outlive it.
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
