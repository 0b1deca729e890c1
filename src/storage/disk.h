// Disk concept: the files of one data folder.
//
// Names are plain file names without a folder part. Written bytes survive a
// crash only after Sync of the file; created, renamed and removed names only
// after SyncFolder. A failed Append may leave a part of the bytes behind; the
// caller truncates the file to its earlier size.

#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "storage/storage_error.h"

namespace jujube::storage {

template <class T>
concept Disk = std::movable<T> && requires(T& disk,
                                           const std::string& name,
                                           std::string_view bytes,
                                           std::uint64_t offset) {
  { disk.List() } -> std::same_as<StorageResult<std::vector<std::string>>>;
  { disk.Size(name) } -> std::same_as<StorageResult<std::uint64_t>>;
  // At most the given number of bytes from the offset; fewer at the end.
  {
    disk.Read(name, offset, offset)
    } -> std::same_as<StorageResult<std::string>>;
  // Creates the file if it does not exist.
  { disk.Append(name, bytes) } -> std::same_as<StorageStatus>;
  { disk.Truncate(name, offset) } -> std::same_as<StorageStatus>;
  { disk.Sync(name) } -> std::same_as<StorageStatus>;
  { disk.Rename(name, name) } -> std::same_as<StorageStatus>;
  { disk.Remove(name) } -> std::same_as<StorageStatus>;
  { disk.SyncFolder() } -> std::same_as<StorageStatus>;
};

}  // namespace jujube::storage
