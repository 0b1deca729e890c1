// Records of the write-ahead log and their checksums.
//
//   magic u32 | payload length u32 | type u8 | index u64 | term u64 |
//   xxh3 checksum u64 | payload
//
// The checksum covers all other fields. Its seed is the identity of the data
// folder, so that records of another folder are detected as invalid.

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gen/consensus.h"

namespace jujube::storage {

enum class RecordType : std::uint8_t {
  kSegmentHeader = 1,   // first record; m_index is the segment number
  kHardState = 2,       // payload is an encoded HardState
  kEntry = 3,           // payload is the entry kind followed by the data
  kSnapshotMarker = 4,  // a snapshot covers the log up to m_index, whose entry
                        // has m_term; a non-empty payload discards all entries
                        // in earlier records
};

struct Record {
  RecordType m_type = RecordType::kEntry;
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
  std::string m_payload;

  friend auto operator<=>(const Record&, const Record&) = default;
};

struct ParsedRecord {
  Record m_record;
  std::size_t m_size_bytes = 0;  // size of the encoded record
};

std::string EncodeRecord(const Record& record, std::uint64_t seed);

// Parses the record at the start of the bytes. Returns nullopt if it is
// incomplete or its checksum does not match.
std::optional<ParsedRecord> ParseRecord(std::string_view bytes,
                                        std::uint64_t seed);

// Returns true if a valid record starts at any offset. Distinguishes a torn
// tail, which no valid record follows, from corruption before valid records.
bool ContainsValidRecord(std::string_view bytes, std::uint64_t seed);

Record ToRecord(const LogEntry& entry);
Record ToRecord(const HardState& state);

// Returns nullopt if the payload does not start with a valid entry kind.
std::optional<LogEntry> ToLogEntry(const Record& record);

}  // namespace jujube::storage
