// Measures what the key of a tenant adds to the path of a request: finding the
// tenant of a key, checking the access and writing the header fields for the
// upstream. Also measures the time to build the table of keys. The benchmark
// argument of the table is the number of keys; 86 tenants with one key each are
// the largest deployment today.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "entry/caller_key.h"
#include "entry/native_dialect.h"
#include "entry/send_lease.h"
#include "entry/tenant_access.h"
#include "rcu/thread.h"

namespace jujube::entry {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using tenants::TenantTable;

constexpr std::size_t kKeysToday = 86;
constexpr std::size_t kMaxKeys = 100000;
constexpr std::size_t kKeysPerTenant = 1000;  // of the large table

std::string KeyText(std::size_t number) {
  return "key-of-a-tenant-" + std::to_string(10000000 + number * 7919);
}

std::vector<Tenant> MakeTenants(std::size_t keys) {
  const std::size_t keys_per_tenant = keys > kKeysToday ? kKeysPerTenant : 1;
  std::vector<Tenant> tenants(keys / keys_per_tenant);
  for (std::size_t i = 0; i < keys; ++i) {
    Tenant& tenant = tenants[i % tenants.size()];
    tenant.m_name = {"tenant-" + std::to_string(i % tenants.size())};
    tenant.m_keys.push_back(KeyText(i));
  }
  return tenants;
}

// Each iteration looks up another key, so that the table is not read from the
// nearest cache only.
void FindKey(benchmark::State& state) {
  const auto count = static_cast<std::size_t>(state.range(0));
  const TenantTable table(MakeTenants(count));
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < count; ++i)
    keys.push_back(KeyText(i * 31 % count));
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.FindByKey(keys[next]));
    next = next + 1 == count ? 0 : next + 1;
  }
}
BENCHMARK(FindKey)->Arg(kKeysToday)->Arg(kMaxKeys);

void FindUnknownKey(benchmark::State& state) {
  const TenantTable table(
      MakeTenants(static_cast<std::size_t>(state.range(0))));
  for (auto _ : state)
    benchmark::DoNotOptimize(table.FindByKey("key-of-a-tenant-none"));
}
BENCHMARK(FindUnknownKey)->Arg(kKeysToday)->Arg(kMaxKeys);

// The table is built only when the tenants of a document have changed.
void BuildTable(benchmark::State& state) {
  const std::vector<Tenant> tenants =
      MakeTenants(static_cast<std::size_t>(state.range(0)));
  for (auto _ : state) {
    const TenantTable table(tenants);
    benchmark::DoNotOptimize(table.FindByKey("key"));
  }
}
BENCHMARK(BuildTable)
    ->Arg(kKeysToday)
    ->Arg(kMaxKeys)
    ->Unit(benchmark::kMicrosecond);

// What a request does that depends on tenants: two checks of its access (on
// arrival and before the attempt), the fields for the upstream, and the check
// before the first byte is sent. Arguments: number of keys of the document (0:
// no tenants), and number of different requests.
void RequestPath(benchmark::State& state) {
  const rcu::ThreadRegistration registration;
  const auto key_count = static_cast<std::size_t>(state.range(0));
  const auto request_count = static_cast<std::size_t>(state.range(1));
  const rcu::Cell<ServingView> view(std::make_unique<const ServingView>(
      ServingView{.m_tenants = std::make_shared<const TenantTable>(
                      key_count == 0 ? std::vector<Tenant>()
                                     : MakeTenants(key_count))}));
  const std::atomic<MonoTime> lease_end{MonoClock::now() + hours(1)};
  std::vector<RequestHead> heads;
  for (std::size_t i = 0; i < request_count; ++i) {
    heads.push_back({.m_method = "GET",
                     .m_headers = {{"Host", "timetable.example"},
                                   {"Authorization", "Bearer " + KeyText(i)},
                                   {"Accept", "*/*"},
                                   {"Jujube-Deadline-Ms", "2000"}}});
  }
  const steering::Selection selection{};
  std::size_t next = 0;
  for (auto _ : state) {
    const RequestHead& head = heads[next];
    next = next + 1 == heads.size() ? 0 : next + 1;
    Route route{.m_target = "/departures"};
    for (int check = 0; check < 2; ++check) {
      const AccessState access{.m_lease_end = lease_end.load()};
      const rcu::ReadSection section;
      benchmark::DoNotOptimize(CheckTenantAccess(
          head.m_headers, *view.Read(section).m_tenants, access, route));
    }
    benchmark::DoNotOptimize(NativeDialect::UpstreamHead(
        head, route, milliseconds(1900), "", selection));
    const SendLease lease(view, lease_end, ReadCallerKey(head.m_headers).m_key,
                          route.m_tenant);
    benchmark::DoNotOptimize(lease.IsValid());
  }
}
BENCHMARK(RequestPath)
    ->Args({0, kKeysToday})
    ->Args({kKeysToday, kKeysToday})
    ->Args({0, kMaxKeys})
    ->Args({kMaxKeys, kMaxKeys});

}  // namespace
}  // namespace jujube::entry
