#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "lookup/table.h"
#include "rcu/cell.h"
#include "rcu/thread.h"

namespace jujube::lookup {
namespace {

constexpr int kRegions = 3;
constexpr int kZonesPerRegion = 2;
constexpr std::string_view kCallerInFirstZone = "10.0.0.1";

std::string ZoneName(int region, int zone) {
  return "r" + std::to_string(region) + "z" + std::to_string(zone);
}

// Regions in a row: every two regions have a link, whose delay is 10 ms times
// their distance. Each zone has one site with 256 caller blocks.
Deployment MakeDeployment(int hosts_per_zone) {
  Deployment d{.m_number = 7, .m_services = {{.m_name = {"tankview"}}}};
  for (int r = 0; r < kRegions; ++r) {
    d.m_regions.push_back({.m_name = {"r" + std::to_string(r)}});
    for (int other = 0; other < r; ++other)
      d.m_links.push_back(
          {.m_a = {"r" + std::to_string(other)},
           .m_b = {"r" + std::to_string(r)},
           .m_delay = std::chrono::milliseconds(10 * (r - other))});
    for (int z = 0; z < kZonesPerRegion; ++z) {
      const std::string zone = ZoneName(r, z);
      d.m_availability_zones.push_back(
          {.m_name = {zone}, .m_region = d.m_regions.back().m_name});
      d.m_sites.push_back(
          {.m_name = {"site-" + zone}, .m_availability_zone = {zone}});
      for (int h = 0; h < hosts_per_zone; ++h)
        d.m_entry_hosts.push_back(
            {.m_name = {zone + "h" + std::to_string(h)},
             .m_availability_zone = {zone},
             .m_caller = {.m_port = static_cast<std::uint16_t>(
                              1000 + d.m_entry_hosts.size())}});
      for (int b = 0; b < 256; ++b)
        d.m_blocks.push_back({.m_prefix = "10." + std::to_string(2 * r + z) +
                                          "." + std::to_string(b) + ".0/24",
                              .m_site = {"site-" + zone}});
    }
  }
  return d;
}

std::vector<std::string> HostNamesFor(const Table& table,
                                      std::string_view caller) {
  std::vector<std::string> names;
  for (const LookupHost& host :
       table.Find({"tankview"}, ParseAddress(caller).value()).m_hosts)
    names.push_back(host.m_host.m_value);
  return names;
}

// Host names for one caller in each block and for 256 callers outside every
// block.
std::vector<std::vector<std::string>> AllLists(const Table& table) {
  std::vector<std::vector<std::string>> lists;
  for (int second = 0; second <= kRegions * kZonesPerRegion; ++second)
    for (int third = 0; third < 256; ++third)
      lists.push_back(HostNamesFor(table, "10." + std::to_string(second) + "." +
                                              std::to_string(third) + ".9"));
  return lists;
}

Table Build(const Deployment& deployment,
            const std::vector<Drain>& drains = {}) {
  return Table::Build(deployment, drains).value();
}

TEST(LookupTable, AnswerHasVersionLifetimeAndEndpoint) {
  const LookupAnswer answer =
      Build(MakeDeployment(1)).Find({"tankview"}, AddressFromV4(0x0a000001));
  EXPECT_EQ(answer.m_version, 7U);
  EXPECT_EQ(answer.m_lifetime, std::chrono::milliseconds(5000));
  ASSERT_FALSE(answer.m_hosts.empty());
  EXPECT_EQ(answer.m_hosts[0], (LookupHost{{"r0z0h0"}, "127.0.0.1", 1000}));
}

TEST(LookupTable, HostsAreOrderedByZoneThenRegionThenDelay) {
  const auto hosts = HostNamesFor(Build(MakeDeployment(1)), kCallerInFirstZone);
  ASSERT_EQ(hosts.size(), kHostsPerList);
  EXPECT_EQ(hosts[0], "r0z0h0");
  EXPECT_EQ(hosts[1], "r0z1h0");
  EXPECT_EQ(hosts[2].substr(0, 2), "r1");
  EXPECT_EQ(hosts[3].substr(0, 2), "r1");
}

// Guards against an order of regions that ignores the link delay.
TEST(LookupTable, CloserRegionsComeFirstInEveryList) {
  const Table table = Build(MakeDeployment(1));
  for (int block = 0; block < 256; ++block) {
    const auto hosts =
        HostNamesFor(table, "10.0." + std::to_string(block) + ".1");
    EXPECT_EQ(hosts[2].substr(0, 2), "r1");
    EXPECT_EQ(hosts[3].substr(0, 2), "r1");
  }
}

// Guards against short lists if all hosts are in the same zone.
TEST(LookupTable, LimitsPerZoneAndRegionDoNotShortenAList) {
  Deployment deployment = MakeDeployment(5);
  deployment.m_entry_hosts.resize(5);
  EXPECT_EQ(HostNamesFor(Build(deployment), kCallerInFirstZone).size(),
            kHostsPerList);
}

// Guards against lists whose hosts are all in the same zone or region.
TEST(LookupTable, EachListSurvivesTheLossOfAZoneAndOfARegion) {
  const Deployment deployment = MakeDeployment(20);
  for (const auto& hosts : AllLists(Build(deployment))) {
    ASSERT_EQ(hosts.size(), kHostsPerList);
    std::set<std::string> zones;
    std::set<std::string> regions;
    for (const std::string& host : hosts) {
      zones.insert(host.substr(0, 4));
      regions.insert(host.substr(0, 2));
    }
    EXPECT_GE(zones.size(), 2U);
    EXPECT_GE(regions.size(), 2U);
  }
}

// Guards against a zone in which every list starts with the same host.
TEST(LookupTable, FirstPlacesAreSpreadOverAllHosts) {
  std::map<std::string, int> lists_by_first_host;
  for (const auto& hosts : AllLists(Build(MakeDeployment(20))))
    ++lists_by_first_host[hosts[0]];
  EXPECT_EQ(lists_by_first_host.size(), 20U * kRegions * kZonesPerRegion);
  for (const auto& [host, count] : lists_by_first_host)
    EXPECT_LT(count, 45) << host;  // 1,792 lists, 120 hosts: 15 on average
}

// Guards against moving callers between the remaining hosts when an unrelated
// host is removed.
TEST(LookupTable, RemovingAHostChangesOnlyListsThatContainedIt) {
  for (const int hosts_per_zone : {1, 2, 5}) {
    const Deployment full_deployment = MakeDeployment(hosts_per_zone);
    const auto old_lists = AllLists(Build(full_deployment));
    for (const EntryHost& host : full_deployment.m_entry_hosts) {
      Deployment reduced_deployment = full_deployment;
      std::erase(reduced_deployment.m_entry_hosts, host);
      const auto new_lists = AllLists(Build(reduced_deployment));
      for (std::size_t i = 0; i < old_lists.size(); ++i) {
        const bool contained_host =
            std::count(old_lists[i].begin(), old_lists[i].end(),
                       host.m_name.m_value) > 0;
        ASSERT_TRUE(contained_host || new_lists[i] == old_lists[i]);
      }
    }
  }
}

TEST(LookupTable, DrainedHostsAreExcluded) {
  const Deployment deployment = MakeDeployment(2);
  const auto any_host_starts_with = [&](const std::vector<Drain>& drains,
                                        std::string_view prefix) {
    for (const auto& hosts : AllLists(Build(deployment, drains)))
      for (const std::string& host : hosts)
        if (host.starts_with(prefix))
          return true;
    return false;
  };
  EXPECT_TRUE(any_host_starts_with({}, "r1z0h1"));
  EXPECT_FALSE(
      any_host_starts_with({{DrainKind::kEntryHost, "r1z0h1"}}, "r1z0h1"));
  EXPECT_TRUE(
      any_host_starts_with({{DrainKind::kEntryHost, "r1z0h1"}}, "r1z0h0"));
  EXPECT_FALSE(
      any_host_starts_with({{DrainKind::kAvailabilityZone, "r1z0"}}, "r1z0"));
  EXPECT_FALSE(any_host_starts_with({{DrainKind::kRegion, "r1"}}, "r1"));
  // The drain of an upstream instance does not affect an entry host of the same
  // name.
  EXPECT_TRUE(
      any_host_starts_with({{DrainKind::kInstance, "r1z0h1"}}, "r1z0h1"));
}

// Guards against an answer without hosts when every host is drained.
TEST(LookupTable, DrainsOfAllHostsAreIgnored) {
  const Deployment deployment = MakeDeployment(2);
  const std::vector<Drain> drains = {{DrainKind::kRegion, "r0"},
                                     {DrainKind::kRegion, "r1"},
                                     {DrainKind::kRegion, "r2"}};
  EXPECT_EQ(Build(deployment, drains), Build(deployment));
}

// Guards against entry hosts that give the same caller different answers
// because their documents list the same elements in another order.
TEST(LookupTable, OrderOfElementsInTheDocumentDoesNotMatter) {
  const Deployment deployment = MakeDeployment(3);
  Deployment reversed = deployment;
  std::reverse(reversed.m_blocks.begin(), reversed.m_blocks.end());
  EXPECT_EQ(Build(reversed), Build(deployment));
  std::reverse(reversed.m_entry_hosts.begin(), reversed.m_entry_hosts.end());
  std::reverse(reversed.m_sites.begin(), reversed.m_sites.end());
  std::reverse(reversed.m_links.begin(), reversed.m_links.end());
  EXPECT_EQ(AllLists(Build(reversed)), AllLists(Build(deployment)));
}

// Guards against sending all callers outside every block to the same host. They
// share a list per /24 (IPv4) or /48 (IPv6).
TEST(LookupTable, CallersOutsideEveryBlockShareAListPerPrefix) {
  const Table table = Build(MakeDeployment(3));
  EXPECT_EQ(HostNamesFor(table, "203.0.113.1"),
            HostNamesFor(table, "203.0.113.250"));
  EXPECT_EQ(HostNamesFor(table, "2001:db8::1"),
            HostNamesFor(table, "2001:db8:0:9::"));
  std::set<std::string> first_hosts;
  for (int i = 0; i < 256; ++i)
    first_hosts.insert(
        HostNamesFor(table, "203.0." + std::to_string(i) + ".1")[0]);
  EXPECT_EQ(first_hosts.size(), 3U * kRegions * kZonesPerRegion);
}

TEST(LookupTable, UnknownServiceHasNoHosts) {
  const Table table = Build(MakeDeployment(1));
  EXPECT_TRUE(table.Find({"none"}, AddressFromV4(1)).m_hosts.empty());
  EXPECT_FALSE(table.HasService({"none"}));
  EXPECT_TRUE(Table().Find({"tankview"}, AddressFromV4(1)).m_hosts.empty());
}

TEST(LookupTable, ErrorsNameTheInvalidElement) {
  const auto build_error = [](auto change) {
    Deployment deployment = MakeDeployment(1);
    change(deployment);
    const auto table = Table::Build(deployment, {});
    return table ? std::string() : table.error().m_message;
  };
  const auto contains = [](const std::string& message, std::string_view text) {
    return message.find(text) != std::string::npos;
  };
  EXPECT_TRUE(contains(
      build_error([](Deployment& d) { d.m_blocks[3].m_prefix = "10.0.0.1/8"; }),
      "block \"10.0.0.1/8\""));
  EXPECT_TRUE(contains(build_error([](Deployment& d) {
                         d.m_blocks[3].m_prefix = d.m_blocks[2].m_prefix;
                       }),
                       "\"10.0.2.0/24\" is listed more than once"));
  EXPECT_TRUE(contains(
      build_error([](Deployment& d) { d.m_blocks[0].m_site = {"nowhere"}; }),
      "unknown site \"nowhere\""));
  EXPECT_TRUE(contains(build_error([](Deployment& d) {
                         d.m_entry_hosts[0].m_availability_zone = {"nozone"};
                       }),
                       "unknown availability zone \"nozone\""));
  EXPECT_TRUE(contains(build_error([](Deployment& d) {
                         d.m_sites[0].m_availability_zone = {"x"};
                       }),
                       "site \"site-r0z0\""));
}

TEST(LookupTable, TableCanBeReadFromAnRcuCell) {
  const rcu::ThreadRegistration registration;
  const rcu::Cell<Table> cell(
      std::make_unique<const Table>(Build(MakeDeployment(1))));
  const rcu::ReadSection section;
  EXPECT_EQ(HostNamesFor(cell.Read(section), kCallerInFirstZone)[0], "r0z0h0");
}

}  // namespace
}  // namespace jujube::lookup
