#include "control/shift_driver.h"

#include <algorithm>
#include <set>

#include "steering/shift_limits.h"
#include "steering/shift_state.h"

namespace jujube::control {

using std::chrono::milliseconds;

namespace {

// Entry hosts report each second. A host that is silent for longer makes the
// sums incomplete, and an incomplete sum must not look like room.
constexpr milliseconds kReportAge{3000};
// A report covers the time since the one before.
constexpr milliseconds kReportInterval{1000};

std::uint32_t ToCount(std::uint64_t units) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(units, UINT32_MAX));
}

std::map<HostId, RegionId> RegionsOfHosts(const Deployment& document) {
  std::map<AvailabilityZoneId, RegionId> zones;
  for (const AvailabilityZone& zone : document.m_availability_zones)
    zones.emplace(zone.m_name, zone.m_region);
  std::map<HostId, RegionId> regions;
  for (const EntryHost& host : document.m_entry_hosts)
    regions.emplace(host.m_name, zones[host.m_availability_zone]);
  return regions;
}

// Regions that are drained or have no entry host with a lease. Before the first
// host has registered nothing is known, and no region is out.
std::vector<RegionId> RegionsOut(const StateMachine& state) {
  const Deployment& document = state.Config().Document();
  const std::map<HostId, RegionId> regions = RegionsOfHosts(document);
  std::set<RegionId> alive;
  std::set<RegionId> registered;
  for (const EntryHostStatus& host : state.Hosts().All()) {
    const auto region = regions.find(host.m_host);
    if (region == regions.end())
      continue;
    registered.insert(region->second);
    if (host.m_alive)
      alive.insert(region->second);
  }
  std::vector<RegionId> out;
  for (const Region& region : document.m_regions) {
    const Drain drain{.m_kind = DrainKind::kRegion,
                      .m_name = region.m_name.m_value};
    const std::vector<Drain>& drains = state.Config().Drains();
    const bool is_drained =
        std::find(drains.begin(), drains.end(), drain) != drains.end();
    const bool is_lost =
        registered.contains(region.m_name) && !alive.contains(region.m_name);
    if (is_drained || is_lost)
      out.push_back(region.m_name);
  }
  return out;
}

bool HasSameTargets(const steering::ShiftPlan& a,
                    const steering::ShiftPlan& b) {
  return std::equal(
      a.m_sources.begin(), a.m_sources.end(), b.m_sources.begin(),
      b.m_sources.end(),
      [](const steering::SourceSlots& x, const steering::SourceSlots& y) {
        return x.m_source == y.m_source && x.m_target == y.m_target;
      });
}

steering::ShiftPlan PlanInForce(const StateMachine& state) {
  const ShiftState& shift = state.Config().ShiftInForce();
  return shift.m_sources.empty() ? steering::HomePlan(state.Config().Document())
                                 : steering::ToShiftPlan(shift);
}

}  // namespace

void ShiftDriver::OnRequest(const AllotmentRequest& request, MonoTime now) {
  Report report{.m_received = now};
  for (const AllotmentDemand& demand : request.m_demands) {
    if (demand.m_limit.m_kind == LimitKind::kRegion) {
      report.m_in_progress[{demand.m_limit.m_name}] = ToCount(demand.m_in_use);
    }
  }
  m_reports[request.m_host] = std::move(report);
}

void ShiftDriver::Clear() {
  m_reports.clear();
  m_plan.reset();
}

bool ShiftDriver::IsComplete(const StateMachine& state, MonoTime now) const {
  const std::vector<EntryHostStatus> hosts = state.Hosts().All();
  return std::all_of(
      hosts.begin(), hosts.end(), [&](const EntryHostStatus& host) {
        const auto report = m_reports.find(host.m_host);
        return !host.m_alive || (report != m_reports.end() &&
                                 now - report->second.m_received < kReportAge);
      });
}

steering::ShiftInputs ShiftDriver::MakeInputs(const StateMachine& state,
                                              MonoTime now,
                                              UnixMillis wall) const {
  steering::ShiftInputs inputs{.m_now = wall, .m_out = RegionsOut(state)};
  const Deployment& document = state.Config().Document();
  const std::map<HostId, RegionId> regions = RegionsOfHosts(document);
  std::map<RegionId, std::uint32_t> load;     // by region of the upstream
  std::map<RegionId, std::uint32_t> carried;  // by region of the entry host
  milliseconds oldest{0};
  for (const auto& [host, report] : m_reports) {
    const auto region = regions.find(host);
    if (region == regions.end() || now - report.m_received >= kReportAge)
      continue;
    oldest = std::max(oldest, std::chrono::duration_cast<milliseconds>(
                                  now - report.m_received));
    for (const auto& [target, in_progress] : report.m_in_progress) {
      load[target] += in_progress;
      carried[region->second] += in_progress;
    }
  }
  // The callers of a source are spread over regions by their shares; a region
  // carries them in proportion.
  const steering::ShiftPlan plan = PlanInForce(state);
  for (const steering::SourceSlots& source : plan.m_sources) {
    std::uint64_t demand = 0;
    for (const auto& [region, in_progress] : carried) {
      std::uint64_t shares = 0;
      for (const steering::SourceSlots& other : plan.m_sources)
        shares += steering::ShareOf(other, region);
      if (shares > 0) {
        demand += std::uint64_t{in_progress} *
                  steering::ShareOf(source, region) / shares;
      }
    }
    inputs.m_demand.push_back(
        {.m_source = source.m_source, .m_in_progress = ToCount(demand)});
  }
  if (!IsComplete(state, now))
    return inputs;
  for (const Region& region : document.m_regions) {
    inputs.m_regions.push_back({.m_region = region.m_name,
                                .m_from = wall - oldest - kReportInterval,
                                .m_in_progress = load[region.m_name],
                                .m_usable = region.m_max_in_progress});
  }
  return inputs;
}

std::optional<ShiftCommand> ShiftDriver::NextStep(const StateMachine& state,
                                                  MonoTime now,
                                                  UnixMillis wall) {
  if (state.Config().FeedIndex() == 0)
    return std::nullopt;
  const steering::ShiftPlan in_force = PlanInForce(state);
  if (!m_plan || !HasSameTargets(*m_plan, in_force))
    m_plan = in_force;
  const steering::ShiftPlan next =
      steering::PlanShift(*m_plan, MakeInputs(state, now, wall),
                          state.Config().Document(), steering::ShiftLimits{});
  // Changes of bookkeeping alone are kept here, not proposed.
  if (HasSameTargets(next, in_force)) {
    m_plan = next;
    return std::nullopt;
  }
  return ShiftCommand{.m_feed_index = state.Config().FeedIndex(),
                      .m_state = steering::ToShiftState(next)};
}

}  // namespace jujube::control
