#include "storage/record.h"

#include <cstring>

#include "core/hash.h"
#include "gen/consensus_wire.h"

namespace jujube::storage {

namespace {

constexpr std::uint32_t kMagic = 0x6a75424cU;
constexpr std::size_t kChecksumOffset = 25;
constexpr std::size_t kHeaderBytes = kChecksumOffset + sizeof(std::uint64_t);
// Above the largest entry that the schema allows (16 MiB) with its kind byte.
constexpr std::uint32_t kMaxPayloadBytes = 17U << 20U;

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

std::uint64_t Checksum(std::string_view header,
                       std::string_view payload,
                       std::uint64_t seed) {
  return Hash64(payload, Hash64(header.substr(0, kChecksumOffset), seed));
}

}  // namespace

std::string EncodeRecord(const Record& record, std::uint64_t seed) {
  std::string bytes;
  bytes.reserve(kHeaderBytes + record.m_payload.size());
  AppendValue(&bytes, kMagic);
  AppendValue(&bytes, static_cast<std::uint32_t>(record.m_payload.size()));
  AppendValue(&bytes, static_cast<std::uint8_t>(record.m_type));
  AppendValue(&bytes, record.m_index);
  AppendValue(&bytes, record.m_term);
  AppendValue(&bytes, Checksum(bytes, record.m_payload, seed));
  bytes += record.m_payload;
  return bytes;
}

std::optional<ParsedRecord> ParseRecord(std::string_view bytes,
                                        std::uint64_t seed) {
  if (bytes.size() < kHeaderBytes ||
      ReadValue<std::uint32_t>(bytes, 0) != kMagic)
    return std::nullopt;
  const auto length = ReadValue<std::uint32_t>(bytes, 4);
  if (length > kMaxPayloadBytes || length > bytes.size() - kHeaderBytes)
    return std::nullopt;
  const std::string_view payload = bytes.substr(kHeaderBytes, length);
  if (ReadValue<std::uint64_t>(bytes, kChecksumOffset) !=
      Checksum(bytes, payload, seed))
    return std::nullopt;
  return ParsedRecord{
      .m_record = {.m_type = static_cast<RecordType>(
                       ReadValue<std::uint8_t>(bytes, 8)),
                   .m_index = ReadValue<std::uint64_t>(bytes, 9),
                   .m_term = ReadValue<std::uint64_t>(bytes, 17),
                   .m_payload = std::string(payload)},
      .m_size_bytes = kHeaderBytes + length};
}

bool ContainsValidRecord(std::string_view bytes, std::uint64_t seed) {
  std::string magic;
  AppendValue(&magic, kMagic);
  std::size_t offset = bytes.find(magic);
  while (offset != std::string_view::npos) {
    if (ParseRecord(bytes.substr(offset), seed))
      return true;
    offset = bytes.find(magic, offset + 1);
  }
  return false;
}

Record ToRecord(const LogEntry& entry) {
  std::string payload(1, static_cast<char>(entry.m_kind));
  payload += entry.m_data;
  return {.m_type = RecordType::kEntry,
          .m_index = entry.m_index,
          .m_term = entry.m_term,
          .m_payload = std::move(payload)};
}

Record ToRecord(const HardState& state) {
  return {.m_type = RecordType::kHardState,
          .m_term = state.m_term,
          .m_payload = Encode(state)};
}

std::optional<LogEntry> ToLogEntry(const Record& record) {
  if (record.m_payload.empty())
    return std::nullopt;
  const auto kind = static_cast<std::uint8_t>(record.m_payload.front());
  if (kind > static_cast<std::uint8_t>(EntryKind::kVoters))
    return std::nullopt;
  return LogEntry{.m_index = record.m_index,
                  .m_term = record.m_term,
                  .m_kind = static_cast<EntryKind>(kind),
                  .m_data = record.m_payload.substr(1)};
}

}  // namespace jujube::storage
