#include "storage/record.h"

#include <cstring>

#include "core/hash.h"
#include "gen/consensus_wire.h"

namespace jujube::storage {

namespace {

constexpr std::uint32_t kMark = 0x6a75424cU;
constexpr std::size_t kChecksumAt = 25;
constexpr std::size_t kHeaderBytes = kChecksumAt + sizeof(std::uint64_t);
// Largest entry of the schema (16 MiB) and its kind, with room to spare.
constexpr std::uint32_t kMaxPayloadBytes = 17U << 20U;

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

std::uint64_t Checksum(std::string_view header,
                       std::string_view payload,
                       std::uint64_t seed) {
  return Hash64(payload, Hash64(header.substr(0, kChecksumAt), seed));
}

}  // namespace

std::string EncodeRecord(const Record& record, std::uint64_t seed) {
  std::string bytes;
  bytes.reserve(kHeaderBytes + record.m_payload.size());
  Put(&bytes, kMark);
  Put(&bytes, static_cast<std::uint32_t>(record.m_payload.size()));
  Put(&bytes, static_cast<std::uint8_t>(record.m_type));
  Put(&bytes, record.m_index);
  Put(&bytes, record.m_term);
  Put(&bytes, Checksum(bytes, record.m_payload, seed));
  bytes += record.m_payload;
  return bytes;
}

std::optional<ParsedRecord> ParseRecord(std::string_view bytes,
                                        std::uint64_t seed) {
  if (bytes.size() < kHeaderBytes || Get<std::uint32_t>(bytes, 0) != kMark)
    return std::nullopt;
  const auto length = Get<std::uint32_t>(bytes, 4);
  if (length > kMaxPayloadBytes || length > bytes.size() - kHeaderBytes)
    return std::nullopt;
  const std::string_view payload = bytes.substr(kHeaderBytes, length);
  if (Get<std::uint64_t>(bytes, kChecksumAt) != Checksum(bytes, payload, seed))
    return std::nullopt;
  return ParsedRecord{.m_record = {.m_type = static_cast<RecordType>(
                                       Get<std::uint8_t>(bytes, 8)),
                                   .m_index = Get<std::uint64_t>(bytes, 9),
                                   .m_term = Get<std::uint64_t>(bytes, 17),
                                   .m_payload = std::string(payload)},
                      .m_bytes = kHeaderBytes + length};
}

bool ContainsRecord(std::string_view bytes, std::uint64_t seed) {
  std::string mark;
  Put(&mark, kMark);
  std::size_t at = bytes.find(mark);
  while (at != std::string_view::npos) {
    if (ParseRecord(bytes.substr(at), seed))
      return true;
    at = bytes.find(mark, at + 1);
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

std::optional<LogEntry> ToEntry(const Record& record) {
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
