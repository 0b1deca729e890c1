#include "lookup/prefix_table.h"

namespace jujube::lookup {

namespace {

template <class Key>
RangeMap<Key> BuildRangeMap(const std::vector<PrefixTable::Entry>& entries,
                            AddressFamily family) {
  std::vector<typename RangeMap<Key>::Range> ranges;
  for (const PrefixTable::Entry& entry : entries) {
    if (entry.m_prefix.m_network.m_family != family)
      continue;
    ranges.push_back(
        {.m_first = static_cast<Key>(entry.m_prefix.FirstAddress()),
         .m_last = static_cast<Key>(entry.m_prefix.LastAddress()),
         .m_value = entry.m_value});
  }
  return RangeMap<Key>(std::move(ranges));
}

}  // namespace

PrefixTable::PrefixTable(const std::vector<Entry>& entries)
    : m_v4(BuildRangeMap<std::uint32_t>(entries, AddressFamily::kV4)),
      m_v6(BuildRangeMap<Uint128>(entries, AddressFamily::kV6)) {}

}  // namespace jujube::lookup
