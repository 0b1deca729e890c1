#include "storage/snapshot_file.h"

#include <cstring>
#include <utility>

#include "gen/consensus_wire.h"
#include "storage/numbered_name.h"

namespace jujube::storage {

namespace {

constexpr std::string_view kPrefix = "snapshot-";

template <class T>
void AppendValue(std::string* out, T value) {
  out->append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <class T>
T ReadValue(std::string_view bytes, std::size_t offset) {
  T value{};
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

}  // namespace

std::string SnapshotName(std::uint64_t last_index) {
  return NumberedName(kPrefix, last_index);
}

std::optional<std::uint64_t> ParseSnapshotName(const std::string& name) {
  return ParseNumberedName(kPrefix, name);
}

// SnapshotInfo | data size u64 | data checksum u64 | info size u32 |
// footer checksum u64
std::string EncodeFooter(const SnapshotFooter& footer) {
  std::string bytes = Encode(footer.m_info);
  const auto info_bytes = static_cast<std::uint32_t>(bytes.size());
  AppendValue(&bytes, footer.m_data_bytes);
  AppendValue(&bytes, footer.m_data_checksum);
  AppendValue(&bytes, info_bytes);
  AppendValue(&bytes, Hash64(bytes));
  return bytes;
}

std::optional<std::uint64_t> ParseFooterSize(std::string_view tail,
                                             std::uint64_t file_bytes) {
  if (tail.size() != kFooterTailBytes)
    return std::nullopt;
  const std::uint64_t footer_bytes =
      kFooterTailBytes + ReadValue<std::uint32_t>(tail, 16);
  if (footer_bytes > file_bytes)
    return std::nullopt;
  return footer_bytes;
}

std::optional<SnapshotFooter> ParseFooter(std::string_view footer,
                                          std::uint64_t file_bytes) {
  const std::size_t info_bytes = footer.size() - kFooterTailBytes;
  const std::size_t checksum_offset = footer.size() - sizeof(std::uint64_t);
  if (ReadValue<std::uint64_t>(footer, checksum_offset) !=
      Hash64(footer.substr(0, checksum_offset)))
    return std::nullopt;
  auto info = DecodeSnapshotInfo(footer.substr(0, info_bytes));
  const auto data_bytes = ReadValue<std::uint64_t>(footer, info_bytes);
  if (!info || data_bytes != file_bytes - footer.size())
    return std::nullopt;
  return SnapshotFooter{.m_info = std::move(info).value(),
                        .m_data_bytes = data_bytes,
                        .m_data_checksum = ReadValue<std::uint64_t>(
                            footer, info_bytes + sizeof data_bytes)};
}

}  // namespace jujube::storage
