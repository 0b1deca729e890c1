// Small files with a checksum that are replaced atomically.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "storage/disk.h"

namespace jujube::storage {

inline constexpr std::string_view kTemporarySuffix = ".tmp";

// Returns the payload followed by its checksum.
std::string EncodeSmallFile(std::string_view payload);

// Returns the payload, or nullopt if the checksum does not match.
std::optional<std::string> DecodeSmallFile(std::string_view bytes);

// Syncs and renames a complete file. After a crash, `to` is either the old or
// the new file.
template <Disk D>
StorageStatus RenameDurably(D& disk,
                            const std::string& from,
                            const std::string& to) {
  JUJUBE_TRY(disk.Sync(from));
  JUJUBE_TRY(disk.Rename(from, to));
  return disk.SyncFolder();
}

template <Disk D>
StorageStatus WriteSmallFile(D& disk,
                             const std::string& name,
                             std::string_view payload) {
  const std::string temporary = name + std::string(kTemporarySuffix);
  // An interrupted write may have left a file to which Append would add.
  if (disk.Size(temporary)) {
    JUJUBE_TRY(disk.Remove(temporary));
  }
  JUJUBE_TRY(disk.Append(temporary, EncodeSmallFile(payload)));
  return RenameDurably(disk, temporary, name);
}

template <Disk D>
StorageResult<std::string> ReadSmallFile(D& disk, const std::string& name) {
  JUJUBE_TRY(const std::uint64_t size, disk.Size(name));
  JUJUBE_TRY(const std::string bytes, disk.Read(name, 0, size));
  auto payload = DecodeSmallFile(bytes);
  if (!payload)
    return MakeStorageError(StorageFault::kCorrupt,
                            name + ": checksum mismatch");
  return *std::move(payload);
}

}  // namespace jujube::storage
