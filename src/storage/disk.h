// Disk concept: access to the files of one data folder.
//
// Names are file names without a directory. Written bytes survive a crash only
// after Sync of the file. Creation, renaming and removal of files survive a
// crash only after SyncFolder. A failed Append may have written some of the
// bytes; the caller then truncates the file to its previous size.

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
  // Name, offset, size. Returns fewer bytes than the size at the end of the
  // file.
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
