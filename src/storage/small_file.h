// Small files that are replaced as a whole, with a checksum.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "storage/disk.h"

namespace jujube::storage {

inline constexpr std::string_view kTemporarySuffix = ".tmp";

// Payload followed by its checksum.
std::string SealSmallFile(std::string_view payload);

// Nothing if the checksum does not fit.
std::optional<std::string> UnsealSmallFile(std::string_view bytes);

// Renames a complete file so that either the old or the new one exists after a
// crash.
template <Disk D>
StorageStatus Publish(D& disk, const std::string& from, const std::string& to) {
  JUJUBE_TRY(disk.Sync(from));
  JUJUBE_TRY(disk.Rename(from, to));
  return disk.SyncFolder();
}

template <Disk D>
StorageStatus WriteSmallFile(D& disk,
                             const std::string& name,
                             std::string_view payload) {
  const std::string temporary = name + std::string(kTemporarySuffix);
  // A remainder of an interrupted write must not precede the new bytes.
  if (disk.Size(temporary)) {
    JUJUBE_TRY(disk.Remove(temporary));
  }
  JUJUBE_TRY(disk.Append(temporary, SealSmallFile(payload)));
  return Publish(disk, temporary, name);
}

template <Disk D>
StorageResult<std::string> ReadSmallFile(D& disk, const std::string& name) {
  JUJUBE_TRY(const std::uint64_t size, disk.Size(name));
  JUJUBE_TRY(const std::string bytes, disk.Read(name, 0, size));
  auto payload = UnsealSmallFile(bytes);
  if (!payload)
    return MakeStorageError(StorageFault::kCorrupt, name + ": wrong checksum");
  return *std::move(payload);
}

}  // namespace jujube::storage
