// Snapshot files: data followed by a footer with position and checksums.

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

// Block in which a snapshot file is read and hashed, to bound memory.
inline constexpr std::uint64_t kSnapshotBlockBytes = 1U << 20U;
// Size of the fixed part at the end of the footer.
inline constexpr std::uint64_t kFooterTailBytes = 28;

struct SnapshotFooter {
  SnapshotInfo m_info;
  std::uint64_t m_data_bytes = 0;
  std::uint64_t m_data_checksum = 0;
};

// "snapshot-" and the index in 16 hexadecimal digits.
std::string SnapshotName(std::uint64_t last_index);

// Nothing for any other name.
std::optional<std::uint64_t> IndexOfSnapshot(const std::string& name);

std::string EncodeFooter(const SnapshotFooter& footer);

// `tail` is the end of a file of `file_bytes`. Gives the size of the whole
// footer, or nothing if it cannot be one.
std::optional<std::uint64_t> FooterBytes(std::string_view tail,
                                         std::uint64_t file_bytes);

// Nothing if a checksum or size does not fit.
std::optional<SnapshotFooter> ParseFooter(std::string_view footer,
                                          std::uint64_t file_bytes);

template <Disk D>
StorageResult<std::uint64_t> ChecksumOfData(D& disk,
                                            const std::string& name,
                                            std::uint64_t data_bytes) {
  std::uint64_t checksum = 0;
  for (std::uint64_t at = 0; at < data_bytes; at += kSnapshotBlockBytes) {
    const std::uint64_t wanted = std::min(kSnapshotBlockBytes, data_bytes - at);
    JUJUBE_TRY(const std::string block, disk.Read(name, at, wanted));
    checksum = Hash64(block, checksum);
  }
  return checksum;
}

// Reads the footer without the data.
template <Disk D>
StorageResult<SnapshotFooter> ReadFooter(D& disk, const std::string& name) {
  JUJUBE_TRY(const std::uint64_t size, disk.Size(name));
  const std::uint64_t tail_at =
      size > kFooterTailBytes ? size - kFooterTailBytes : 0;
  JUJUBE_TRY(const std::string tail,
             disk.Read(name, tail_at, kFooterTailBytes));
  const auto footer_bytes = FooterBytes(tail, size);
  if (footer_bytes) {
    JUJUBE_TRY(const std::string bytes,
               disk.Read(name, size - *footer_bytes, *footer_bytes));
    auto footer = ParseFooter(bytes, size);
    if (footer)
      return *std::move(footer);
  }
  return MakeStorageError(StorageFault::kCorrupt, name + ": wrong footer");
}

// Reads the footer and verifies the data.
template <Disk D>
StorageResult<SnapshotFooter> VerifySnapshot(D& disk, const std::string& name) {
  JUJUBE_TRY(SnapshotFooter footer, ReadFooter(disk, name));
  JUJUBE_TRY(const std::uint64_t checksum,
             ChecksumOfData(disk, name, footer.m_data_bytes));
  if (checksum != footer.m_data_checksum)
    return MakeStorageError(StorageFault::kCorrupt, name + ": wrong checksum");
  return footer;
}

// Adds the footer to a temporary file and publishes it under its name.
template <Disk D>
StorageStatus PublishSnapshot(D& disk,
                              const std::string& temporary,
                              const SnapshotInfo& info) {
  JUJUBE_TRY(const std::uint64_t size, disk.Size(temporary));
  JUJUBE_TRY(const std::uint64_t checksum,
             ChecksumOfData(disk, temporary, size));
  JUJUBE_TRY(
      disk.Append(temporary, EncodeFooter({.m_info = info,
                                           .m_data_bytes = size,
                                           .m_data_checksum = checksum})));
  return Publish(disk, temporary, SnapshotName(info.m_last_index));
}

}  // namespace jujube::storage
