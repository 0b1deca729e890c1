// PrefixTable: longest prefix match from IP addresses to integers.
//
//   const PrefixTable table({{ParsePrefix("192.0.2.0/24").value(), 7}});
//   table.Find(ParseAddress("192.0.2.1").value());  // 7

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

// Memory: 8 bytes for each disjoint IPv4 range and 20 bytes for each IPv6
// range, plus an index of at most 256 KiB for each family. n prefixes of a
// family result in at most 2n + 1 ranges, including gaps.
class PrefixTable {
 public:
  struct Entry {
    Prefix m_prefix;
    std::uint32_t m_value = 0;  // not RangeMap::kNoValue

    friend auto operator<=>(const Entry&, const Entry&) = default;
  };

  PrefixTable() = default;

  // Precondition: the prefixes are distinct.
  explicit PrefixTable(const std::vector<Entry>& entries);

  // Value of the longest prefix that contains the address, if there is one.
  std::optional<std::uint32_t> Find(const IpAddress& address) const {
    const std::uint32_t value =
        address.m_family == AddressFamily::kV4
            ? m_v4.Find(static_cast<std::uint32_t>(address.m_low))
            : m_v6.Find(address.ToUint128());
    if (value == RangeMap<Uint128>::kNoValue)
      return std::nullopt;
    return value;
  }

  std::size_t RangeCount() const {
    return m_v4.RangeCount() + m_v6.RangeCount();
  }
  std::size_t Bytes() const { return m_v4.Bytes() + m_v6.Bytes(); }

  friend bool operator==(const PrefixTable&, const PrefixTable&) = default;

 private:
  RangeMap<std::uint32_t> m_v4;
  RangeMap<Uint128> m_v6;
};

}  // namespace jujube::lookup
