#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "lookup/prefix_table.h"

namespace jujube::lookup {
namespace {

constexpr int kSeedCount = 200;

IpAddress AddressOf(AddressFamily family, Uint128 number) {
  if (family == AddressFamily::kV4)
    return AddressFromV4(static_cast<std::uint32_t>(number));
  return {.m_family = AddressFamily::kV6,
          .m_high = static_cast<std::uint64_t>(number >> 64U),
          .m_low = static_cast<std::uint64_t>(number)};
}

// Random prefixes of any length with few distinct leading bits, so that many
// are nested.
std::vector<PrefixTable::Entry> RandomEntries(std::uint64_t seed) {
  const auto bits = rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::arbitrary<std::uint64_t>());
  const auto numbers = bits(rc::Random(seed), 100).value();
  std::set<Prefix> seen;
  std::vector<PrefixTable::Entry> entries;
  for (const std::uint64_t number : numbers) {
    const bool is_ipv4 = number % 3 != 0;
    const IpAddress address =
        is_ipv4 ? AddressFromV4(0x0a000000U | (number & 0x0101ffffU))
                : IpAddress{.m_family = AddressFamily::kV6,
                            .m_high = 0x20010db800000000ULL | (number & 0xffU),
                            .m_low = number};
    const auto length =
        static_cast<std::uint8_t>((number >> 32U) % (is_ipv4 ? 33 : 129));
    const Prefix prefix = EnclosingPrefix(address, length);
    if (seen.insert(prefix).second)
      entries.push_back(
          {prefix, static_cast<std::uint32_t>(entries.size() / 2)});
  }
  return entries;
}

std::optional<std::uint32_t> LinearFind(
    const std::vector<PrefixTable::Entry>& entries,
    const IpAddress& address) {
  const PrefixTable::Entry* longest = nullptr;
  for (const PrefixTable::Entry& entry : entries) {
    const Prefix& prefix = entry.m_prefix;
    if (prefix.m_network.m_family == address.m_family &&
        EnclosingPrefix(address, prefix.m_length) == prefix &&
        (longest == nullptr || prefix.m_length > longest->m_prefix.m_length))
      longest = &entry;
  }
  return longest == nullptr ? std::nullopt : std::optional(longest->m_value);
}

// Guards against a wrong value at the boundaries of nested and adjacent
// prefixes.
TEST(LookupPrefixTable, FindMatchesLinearSearch) {
  std::size_t prefix_count = 0;
  for (int seed = 0; seed < kSeedCount; ++seed) {
    const auto entries = RandomEntries(seed);
    const PrefixTable table(entries);
    prefix_count += entries.size();
    for (const PrefixTable::Entry& entry : entries) {
      const AddressFamily family = entry.m_prefix.m_network.m_family;
      const Uint128 first = entry.m_prefix.FirstAddress();
      const Uint128 last = entry.m_prefix.LastAddress();
      for (const Uint128 number :
           {first - 1, first, first + 1, first + (last - first) / 2, last,
            last + 1}) {
        const IpAddress address = AddressOf(family, number);
        ASSERT_EQ(table.Find(address), LinearFind(entries, address))
            << "seed " << seed << " address " << ToString(address);
      }
    }
  }
  EXPECT_GT(prefix_count,
            2000U);  // the random prefixes are not mostly duplicates
}

TEST(LookupPrefixTable, EmptyTableFindsNoValue) {
  EXPECT_EQ(PrefixTable().Find(AddressFromV4(0)), std::nullopt);
  EXPECT_EQ(PrefixTable().Find(ParseAddress("ffff::").value()), std::nullopt);
}

// Guards against an index whose memory grows with the gaps between prefixes.
TEST(LookupPrefixTable, FewDistantPrefixesNeedLittleMemory) {
  const PrefixTable table({{ParsePrefix("::/128").value(), 1},
                           {ParsePrefix("ffff::/16").value(), 2},
                           {ParsePrefix("255.255.255.255/32").value(), 3}});
  EXPECT_EQ(table.Find(ParseAddress("ffff::1").value()), 2U);
  EXPECT_EQ(table.Find(ParseAddress("255.255.255.255").value()), 3U);
  EXPECT_LT(table.Bytes(), 1000U);
}

TEST(LookupPrefix, ParsePrefixRefusesMalformedText) {
  for (const std::string valid : {"0.0.0.0/0", "192.0.2.0/24", "::/0",
                                  "2001:db8::/32", "2001:db8::1/128"})
    EXPECT_EQ(ToString(ParsePrefix(valid).value()), valid);
  for (const std::string malformed :
       {"", "/", "192.0.2.0", "192.0.2.0/", "192.0.2.0/33", "0.0.0.0/33",
        "::/129", "192.0.2.1/24", "192.0.2.0/-1", "192.0.2.0/24x", "192.0.2/24",
        "2001:db8::/129", "2001:db8::1/64", "::ffff:0:0/95", "%eth0/1"})
    EXPECT_FALSE(ParsePrefix(malformed)) << malformed;
}

// Guards against not finding the block of an IPv4 caller that connects to an
// IPv6 listener.
TEST(LookupPrefix, Ipv4MappedAddressesBecomeIpv4) {
  EXPECT_EQ(ParseAddress("::ffff:192.0.2.7"), ParseAddress("192.0.2.7"));
  EXPECT_EQ(ParsePrefix("::ffff:192.0.2.0/120"), ParsePrefix("192.0.2.0/24"));
  EXPECT_NE(ParseAddress("::192.0.2.7"), ParseAddress("192.0.2.7"));
}

}  // namespace
}  // namespace jujube::lookup
