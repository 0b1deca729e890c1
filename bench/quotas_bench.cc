// Cost of the quota of a tenant on the path of a request, and at the leader.

#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "quotas/quota_holder.h"
#include "quotas/quota_ledger.h"
#include "quotas/quota_timing.h"

namespace jujube::quotas {
namespace {

std::shared_ptr<QuotaLease> EndlessLease() {
  auto lease = std::make_shared<QuotaLease>();
  lease->SetEnd(MonoTime::max());
  return lease;
}

void BmAdmit(benchmark::State& state) {
  static QuotaCell cell(EndlessLease());
  for (auto _ : state) {
    if (state.thread_index() == 0)
      cell.SetLimit(cell.Count().m_spent + 1000);
    benchmark::DoNotOptimize(cell.HasRoom(MonoClock::now()) &&
                             cell.TrySpend(MonoClock::now()));
  }
}
BENCHMARK(BmAdmit)->Threads(1)->Threads(4);

void BmRefuse(benchmark::State& state) {
  static QuotaCell cell(EndlessLease());
  for (auto _ : state) {
    const MonoTime now = MonoClock::now();
    if (!cell.HasRoom(now) && !cell.MayWait(now))
      benchmark::DoNotOptimize(cell.Refuse(12345, now));
    else
      cell.Refuse(1, now);
  }
}
BENCHMARK(BmRefuse);

// A report in which a quarter of the tenants was used, of one of `hosts`.
void BmReport(benchmark::State& state) {
  const auto hosts = static_cast<std::size_t>(state.range(0));
  const auto tenant_count = static_cast<std::size_t>(state.range(1));
  std::vector<Tenant> tenants;
  for (std::size_t i = 0; i < tenant_count; ++i) {
    tenants.push_back({.m_name = {"t" + std::to_string(i)},
                       .m_requests_per_1000s = 100000,
                       .m_burst = 1000});
  }
  MonoTime now{std::chrono::seconds(1000)};
  QuotaLedger ledger{QuotaSettings{}};
  ledger.StartTerm(now);
  ledger.SetTenants(tenants, now);
  std::uint64_t sequence = 0;
  std::uint32_t spent = 0;
  std::uint64_t shares = 0;
  for (auto _ : state) {
    now += kReportInterval / hosts;
    ++sequence;
    spent += sequence % hosts == 0 ? 1 : 0;
    QuotaReport report{.m_host = {"e" + std::to_string(sequence % hosts)},
                       .m_sequence = sequence,
                       .m_adopted = sequence > hosts ? sequence - hosts : 0};
    const std::size_t used = std::min<std::size_t>(tenant_count / 4, 100);
    for (std::size_t i = 0; i < used; ++i) {
      report.m_uses.push_back({.m_tenant = TenantKey(tenants[i].m_name),
                               .m_spent = spent,
                               .m_limit = spent});
    }
    const auto grant = ledger.OnReport(report, {"z"}, now);
    shares += grant ? grant->m_shares.size() : 0;
  }
  state.counters["shares"] =
      static_cast<double>(shares) / static_cast<double>(state.iterations());
}
BENCHMARK(BmReport)
    ->Args({34, 86})
    ->Args({118, 86})
    ->Args({1400, 86})
    ->Args({34, 10000});

}  // namespace
}  // namespace jujube::quotas
