#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "lookup/prefix_table.h"

namespace jujube::lookup {
namespace {

constexpr int kSeeds = 200;

Address AddressOf(Family family, Uint128 number) {
  if (family == Family::kV4)
    return AddressFromV4(static_cast<std::uint32_t>(number));
  return {.m_family = Family::kV6,
          .m_high = static_cast<std::uint64_t>(number >> 64U),
          .m_low = static_cast<std::uint64_t>(number)};
}

// Prefixes that nest often: few distinct bits at the top, any length.
std::vector<BlockTable::Entry> RandomEntries(std::uint64_t seed) {
  const auto bits = rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::arbitrary<std::uint64_t>());
  const auto numbers = bits(rc::Random(seed), 100).value();
  std::set<Prefix> seen;
  std::vector<BlockTable::Entry> entries;
  for (const std::uint64_t number : numbers) {
    const bool v4 = number % 3 != 0;
    const Address address =
        v4 ? AddressFromV4(0x0a000000U | (number & 0x0101ffffU))
           : Address{.m_family = Family::kV6,
                     .m_high = 0x20010db800000000ULL | (number & 0xffU),
                     .m_low = number};
    const auto length =
        static_cast<std::uint8_t>((number >> 32U) % (v4 ? 33 : 129));
    const Prefix prefix = PrefixOf(address, length);
    if (seen.insert(prefix).second)
      entries.push_back(
          {prefix, static_cast<std::uint32_t>(entries.size() / 2)});
  }
  return entries;
}

std::optional<std::uint32_t> NaiveFind(
    const std::vector<BlockTable::Entry>& entries,
    const Address& address) {
  const BlockTable::Entry* best = nullptr;
  for (const BlockTable::Entry& entry : entries) {
    const Prefix& prefix = entry.m_prefix;
    if (prefix.m_network.m_family == address.m_family &&
        PrefixOf(address, prefix.m_length) == prefix &&
        (best == nullptr || prefix.m_length > best->m_prefix.m_length))
      best = &entry;
  }
  return best == nullptr ? std::nullopt : std::optional(best->m_value);
}

// Guards against a wrong value at the edges of nested and adjacent prefixes.
TEST(LookupBlockTable, AgreesWithASearchOfAllPrefixes) {
  std::size_t prefixes = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    const auto entries = RandomEntries(seed);
    const BlockTable table(entries);
    prefixes += entries.size();
    for (const BlockTable::Entry& entry : entries) {
      const Family family = entry.m_prefix.m_network.m_family;
      const Uint128 first = entry.m_prefix.First();
      const Uint128 last = entry.m_prefix.Last();
      for (const Uint128 number :
           {first - 1, first, first + 1, first + (last - first) / 2, last,
            last + 1}) {
        const Address address = AddressOf(family, number);
        ASSERT_EQ(table.Find(address), NaiveFind(entries, address))
            << "seed " << seed << " address " << ToString(address);
      }
    }
  }
  EXPECT_GT(prefixes, 2000U);  // the generator must not degenerate
}

TEST(LookupBlockTable, EmptyTableHoldsNoAddress) {
  EXPECT_EQ(BlockTable().Find(AddressFromV4(0)), std::nullopt);
  EXPECT_EQ(BlockTable().Find(ParseAddress("ffff::").value()), std::nullopt);
}

// Guards against an index that needs memory for the width of the gaps.
TEST(LookupBlockTable, FewFarPrefixesNeedLittleMemory) {
  const BlockTable table({{ParsePrefix("::/128").value(), 1},
                          {ParsePrefix("ffff::/16").value(), 2},
                          {ParsePrefix("255.255.255.255/32").value(), 3}});
  EXPECT_EQ(table.Find(ParseAddress("ffff::1").value()), 2U);
  EXPECT_EQ(table.Find(ParseAddress("255.255.255.255").value()), 3U);
  EXPECT_LT(table.Bytes(), 1000U);
}

TEST(LookupPrefix, AcceptsOnlyWholePrefixes) {
  for (const std::string good : {"0.0.0.0/0", "192.0.2.0/24", "::/0",
                                 "2001:db8::/32", "2001:db8::1/128"})
    EXPECT_EQ(ToString(ParsePrefix(good).value()), good);
  for (const std::string bad :
       {"", "/", "192.0.2.0", "192.0.2.0/", "192.0.2.0/33", "0.0.0.0/33",
        "::/129", "192.0.2.1/24", "192.0.2.0/-1", "192.0.2.0/24x", "192.0.2/24",
        "2001:db8::/129", "2001:db8::1/64", "::ffff:0:0/95", "%eth0/1"})
    EXPECT_FALSE(ParsePrefix(bad)) << bad;
}

// Guards against a caller that misses its block because its listener is IPv6.
TEST(LookupPrefix, MappedAddressesAreIpv4) {
  EXPECT_EQ(ParseAddress("::ffff:192.0.2.7"), ParseAddress("192.0.2.7"));
  EXPECT_EQ(ParsePrefix("::ffff:192.0.2.0/120"), ParsePrefix("192.0.2.0/24"));
  EXPECT_NE(ParseAddress("::192.0.2.7"), ParseAddress("192.0.2.7"));
}

}  // namespace
}  // namespace jujube::lookup
