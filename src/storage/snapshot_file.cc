#include "storage/snapshot_file.h"

#include <cstring>
#include <utility>

#include "gen/consensus_wire.h"
#include "storage/numbered_name.h"

namespace jujube::storage {

namespace {

constexpr std::string_view kPrefix = "snapshot-";

template <class T>
void Put(std::string* out, T value) {
  out->append(reinterpret_cast<const char*>(&value), sizeof value);
}

template <class T>
T Get(std::string_view bytes, std::size_t offset) {
  T value{};
  std::memcpy(&value, bytes.data() + offset, sizeof value);
  return value;
}

}  // namespace

std::string SnapshotName(std::uint64_t last_index) {
  return NumberedName(kPrefix, last_index);
}

std::optional<std::uint64_t> IndexOfSnapshot(const std::string& name) {
  return NumberOfName(kPrefix, name);
}

// info | data bytes u64 | data checksum u64 | info bytes u32 | checksum u64
std::string EncodeFooter(const SnapshotFooter& footer) {
  std::string bytes = Encode(footer.m_info);
  const auto info_bytes = static_cast<std::uint32_t>(bytes.size());
  Put(&bytes, footer.m_data_bytes);
  Put(&bytes, footer.m_data_checksum);
  Put(&bytes, info_bytes);
  Put(&bytes, Hash64(bytes));
  return bytes;
}

std::optional<std::uint64_t> FooterBytes(std::string_view tail,
                                         std::uint64_t file_bytes) {
  if (tail.size() != kFooterTailBytes)
    return std::nullopt;
  const std::uint64_t bytes = kFooterTailBytes + Get<std::uint32_t>(tail, 16);
  if (bytes > file_bytes)
    return std::nullopt;
  return bytes;
}

std::optional<SnapshotFooter> ParseFooter(std::string_view footer,
                                          std::uint64_t file_bytes) {
  const std::size_t info_bytes = footer.size() - kFooterTailBytes;
  const std::size_t checksum_at = footer.size() - sizeof(std::uint64_t);
  if (Get<std::uint64_t>(footer, checksum_at) !=
      Hash64(footer.substr(0, checksum_at)))
    return std::nullopt;
  auto info = DecodeSnapshotInfo(footer.substr(0, info_bytes));
  const auto data_bytes = Get<std::uint64_t>(footer, info_bytes);
  if (!info || data_bytes != file_bytes - footer.size())
    return std::nullopt;
  return SnapshotFooter{.m_info = std::move(info).value(),
                        .m_data_bytes = data_bytes,
                        .m_data_checksum = Get<std::uint64_t>(
                            footer, info_bytes + sizeof data_bytes)};
}

}  // namespace jujube::storage
