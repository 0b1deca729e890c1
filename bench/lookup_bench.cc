// Measures look-ups per second on one core, and the size and build time of the
// table, for the deployment size of section 3 of docs/design.md: 1,400 entry
// hosts, 390 sites, 51 availability zones and 14 regions. The benchmark
// argument is the number of caller blocks.

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "lookup/table.h"
#include "rcu/cell.h"
#include "rcu/thread.h"

namespace jujube::lookup {
namespace {

constexpr int kRegions = 14;
constexpr int kZones = 51;
constexpr int kSites = 390;
constexpr int kHosts = 1400;
// Enough callers to exceed the CPU caches.
constexpr std::size_t kCallers = 1U << 16U;
constexpr std::uint64_t kSeed = 20240607;

// Three of four prefixes are IPv4 (/16 to /24), the others IPv6 (/32 to /56).
// Some are nested in others.
Prefix RandomPrefix(std::mt19937_64& random) {
  const std::uint64_t bits = random();
  if (random() % 4 != 0)
    return EnclosingPrefix(
        AddressFromV4(static_cast<std::uint32_t>(bits)),
        static_cast<std::uint8_t>(random() % 8 == 0 ? 16 + random() % 8 : 24));
  const IpAddress address{.m_family = AddressFamily::kV6,
                          .m_high = 0x2000000000000000ULL | (bits >> 4U)};
  return EnclosingPrefix(address,
                         static_cast<std::uint8_t>(32 + random() % 25));
}

std::string NumberedName(const char* prefix, std::size_t number) {
  return prefix + std::to_string(number);
}

Deployment MakeDeployment(std::size_t block_count) {
  Deployment d{.m_number = 1, .m_services = {{.m_name = {"tankview"}}}};
  for (std::size_t i = 0; i < kRegions; ++i) {
    d.m_regions.push_back({.m_name = {NumberedName("region-", i)}});
    for (std::size_t other = 0; other < i; ++other)
      d.m_links.push_back(
          {.m_a = d.m_regions[other].m_name,
           .m_b = d.m_regions[i].m_name,
           .m_delay = std::chrono::milliseconds(5 + 7 * (i - other))});
  }
  for (std::size_t i = 0; i < kZones; ++i)
    d.m_availability_zones.push_back(
        {.m_name = {NumberedName("zone-", i)},
         .m_region = d.m_regions[i % kRegions].m_name});
  for (std::size_t i = 0; i < kSites; ++i)
    d.m_sites.push_back(
        {.m_name = {NumberedName("site-", i)},
         .m_availability_zone = d.m_availability_zones[i % kZones].m_name});
  for (std::size_t i = 0; i < kHosts; ++i)
    d.m_entry_hosts.push_back(
        {.m_name = {NumberedName("entry-", i)},
         .m_availability_zone = d.m_availability_zones[i % kZones].m_name,
         .m_caller = {.m_address = "192.0.2.1", .m_port = 8080}});
  std::mt19937_64 random(kSeed);
  std::set<Prefix> distinct_prefixes;
  while (distinct_prefixes.size() < block_count) {
    const Prefix prefix = RandomPrefix(random);
    if (distinct_prefixes.insert(prefix).second)
      d.m_blocks.push_back({.m_prefix = ToString(prefix),
                            .m_site = d.m_sites[random() % kSites].m_name});
  }
  return d;
}

// Addresses within random blocks.
std::vector<IpAddress> MakeCallers(const Deployment& deployment) {
  std::mt19937_64 random(kSeed + 1);
  std::vector<IpAddress> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    const auto& block =
        deployment.m_blocks[random() % deployment.m_blocks.size()];
    IpAddress address = ParsePrefix(block.m_prefix).value().m_network;
    address.m_low |= random() & 0xffU;
    callers.push_back(address);
  }
  return callers;
}

struct Fixture {
  explicit Fixture(std::size_t block_count)
      : m_deployment(MakeDeployment(block_count)),
        m_callers(MakeCallers(m_deployment)),
        m_cell(std::make_unique<const Table>(
            Table::Build(m_deployment, {}).value())) {}

  Deployment m_deployment;
  std::vector<IpAddress> m_callers;
  rcu::Cell<Table> m_cell;
};

Fixture& FixtureFor(std::int64_t block_count) {
  static std::map<std::int64_t, std::unique_ptr<Fixture>> fixtures;
  auto& fixture = fixtures[block_count];
  if (!fixture)
    fixture = std::make_unique<Fixture>(static_cast<std::size_t>(block_count));
  return *fixture;
}

template <class Lookup>
void RunLookups(benchmark::State& state, Lookup lookup) {
  const rcu::ThreadRegistration registration;
  Fixture& fixture = FixtureFor(state.range(0));
  std::size_t next_caller = 0;
  for (auto _ : state) {
    const rcu::ReadSection section;
    lookup(fixture.m_cell.Read(section),
           fixture.m_callers[next_caller++ % kCallers]);
  }
  const rcu::ReadSection section;
  const auto bytes = fixture.m_cell.Read(section).Bytes();
  state.counters["table_bytes"] = static_cast<double>(bytes);
  state.SetItemsProcessed(state.iterations());
}

// Complete answers including their strings, as an entry daemon returns them.
void FindAnswer(benchmark::State& state) {
  const ServiceId service{"tankview"};
  RunLookups(state, [&](const Table& table, const IpAddress& caller) {
    benchmark::DoNotOptimize(table.Find(service, caller));
  });
}

// Finds the host list without copying it into an answer.
void FindHosts(benchmark::State& state) {
  RunLookups(state, [](const Table& table, const IpAddress& caller) {
    benchmark::DoNotOptimize(table.FindHosts(caller).data());
  });
}

void BuildTable(benchmark::State& state) {
  const Fixture& fixture = FixtureFor(state.range(0));
  for (auto _ : state)
    benchmark::DoNotOptimize(Table::Build(fixture.m_deployment, {}));
}

BENCHMARK(FindAnswer)->Arg(2800)->Arg(28000)->Arg(280000);
BENCHMARK(FindHosts)->Arg(2800)->Arg(28000)->Arg(280000);
BENCHMARK(BuildTable)
    ->Arg(2800)
    ->Arg(28000)
    ->Arg(280000)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace jujube::lookup
