// Snapshot files: data followed by a footer with the SnapshotInfo and
// checksums.

#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/hash.h"
#include "gen/consensus.h"
#include "storage/disk.h"
#include "storage/small_file.h"

namespace jujube::storage {

// A snapshot is read and hashed in blocks of this size to bound memory use.
inline constexpr std::uint64_t kSnapshotBlockBytes = 1U << 20U;
// Size of the footer without the encoded SnapshotInfo at its start.
inline constexpr std::uint64_t kFooterTailBytes = 28;

struct SnapshotFooter {
  SnapshotInfo m_info;
  std::uint64_t m_data_bytes = 0;
  std::uint64_t m_data_checksum = 0;
};

// "snapshot-" followed by the index as 16 hexadecimal digits.
std::string SnapshotName(std::uint64_t last_index);

// Returns nullopt for any other name.
std::optional<std::uint64_t> ParseSnapshotName(const std::string& name);

std::string EncodeFooter(const SnapshotFooter& footer);

// Returns the size of the footer in bytes, or nullopt if it is invalid. `tail`
// holds the last kFooterTailBytes of a file of `file_bytes` bytes.
std::optional<std::uint64_t> ParseFooterSize(std::string_view tail,
                                             std::uint64_t file_bytes);

// Returns nullopt if the footer checksum or the data size does not match, or
// the SnapshotInfo cannot be decoded.
std::optional<SnapshotFooter> ParseFooter(std::string_view footer,
                                          std::uint64_t file_bytes);

template <Disk D>
StorageResult<std::uint64_t> DataChecksum(D& disk,
                                          const std::string& name,
                                          std::uint64_t data_bytes) {
  std::uint64_t checksum = 0;
  for (std::uint64_t offset = 0; offset < data_bytes;
       offset += kSnapshotBlockBytes) {
    const std::uint64_t block_bytes =
        std::min(kSnapshotBlockBytes, data_bytes - offset);
    JUJUBE_TRY(const std::string block, disk.Read(name, offset, block_bytes));
    checksum = Hash64(block, checksum);
  }
  return checksum;
}

// Reads the footer and does not verify the data.
template <Disk D>
StorageResult<SnapshotFooter> ReadFooter(D& disk, const std::string& name) {
  JUJUBE_TRY(const std::uint64_t size, disk.Size(name));
  const std::uint64_t tail_offset =
      size > kFooterTailBytes ? size - kFooterTailBytes : 0;
  JUJUBE_TRY(const std::string tail,
             disk.Read(name, tail_offset, kFooterTailBytes));
  const auto footer_bytes = ParseFooterSize(tail, size);
  if (footer_bytes) {
    JUJUBE_TRY(const std::string bytes,
               disk.Read(name, size - *footer_bytes, *footer_bytes));
    auto footer = ParseFooter(bytes, size);
    if (footer)
      return *std::move(footer);
  }
  return MakeStorageError(StorageFault::kCorrupt, name + ": invalid footer");
}

// Reads the footer and verifies the data.
template <Disk D>
StorageResult<SnapshotFooter> VerifySnapshot(D& disk, const std::string& name) {
  JUJUBE_TRY(SnapshotFooter footer, ReadFooter(disk, name));
  JUJUBE_TRY(const std::uint64_t checksum,
             DataChecksum(disk, name, footer.m_data_bytes));
  if (checksum != footer.m_data_checksum)
    return MakeStorageError(StorageFault::kCorrupt,
                            name + ": checksum mismatch");
  return footer;
}

// Appends the footer to a temporary file and renames it to the snapshot name.
template <Disk D>
StorageStatus PublishSnapshot(D& disk,
                              const std::string& temporary,
                              const SnapshotInfo& info) {
  JUJUBE_TRY(const std::uint64_t size, disk.Size(temporary));
  JUJUBE_TRY(const std::uint64_t checksum, DataChecksum(disk, temporary, size));
  JUJUBE_TRY(
      disk.Append(temporary, EncodeFooter({.m_info = info,
                                           .m_data_bytes = size,
                                           .m_data_checksum = checksum})));
  return RenameDurably(disk, temporary, SnapshotName(info.m_last_index));
}

}  // namespace jujube::storage
