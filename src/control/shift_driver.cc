#include "control/shift_driver.h"

#include <algorithm>
#include <set>

#include "steering/shift_limits.h"
#include "steering/shift_state.h"

namespace jujube::control {

using std::chrono::milliseconds;

namespace {

// Entry hosts report once a second. Without the report of a host the load sums
// are too low, which must not be taken for free capacity.
constexpr milliseconds kMaxReportAge{3000};
// A report covers the interval since the previous report.
constexpr milliseconds kReportInterval{1000};

std::uint32_t ClampToUint32(std::uint64_t units) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(units, UINT32_MAX));
}

std::map<HostId, RegionId> RegionsByHost(const Deployment& document) {
  std::map<AvailabilityZoneId, RegionId> zones;
  for (const AvailabilityZone& zone : document.m_availability_zones)
    zones.emplace(zone.m_name, zone.m_region);
  std::map<HostId, RegionId> regions;
  for (const EntryHost& host : document.m_entry_hosts)
    regions.emplace(host.m_name, zones[host.m_availability_zone]);
  return regions;
}

// Regions that are drained or have lost the leases of all their entry hosts. A
// region without any registered entry host does not count as lost, because
// nothing is known about it yet.
std::vector<RegionId> UnavailableRegions(const StateMachine& state) {
  const Deployment& document = state.Config().Document();
  const std::map<HostId, RegionId> regions = RegionsByHost(document);
  std::set<RegionId> regions_with_lease;
  std::set<RegionId> regions_with_host;
  for (const EntryHostStatus& host : state.Hosts().All()) {
    const auto region = regions.find(host.m_host);
    if (region == regions.end())
      continue;
    regions_with_host.insert(region->second);
    if (host.m_alive)
      regions_with_lease.insert(region->second);
  }
  std::vector<RegionId> unavailable;
  for (const Region& region : document.m_regions) {
    const Drain drain{.m_kind = DrainKind::kRegion,
                      .m_name = region.m_name.m_value};
    const std::vector<Drain>& drains = state.Config().Drains();
    const bool is_drained =
        std::find(drains.begin(), drains.end(), drain) != drains.end();
    const bool is_lost = regions_with_host.contains(region.m_name) &&
                         !regions_with_lease.contains(region.m_name);
    if (is_drained || is_lost)
      unavailable.push_back(region.m_name);
  }
  return unavailable;
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
      report.m_in_progress[{demand.m_limit.m_name}] =
          ClampToUint32(demand.m_in_use);
    }
  }
  m_reports[request.m_host] = std::move(report);
}

void ShiftDriver::Clear() {
  m_reports.clear();
  m_plan.reset();
}

bool ShiftDriver::HasAllReports(const StateMachine& state, MonoTime now) const {
  const std::vector<EntryHostStatus> hosts = state.Hosts().All();
  return std::all_of(hosts.begin(), hosts.end(),
                     [&](const EntryHostStatus& host) {
                       const auto report = m_reports.find(host.m_host);
                       return !host.m_alive ||
                              (report != m_reports.end() &&
                               now - report->second.m_received < kMaxReportAge);
                     });
}

steering::ShiftInputs ShiftDriver::MakeInputs(const StateMachine& state,
                                              MonoTime now,
                                              UnixMillis wall_time) const {
  steering::ShiftInputs inputs{.m_now = wall_time,
                               .m_out = UnavailableRegions(state)};
  const Deployment& document = state.Config().Document();
  const std::map<HostId, RegionId> regions = RegionsByHost(document);
  std::map<RegionId, std::uint32_t> load_by_upstream_region;
  std::map<RegionId, std::uint32_t> load_by_host_region;
  milliseconds oldest_report_age{0};
  for (const auto& [host, report] : m_reports) {
    const auto region = regions.find(host);
    if (region == regions.end() || now - report.m_received >= kMaxReportAge)
      continue;
    oldest_report_age = std::max(
        oldest_report_age,
        std::chrono::duration_cast<milliseconds>(now - report.m_received));
    for (const auto& [target, in_progress] : report.m_in_progress) {
      load_by_upstream_region[target] += in_progress;
      load_by_host_region[region->second] += in_progress;
    }
  }
  // The plan divides the callers of a source region among regions by share. The
  // load of each region is attributed to the sources in proportion to their
  // shares there.
  const steering::ShiftPlan plan = PlanInForce(state);
  for (const steering::SourceSlots& source : plan.m_sources) {
    std::uint64_t demand = 0;
    for (const auto& [region, in_progress] : load_by_host_region) {
      std::uint64_t total_share = 0;
      for (const steering::SourceSlots& other : plan.m_sources)
        total_share += steering::ShareOf(other, region);
      if (total_share > 0) {
        demand += std::uint64_t{in_progress} *
                  steering::ShareOf(source, region) / total_share;
      }
    }
    inputs.m_demand.push_back(
        {.m_source = source.m_source, .m_in_progress = ClampToUint32(demand)});
  }
  if (!HasAllReports(state, now))
    return inputs;
  for (const Region& region : document.m_regions) {
    inputs.m_regions.push_back(
        {.m_region = region.m_name,
         .m_from = wall_time - oldest_report_age - kReportInterval,
         .m_in_progress = load_by_upstream_region[region.m_name],
         .m_usable = region.m_max_in_progress});
  }
  return inputs;
}

std::optional<ShiftCommand> ShiftDriver::NextStep(const StateMachine& state,
                                                  MonoTime now,
                                                  UnixMillis wall_time) {
  if (state.Config().FeedIndex() == 0)
    return std::nullopt;
  const steering::ShiftPlan current_plan = PlanInForce(state);
  if (!m_plan || !HasSameTargets(*m_plan, current_plan))
    m_plan = current_plan;
  const steering::ShiftPlan next_plan =
      steering::PlanShift(*m_plan, MakeInputs(state, now, wall_time),
                          state.Config().Document(), steering::ShiftLimits{});
  // A plan with the same targets differs only in bookkeeping: keep it here
  // without proposing it.
  if (HasSameTargets(next_plan, current_plan)) {
    m_plan = next_plan;
    return std::nullopt;
  }
  return ShiftCommand{.m_feed_index = state.Config().FeedIndex(),
                      .m_state = steering::ToShiftState(next_plan)};
}

}  // namespace jujube::control
