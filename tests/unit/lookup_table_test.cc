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
constexpr int kZones = 2;  // in each region
constexpr std::string_view kCallerOfFirstZone = "10.0.0.1";

std::string ZoneName(int region, int zone) {
  return "r" + std::to_string(region) + "z" + std::to_string(zone);
}

// Regions in a row, 10 ms from each to the next; a site in each zone.
Deployment MakeDeployment(int hosts_per_zone) {
  Deployment d{.m_number = 7, .m_services = {{.m_name = {"tankview"}}}};
  for (int r = 0; r < kRegions; ++r) {
    d.m_regions.push_back({.m_name = {"r" + std::to_string(r)}});
    for (int other = 0; other < r; ++other)
      d.m_links.push_back(
          {.m_a = {"r" + std::to_string(other)},
           .m_b = {"r" + std::to_string(r)},
           .m_delay = std::chrono::milliseconds(10 * (r - other))});
    for (int z = 0; z < kZones; ++z) {
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

std::vector<std::string> HostsFor(const Table& table, std::string_view caller) {
  std::vector<std::string> names;
  for (const LookupHost& host :
       table.Find({"tankview"}, ParseAddress(caller).value()).m_hosts)
    names.push_back(host.m_host.m_value);
  return names;
}

// Lists of a caller in each block and of 256 callers outside every block.
std::vector<std::vector<std::string>> AllLists(const Table& table) {
  std::vector<std::vector<std::string>> lists;
  for (int second = 0; second <= kRegions * kZones; ++second)
    for (int third = 0; third < 256; ++third)
      lists.push_back(HostsFor(table, "10." + std::to_string(second) + "." +
                                          std::to_string(third) + ".9"));
  return lists;
}

Table Build(const Deployment& deployment,
            const std::vector<Drain>& drains = {}) {
  return Table::Build(deployment, drains).value();
}

TEST(LookupTable, AnswerCarriesVersionLifetimeAndEndpoint) {
  const LookupAnswer answer =
      Build(MakeDeployment(1)).Find({"tankview"}, AddressFromV4(0x0a000001));
  EXPECT_EQ(answer.m_version, 7U);
  EXPECT_EQ(answer.m_lifetime, std::chrono::milliseconds(5000));
  ASSERT_FALSE(answer.m_hosts.empty());
  EXPECT_EQ(answer.m_hosts[0], (LookupHost{{"r0z0h0"}, "127.0.0.1", 1000}));
}

TEST(LookupTable, OrderIsZoneThenRegionThenDelay) {
  const auto hosts = HostsFor(Build(MakeDeployment(1)), kCallerOfFirstZone);
  ASSERT_EQ(hosts.size(), kListLength);
  EXPECT_EQ(hosts[0], "r0z0h0");
  EXPECT_EQ(hosts[1], "r0z1h0");
  EXPECT_EQ(hosts[2].substr(0, 2), "r1");
  EXPECT_EQ(hosts[3].substr(0, 2), "r1");
}

// Guards against an order between regions that ignores the delay of the link.
TEST(LookupTable, NearerRegionsComeFirstInEveryList) {
  const Table table = Build(MakeDeployment(1));
  for (int block = 0; block < 256; ++block) {
    const auto hosts = HostsFor(table, "10.0." + std::to_string(block) + ".1");
    EXPECT_EQ(hosts[2].substr(0, 2), "r1");
    EXPECT_EQ(hosts[3].substr(0, 2), "r1");
  }
}

// Guards against short lists where all hosts share a zone.
TEST(LookupTable, BoundsDoNotShortenAList) {
  Deployment deployment = MakeDeployment(5);
  deployment.m_entry_hosts.resize(5);
  EXPECT_EQ(HostsFor(Build(deployment), kCallerOfFirstZone).size(),
            kListLength);
}

// Guards against lists that fail together with a zone or a region.
TEST(LookupTable, EachListSurvivesTheLossOfAZoneAndOfARegion) {
  const Deployment deployment = MakeDeployment(20);
  for (const auto& hosts : AllLists(Build(deployment))) {
    ASSERT_EQ(hosts.size(), kListLength);
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

// Guards against a zone whose blocks all start with the same host.
TEST(LookupTable, EachHostOfAZoneLeadsLists) {
  std::map<std::string, int> led;
  for (const auto& hosts : AllLists(Build(MakeDeployment(20))))
    ++led[hosts[0]];
  EXPECT_EQ(led.size(), 20U * kRegions * kZones);
  for (const auto& [host, count] : led)
    EXPECT_LT(count, 45) << host;  // 1,792 lists, 120 hosts: 15 on average
}

TEST(LookupTable, RemovingAHostChangesOnlyTheListsThatNamedIt) {
  for (const int hosts_per_zone : {1, 2, 5}) {
    const Deployment before = MakeDeployment(hosts_per_zone);
    const auto old_lists = AllLists(Build(before));
    for (const EntryHost& host : before.m_entry_hosts) {
      Deployment after = before;
      std::erase(after.m_entry_hosts, host);
      const auto new_lists = AllLists(Build(after));
      for (std::size_t i = 0; i < old_lists.size(); ++i) {
        const bool named = std::count(old_lists[i].begin(), old_lists[i].end(),
                                      host.m_name.m_value) > 0;
        ASSERT_TRUE(named || new_lists[i] == old_lists[i]);
      }
    }
  }
}

TEST(LookupTable, DrainedHostsAreLeftOut) {
  const Deployment deployment = MakeDeployment(2);
  const auto names_any = [&](const std::vector<Drain>& drains,
                             std::string_view start) {
    for (const auto& hosts : AllLists(Build(deployment, drains)))
      for (const std::string& host : hosts)
        if (host.starts_with(start))
          return true;
    return false;
  };
  EXPECT_TRUE(names_any({}, "r1z0h1"));
  EXPECT_FALSE(names_any({{DrainKind::kEntryHost, "r1z0h1"}}, "r1z0h1"));
  EXPECT_TRUE(names_any({{DrainKind::kEntryHost, "r1z0h1"}}, "r1z0h0"));
  EXPECT_FALSE(names_any({{DrainKind::kAvailabilityZone, "r1z0"}}, "r1z0"));
  EXPECT_FALSE(names_any({{DrainKind::kRegion, "r1"}}, "r1"));
  EXPECT_TRUE(names_any({{DrainKind::kInstance, "r1z0h1"}}, "r1z0h1"));
}

// Guards against an answer without hosts when every host is drained.
TEST(LookupTable, DrainOfEverythingLeavesTheListsAsTheyWere) {
  const Deployment deployment = MakeDeployment(2);
  const std::vector<Drain> drains = {{DrainKind::kRegion, "r0"},
                                     {DrainKind::kRegion, "r1"},
                                     {DrainKind::kRegion, "r2"}};
  EXPECT_EQ(Build(deployment, drains), Build(deployment));
}

// Guards against hosts of the system that answer the same caller differently.
TEST(LookupTable, OrderOfTheDocumentDoesNotMatter) {
  const Deployment deployment = MakeDeployment(3);
  Deployment reversed = deployment;
  std::reverse(reversed.m_blocks.begin(), reversed.m_blocks.end());
  EXPECT_EQ(Build(reversed), Build(deployment));
  std::reverse(reversed.m_entry_hosts.begin(), reversed.m_entry_hosts.end());
  std::reverse(reversed.m_sites.begin(), reversed.m_sites.end());
  std::reverse(reversed.m_links.begin(), reversed.m_links.end());
  EXPECT_EQ(AllLists(Build(reversed)), AllLists(Build(deployment)));
}

TEST(LookupTable, CallersOutsideEveryBlockShareAListWithTheirNeighbours) {
  const Table table = Build(MakeDeployment(3));
  EXPECT_EQ(HostsFor(table, "203.0.113.1"), HostsFor(table, "203.0.113.250"));
  EXPECT_EQ(HostsFor(table, "2001:db8::1"), HostsFor(table, "2001:db8:0:9::"));
  std::set<std::string> first;
  for (int i = 0; i < 256; ++i)
    first.insert(HostsFor(table, "203.0." + std::to_string(i) + ".1")[0]);
  EXPECT_EQ(first.size(), 3U * kRegions * kZones);
}

TEST(LookupTable, UnknownServiceGetsNoHosts) {
  const Table table = Build(MakeDeployment(1));
  EXPECT_TRUE(table.Find({"none"}, AddressFromV4(1)).m_hosts.empty());
  EXPECT_FALSE(table.HasService({"none"}));
  EXPECT_TRUE(Table().Find({"tankview"}, AddressFromV4(1)).m_hosts.empty());
}

TEST(LookupTable, ErrorsNameTheirCause) {
  const auto error = [](auto change) {
    Deployment deployment = MakeDeployment(1);
    change(deployment);
    const auto table = Table::Build(deployment, {});
    return table ? std::string() : table.error().m_message;
  };
  const auto names = [](const std::string& message, std::string_view what) {
    return message.find(what) != std::string::npos;
  };
  EXPECT_TRUE(
      names(error([](Deployment& d) { d.m_blocks[3].m_prefix = "10.0.0.1/8"; }),
            "block \"10.0.0.1/8\""));
  EXPECT_TRUE(names(error([](Deployment& d) {
                      d.m_blocks[3].m_prefix = d.m_blocks[2].m_prefix;
                    }),
                    "\"10.0.2.0/24\" stands more than once"));
  EXPECT_TRUE(
      names(error([](Deployment& d) { d.m_blocks[0].m_site = {"nowhere"}; }),
            "unknown site \"nowhere\""));
  EXPECT_TRUE(names(error([](Deployment& d) {
                      d.m_entry_hosts[0].m_availability_zone = {"nozone"};
                    }),
                    "unknown availability zone \"nozone\""));
  EXPECT_TRUE(names(
      error([](Deployment& d) { d.m_sites[0].m_availability_zone = {"x"}; }),
      "site \"site-r0z0\""));
}

TEST(LookupTable, TableIsReadThroughACell) {
  const rcu::ThreadRegistration registration;
  const rcu::Cell<Table> cell(
      std::make_unique<const Table>(Build(MakeDeployment(1))));
  const rcu::ReadSection section;
  EXPECT_EQ(HostsFor(cell.Read(section), kCallerOfFirstZone)[0], "r0z0h0");
}

}  // namespace
}  // namespace jujube::lookup
