// Longest prefix match from caller addresses to numbers.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "lookup/address.h"
#include "lookup/prefix.h"
#include "lookup/range_map.h"

namespace jujube::lookup {

// 8 bytes for each disjoint range of IPv4 and 20 bytes for one of IPv6, plus at
// most 256 KiB of index for each family. n prefixes make at most 2n + 1 ranges.
class BlockTable {
 public:
  struct Entry {
    Prefix m_prefix;
    std::uint32_t m_value = 0;  // below 0xffffffff

    friend auto operator<=>(const Entry&, const Entry&) = default;
  };

  BlockTable() = default;

  // No prefix may stand twice.
  explicit BlockTable(const std::vector<Entry>& entries);

  // Value of the longest prefix that holds the address.
  std::optional<std::uint32_t> Find(const Address& address) const {
    const std::uint32_t value =
        address.m_family == Family::kV4
            ? m_v4.Find(static_cast<std::uint32_t>(address.m_low))
            : m_v6.Find(address.Number());
    if (value == RangeMap<Uint128>::kNoValue)
      return std::nullopt;
    return value;
  }

  std::size_t Ranges() const { return m_v4.Ranges() + m_v6.Ranges(); }
  std::size_t Bytes() const { return m_v4.Bytes() + m_v6.Bytes(); }

  friend bool operator==(const BlockTable&, const BlockTable&) = default;

 private:
  RangeMap<std::uint32_t> m_v4;
  RangeMap<Uint128> m_v6;
};

}  // namespace jujube::lookup
