#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>

#include "unit/quotas_simulation.h"

namespace jujube::quotas {
namespace {

using std::chrono::milliseconds;
using testing::LimitedTenant;
using testing::Simulation;

constexpr std::size_t kHosts = 34;
constexpr std::size_t kTenants = 86;
constexpr auto kTick = milliseconds(50);

// Rates like those of the sheets: a few tenants are large, many are small.
std::vector<Tenant> MakeTenants() {
  std::vector<Tenant> tenants;
  for (std::size_t i = 0; i < kTenants; ++i) {
    const std::uint64_t per_s = i < 4 ? 200 : i < 20 ? 40 : 8;
    tenants.push_back(LimitedTenant("t" + std::to_string(i), per_s, per_s * 2));
  }
  return tenants;
}

// Tenants send a fraction of their rate to hosts of a range, at random.
class Load {
 public:
  explicit Load(Simulation& simulation)
      : m_simulation(simulation), m_by_tenant(kTenants) {}

  // per_mille: of the rate, by tenant.
  template <class PerMille>
  void Run(milliseconds time,
           std::size_t first_host,
           std::size_t end_host,
           PerMille per_mille) {
    for (milliseconds passed{0}; passed < time; passed += kTick) {
      for (std::size_t i = 0; i < kTenants; ++i) {
        const double expected =
            static_cast<double>(
                m_simulation.Tenants()[i].m_requests_per_1000s) /
            1000 * per_mille(i) / 1000 *
            std::chrono::duration<double>(kTick).count();
        Send(i, expected, first_host, end_host);
      }
      m_simulation.Run(kTick);
      CountWaited();
    }
  }
  void Forget() { m_by_tenant.assign(kTenants, {}); }

  // Refusals among a thousand requests of the tenants in a range.
  double RefusedPerMille(std::size_t first, std::size_t end) const {
    Simulation::Traffic sum;
    for (std::size_t i = first; i < end; ++i) {
      sum.m_accepted += m_by_tenant[i].m_accepted;
      sum.m_refused += m_by_tenant[i].m_refused;
    }
    return 1000.0 * static_cast<double>(sum.m_refused) /
           static_cast<double>(sum.m_accepted + sum.m_refused);
  }
  std::uint64_t Waited() const { return m_waited; }
  const Simulation::Traffic& Of(std::size_t tenant) const {
    return m_by_tenant[tenant];
  }

 private:
  void CountWaited() {
    const auto waited = m_simulation.TakeWaited();
    for (std::size_t i = 0; i < kTenants; ++i) {
      const auto found = waited.find(m_simulation.Tenants()[i].m_name);
      if (found == waited.end())
        continue;
      m_by_tenant[i].m_accepted += found->second.m_accepted;
      m_by_tenant[i].m_refused += found->second.m_refused;
      m_waited += found->second.m_accepted;
    }
  }

  // Binomial with 64 draws, close to independent arrivals.
  void Send(std::size_t tenant,
            double expected,
            std::size_t first_host,
            std::size_t end_host) {
    constexpr int kDraws = 64;
    constexpr double kMax = 1e6;
    for (int i = 0; i < kDraws; ++i) {
      const double draw =
          static_cast<double>(m_simulation.Random() % 1000000) / kMax;
      if (draw >= expected / kDraws)
        continue;
      const std::size_t host =
          first_host + m_simulation.Random() % (end_host - first_host);
      const auto traffic = m_simulation.Request(host, tenant, 1);
      m_by_tenant[tenant].m_accepted += traffic.m_accepted;
      m_by_tenant[tenant].m_refused += traffic.m_refused;
    }
  }

  Simulation& m_simulation;
  std::vector<Simulation::Traffic> m_by_tenant;
  std::uint64_t m_waited = 0;  // requests that waited and were accepted
};

// At 62% of its rate, as on the sheets.
int Usual(std::size_t /*tenant*/) {
  return 620;
}

// Guards against refusals below the quota, and against a tenant whose flood
// takes tokens, or the attention of the leader, from others.
TEST(QuotaLoad, FloodOfOneTenantCostsOthersNothing) {
  Simulation simulation(kHosts, MakeTenants());
  simulation.Run(milliseconds(8000));
  Load load(simulation);
  load.Run(milliseconds(20000), 0, kHosts, Usual);
  const double before = load.RefusedPerMille(0, kTenants);
  load.Forget();
  load.Run(milliseconds(20000), 0, kHosts,
           [](std::size_t tenant) { return tenant == 30 ? 6000 : 620; });
  const double others = (load.RefusedPerMille(0, 30) * 30 +
                         load.RefusedPerMille(31, kTenants) * 55) /
                        85;
  std::cout << "refused per mille: usual " << before << ", others in a flood "
            << others << ", flooding tenant " << load.RefusedPerMille(30, 31)
            << ", requests that waited " << load.Waited() << std::endl;
  EXPECT_LT(before, 1);
  EXPECT_LT(others, 1);
  EXPECT_GT(load.RefusedPerMille(30, 31), 700);
  // It gets its quota all the same.
  EXPECT_GT(load.Of(30).m_accepted, 8 * 20 * 0.8);
  for (const Tenant& tenant : simulation.Tenants()) {
    EXPECT_LE(static_cast<double>(simulation.MaxAccepted(tenant.m_name)),
              MaxInWindow(tenant, simulation.Settings()));
  }
}

// Guards against parts that stay with the hosts of a zone that callers left.
TEST(QuotaLoad, PartsFollowCallersToAnotherZone) {
  Simulation simulation(kHosts, MakeTenants());
  simulation.Run(milliseconds(8000));
  Load load(simulation);
  load.Run(milliseconds(15000), 0, kHosts, Usual);
  load.Forget();
  load.Run(milliseconds(10000), 0, kHosts / 2, Usual);
  std::cout << "refused per mille after a shift: "
            << load.RefusedPerMille(0, kTenants) << std::endl;
  EXPECT_LT(load.RefusedPerMille(0, kTenants), 10);
}

// Guards against refusals while no leader grants. Tenants with hardly more
// tokens than there are hosts are hit; 32 of 1,000 requests of all tenants were
// refused in the 6 s after the loss when this test was written.
TEST(QuotaLoad, TokensOutlastTheLossOfTheLeader) {
  Simulation simulation(kHosts, MakeTenants());
  simulation.Run(milliseconds(8000));
  Load load(simulation);
  load.Run(milliseconds(10000), 0, kHosts, Usual);
  load.Forget();
  simulation.Elect();
  load.Run(milliseconds(6000), 0, kHosts, Usual);
  std::cout << "refused per mille after a loss of the leader: "
            << load.RefusedPerMille(0, kTenants) << std::endl;
  EXPECT_LT(load.RefusedPerMille(0, kTenants), 40);
}

// Guards against messages that repeat, or name tenants without need. 2,120
// bytes per second were measured when this test was written, in both directions
// and with 68 bytes for the header of each frame; the aim is 1,024.
TEST(QuotaLoad, MessagesStaySmall) {
  Simulation simulation(kHosts, MakeTenants());
  simulation.Run(milliseconds(8000));
  Load load(simulation);
  load.Run(milliseconds(5000), 0, kHosts, Usual);
  const std::uint64_t before = simulation.Bytes();
  load.Run(milliseconds(10000), 0, kHosts, Usual);
  const double bytes_per_s =
      static_cast<double>(simulation.Bytes() - before) / kHosts / 10;
  std::cout << "bytes per second and host: " << bytes_per_s << std::endl;
  EXPECT_LT(bytes_per_s, 2500);
}

}  // namespace
}  // namespace jujube::quotas
