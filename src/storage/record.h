// Records of the write-ahead log and their checksums.
//
//   mark u32 | length u32 | type u8 | index u64 | term u64 | xxh3 u64 | payload
//
// The checksum covers everything but itself. It is seeded with the identity of
// the data folder, so records of another folder are not taken for valid ones.

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
  kSegment = 1,    // first record; the index is the number of the segment
  kHardState = 2,  // payload is an encoded HardState
  kEntry = 3,      // payload is the kind followed by the data
  kBase = 4,       // a snapshot covers the log up to this index and term; with
                   // a payload, the entries before this record are void
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
  std::size_t m_bytes = 0;  // size of the record with its header
};

std::string EncodeRecord(const Record& record, std::uint64_t seed);

// Nothing if the bytes do not start with a whole record that fits its checksum.
std::optional<ParsedRecord> ParseRecord(std::string_view bytes,
                                        std::uint64_t seed);

// Whether a valid record starts anywhere in the bytes. Distinguishes a torn
// tail, after which nothing can follow, from corruption before valid records.
bool ContainsRecord(std::string_view bytes, std::uint64_t seed);

Record ToRecord(const LogEntry& entry);
Record ToRecord(const HardState& state);

// Nothing if the payload has no valid kind.
std::optional<LogEntry> ToEntry(const Record& record);

}  // namespace jujube::storage
