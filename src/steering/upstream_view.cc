#include "steering/upstream_view.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "steering/cold_request_interval.h"
#include "steering/object_weight.h"
#include "steering/region_shares.h"

namespace jujube::steering {
namespace {

// Network delay between availability zones of a region, from section 3 of the
// design page.
constexpr std::chrono::milliseconds kZoneDelay{1};

// Delay between regions that have no link in the deployment; above the delay of
// any current link.
constexpr std::chrono::milliseconds kUnlinkedRegionDelay{100};

// Share of a region that has none by the plan.
constexpr double kMinRegionShare = 1e-4;

const AvailabilityZone* FindZone(const Deployment& deployment,
                                 const AvailabilityZoneId& name) {
  const auto& zones = deployment.m_availability_zones;
  const auto found =
      std::find_if(zones.begin(), zones.end(),
                   [&](const auto& zone) { return zone.m_name == name; });
  return found == zones.end() ? nullptr : &*found;
}

std::chrono::milliseconds LinkDelay(const Deployment& deployment,
                                    const RegionId& a,
                                    const RegionId& b) {
  for (const Link& link : deployment.m_links) {
    if ((link.m_a == a && link.m_b == b) || (link.m_a == b && link.m_b == a))
      return link.m_delay;
  }
  return kUnlinkedRegionDelay;
}

bool IsDraining(const std::vector<Drain>& drains,
                const Announcement& announcement,
                const RegionId& region) {
  return std::any_of(drains.begin(), drains.end(), [&](const Drain& drain) {
    switch (drain.m_kind) {
      case DrainKind::kInstance:
        return drain.m_name == announcement.m_service.m_value + "/" +
                                   announcement.m_instance.m_value;
      case DrainKind::kAvailabilityZone:
        return drain.m_name == announcement.m_availability_zone.m_value;
      case DrainKind::kRegion:
        return drain.m_name == region.m_value;
      case DrainKind::kEntryHost:
        break;
    }
    return false;
  });
}

SlotGrant GrantOf(const ViewInputs& inputs, const Announcement& announcement) {
  if (!inputs.m_grants)
    return {.m_safe = announcement.m_slots * inputs.m_queue_factor};
  const auto found = inputs.m_grants->find(membership::KeyOf(announcement));
  return found == inputs.m_grants->end() ? SlotGrant{} : found->second;
}

Upstream MakeUpstream(const ViewInputs& inputs,
                      const Service& service,
                      const membership::Member& member,
                      const RegionId& region,
                      CounterTable& counters) {
  const Announcement& announcement = member.m_announcement;
  const AvailabilityZone* own_zone =
      FindZone(inputs.m_deployment, inputs.m_zone);
  const bool is_same_zone = announcement.m_availability_zone == inputs.m_zone;
  const bool is_same_region =
      own_zone != nullptr && own_zone->m_region == region;
  const Tier other_zone_tier = is_same_region ? Tier::kRegion : Tier::kRemote;
  const auto other_zone_delay =
      is_same_region
          ? kZoneDelay
          : LinkDelay(inputs.m_deployment,
                      own_zone ? own_zone->m_region : RegionId{}, region);
  const std::uint64_t hash = Hash64(announcement.m_instance.m_value);
  const bool is_draining = IsDraining(inputs.m_drains, announcement, region);
  std::shared_ptr<InstanceCounters> shared_counters =
      counters.GetOrCreateCounters(membership::KeyOf(announcement),
                                   announcement.m_incarnation);
  shared_counters->SetDraining(is_draining, inputs.m_now);
  return {
      .m_member = member,
      .m_region = region,
      .m_tier = is_same_zone ? Tier::kZone : other_zone_tier,
      .m_delay = is_same_zone ? std::chrono::milliseconds(0) : other_zone_delay,
      .m_grant = GrantOf(inputs, announcement),
      .m_instance_hash = hash,
      .m_cold_request_interval =
          ColdRequestInterval(service.m_cold_requests_per_1000s, hash,
                              inputs.m_host, inputs.m_entry_hosts),
      .m_is_draining = is_draining,
      .m_counters = std::move(shared_counters)};
}

void SetObjectWeights(ServiceUpstreams& service) {
  std::uint32_t zone_slots = 0;
  for (const Upstream& upstream : service.m_upstreams) {
    if (upstream.m_tier == Tier::kZone)
      zone_slots += upstream.m_member.m_announcement.m_slots;
  }
  for (Upstream& upstream : service.m_upstreams)
    upstream.m_object_weight = ObjectWeight(upstream.m_tier, zone_slots);
}

// Distributes the objects of this host's region by the plan for regions, and
// within each region by slots. All hosts of a region have the same order then:
// an object that is known to an instance for one of them is known for all.
void SetPlannedObjectWeights(const ViewInputs& inputs,
                             ServiceUpstreams& service) {
  const auto& zones = inputs.m_deployment.m_availability_zones;
  const AvailabilityZone* own_zone =
      FindZone(inputs.m_deployment, inputs.m_zone);
  if (own_zone == nullptr)
    return;
  std::map<RegionId, RegionCapacity> capacity_by_region;
  for (const AvailabilityZone& zone : zones) {
    const auto hosts = inputs.m_entry_hosts_by_zone->find(zone.m_name);
    if (hosts != inputs.m_entry_hosts_by_zone->end())
      capacity_by_region[zone.m_region].m_entry_hosts += hosts->second;
  }
  for (const Upstream& upstream : service.m_upstreams) {
    if (upstream.m_is_draining)
      continue;
    capacity_by_region[upstream.m_region].m_slots +=
        upstream.m_member.m_announcement.m_slots;
  }
  std::vector<RegionId> regions;
  std::vector<RegionCapacity> capacities;
  for (const auto& [region, capacity] : capacity_by_region) {
    regions.push_back(region);
    capacities.push_back(capacity);
  }
  const auto own =
      std::lower_bound(regions.begin(), regions.end(), own_zone->m_region);
  const std::vector<double> shares = PlanRegionShares(
      capacities, static_cast<std::size_t>(own - regions.begin()));
  std::map<RegionId, double> share_by_region;
  for (std::size_t i = 0; i < regions.size(); ++i)
    share_by_region[regions[i]] = shares[i];
  for (Upstream& upstream : service.m_upstreams) {
    // A region without a share still comes last in the order, in case no other
    // region can take the request.
    const double share =
        std::max(share_by_region[upstream.m_region], kMinRegionShare);
    const std::uint32_t region_slots =
        capacity_by_region[upstream.m_region].m_slots;
    if (region_slots > 0)
      upstream.m_object_weight =
          share * upstream.m_member.m_announcement.m_slots / region_slots;
  }
}

bool IsNameLess(const ServiceUpstreams& service, const ServiceId& name) {
  return service.m_service.m_name < name;
}

}  // namespace

UpstreamView BuildView(const ViewInputs& inputs, CounterTable& counters) {
  UpstreamView view{.m_registry_version = inputs.m_registry.m_version,
                    .m_deployment_number = inputs.m_deployment.m_number,
                    .m_weights = inputs.m_deployment.m_weights};
  for (const Service& service : inputs.m_deployment.m_services) {
    view.m_services.push_back(
        {.m_service = service,
         .m_upstreams = {},
         .m_budget = counters.GetOrCreateBudget(service.m_name)});
    view.m_services.back().m_budget->SetBurst(inputs.m_retry_burst);
  }
  std::sort(view.m_services.begin(), view.m_services.end(),
            [](const auto& a, const auto& b) {
              return a.m_service.m_name < b.m_service.m_name;
            });
  // Members are sorted by service and instance, so each list is sorted too.
  for (const membership::Member& member : inputs.m_registry.m_members) {
    const Announcement& announcement = member.m_announcement;
    const auto service =
        std::lower_bound(view.m_services.begin(), view.m_services.end(),
                         announcement.m_service, IsNameLess);
    const AvailabilityZone* zone =
        FindZone(inputs.m_deployment, announcement.m_availability_zone);
    if (service == view.m_services.end() || zone == nullptr ||
        service->m_service.m_name != announcement.m_service) {
      ++view.m_unknown;
      continue;
    }
    service->m_upstreams.push_back(MakeUpstream(
        inputs, service->m_service, member, zone->m_region, counters));
  }
  for (ServiceUpstreams& service : view.m_services) {
    SetObjectWeights(service);
    if (!inputs.m_entry_hosts_by_zone)
      continue;
    SetPlannedObjectWeights(inputs, service);
    service.m_work = counters.GetOrCreateEstimator(service.m_service.m_name);
  }
  return view;
}

const ServiceUpstreams* FindService(const UpstreamView& view,
                                    const ServiceId& service) {
  const auto found = std::lower_bound(
      view.m_services.begin(), view.m_services.end(), service, IsNameLess);
  if (found == view.m_services.end() || found->m_service.m_name != service)
    return nullptr;
  return &*found;
}

}  // namespace jujube::steering
