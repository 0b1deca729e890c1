#include <cstdlib>

#include <gtest/gtest.h>

#include "unit/quotas_simulation.h"
#include "unit/random_schedule.h"

namespace jujube::quotas {
namespace {

using jujube::testing::Step;
using std::chrono::milliseconds;
using testing::LimitedTenant;
using testing::Simulation;

// CI runs a few schedules; JUJUBE_QUOTA_SCHEDULES sets another number.
int ScheduleCount() {
  const char* count = std::getenv("JUJUBE_QUOTA_SCHEDULES");
  return count != nullptr ? std::atoi(count) : 300;
}

void RunStep(Simulation& simulation, const Step& step) {
  const std::size_t host = step.m_host % simulation.HostCount();
  const std::size_t tenant = step.m_amount % 2;
  switch (step.m_action % 16) {
    case 0:
    case 1:
    case 2:
      simulation.Run(milliseconds(step.m_amount * 10));
      break;
    case 3:
      simulation.Cut(host, milliseconds(step.m_amount * 20));
      break;
    case 4:
      simulation.Freeze(host, milliseconds(step.m_amount * 20));
      break;
    case 5:
      simulation.Restart(host);
      break;
    case 6:
      if (step.m_host % 2 == 0)
        simulation.Elect();
      break;
    case 7:
      simulation.SetLoss(step.m_amount % 8);
      break;
    case 8:
      simulation.HearOldLeader(host);
      break;
    case 9:
      // Spends all tokens at once, wherever they are.
      for (std::size_t i = 0; i < simulation.HostCount(); ++i)
        simulation.Request(i, tenant, 256);
      break;
    case 10:
      // Leaves time for a full bucket.
      simulation.Run(milliseconds(step.m_amount * 100));
      break;
    case 11:
      // A large part moves to one host.
      for (int i = 0; i < 20; ++i) {
        simulation.Request(host, tenant, 4);
        simulation.Run(milliseconds(100));
      }
      break;
    default:
      simulation.Request(host, tenant, step.m_amount % 16U);
      simulation.Run(milliseconds(50));
  }
}

// Guards against a window with more requests than the quota allows, because
// tokens are held by a host that the leader cannot hear, are counted as
// returned while they are spent, or are granted by two leaders.
TEST(QuotaSchedule, NoWindowExceedsTheQuota) {
  jujube::testing::CheckSchedules(
      ScheduleCount(), [](const std::vector<Step>& steps) {
        Simulation simulation(
            4, {LimitedTenant("burst", 1, 60), LimitedTenant("steady", 20, 0)});
        for (const Step& step : steps) {
          RunStep(simulation, step);
          // A window exceeds the quota only if the same schedule goes on to
          // spend all tokens, so the sum is checked as well.
          for (const Tenant& tenant : simulation.Tenants()) {
            RC_ASSERT(simulation.Usable(tenant.m_name) <=
                      MakeBound(tenant, simulation.Settings()).m_capacity +
                          1e-6);
          }
        }
        for (const Tenant& tenant : simulation.Tenants()) {
          RC_ASSERT(
              static_cast<double>(simulation.MaxAccepted(tenant.m_name)) <=
              MaxInWindow(tenant, simulation.Settings()));
        }
      });
}

// Guards against a limit that rises and falls, or a tenant that vanishes and
// returns, so often that more is accepted than under its highest limit.
TEST(QuotaSchedule, ChangedLimitsStayUnderTheHighest) {
  jujube::testing::CheckSchedules(
      ScheduleCount() / 3, [](const std::vector<Step>& steps) {
        const Tenant highest = LimitedTenant("t", 2, 60);
        const Tenant other = LimitedTenant("other", 5, 5);
        Simulation simulation(4, {highest, other});
        for (const Step& step : steps) {
          // The list keeps two tenants, one of them under a new name while the
          // tenant has vanished.
          if (step.m_action % 16 == 7) {
            simulation.SetTenants(
                {step.m_amount % 3 == 0
                     ? LimitedTenant("gone", 1, 1)
                     : LimitedTenant("t", 1 + step.m_amount % 2,
                                     step.m_host % 61),
                 other});
            continue;
          }
          RunStep(simulation, step);
        }
        RC_ASSERT(static_cast<double>(simulation.MaxAccepted(highest.m_name)) <=
                  MaxInWindow(highest, simulation.Settings()));
      });
}

}  // namespace
}  // namespace jujube::quotas
