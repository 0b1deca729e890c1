#include "lookup/prefix_table.h"

namespace jujube::lookup {

namespace {

template <class Key>
RangeMap<Key> MapOf(const std::vector<BlockTable::Entry>& entries,
                    Family family) {
  std::vector<typename RangeMap<Key>::Range> ranges;
  for (const BlockTable::Entry& entry : entries) {
    if (entry.m_prefix.m_network.m_family != family)
      continue;
    ranges.push_back({.m_first = static_cast<Key>(entry.m_prefix.First()),
                      .m_last = static_cast<Key>(entry.m_prefix.Last()),
                      .m_value = entry.m_value});
  }
  return RangeMap<Key>(std::move(ranges));
}

}  // namespace

BlockTable::BlockTable(const std::vector<Entry>& entries)
    : m_v4(MapOf<std::uint32_t>(entries, Family::kV4)),
      m_v6(MapOf<Uint128>(entries, Family::kV6)) {}

}  // namespace jujube::lookup
