#include "lookup/site_table.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace jujube::lookup {

namespace {

// Order of preference of hosts; smaller is closer.
using Distance = std::uint32_t;

constexpr Distance kSameZone = 0;
constexpr Distance kSameRegion = 1;
constexpr Distance kOtherRegionBase = 2;  // plus the delay in milliseconds
// For regions without a link, and for every host if there is no home zone.
constexpr Distance kNoLinkDistance = 0xffffffff;

struct EligibleHost {
  HostIndex m_index = 0;
  std::uint64_t m_hash = 0;
  const AvailabilityZone* m_zone = nullptr;
};

// Hosts at the same distance from an availability zone.
struct DistanceGroup {
  Distance m_distance = 0;
  std::vector<EligibleHost> m_hosts;
  const AvailabilityZone* m_common_zone = nullptr;  // null if the zones differ
  const RegionId* m_common_region = nullptr;  // null if the regions differ
};

struct Candidate {
  Distance m_distance = 0;
  std::uint64_t m_score = 0;  // rendezvous hash; smaller is better
  HostIndex m_index = 0;
  const AvailabilityZone* m_zone = nullptr;
};

bool PrecedesInRank(const Candidate& a, const Candidate& b) {
  return std::tie(a.m_distance, a.m_score, a.m_index) <
         std::tie(b.m_distance, b.m_score, b.m_index);
}

bool FollowsInRank(const Candidate& a, const Candidate& b) {
  return PrecedesInRank(b, a);
}

// Availability zones and link delays of a deployment, indexed by name. Refers
// to the deployment.
class TopologyIndex {
 public:
  explicit TopologyIndex(const Deployment& deployment) {
    for (const AvailabilityZone& zone : deployment.m_availability_zones)
      m_zones.emplace(zone.m_name.m_value, &zone);
    for (const Link& link : deployment.m_links) {
      const auto delay = static_cast<Distance>(link.m_delay.count());
      m_delays.insert_or_assign({link.m_a.m_value, link.m_b.m_value}, delay);
      m_delays.insert_or_assign({link.m_b.m_value, link.m_a.m_value}, delay);
    }
  }

  Result<const AvailabilityZone*> FindZone(const AvailabilityZoneId& id,
                                           std::string_view referrer) const {
    const auto found = m_zones.find(id.m_value);
    if (found == m_zones.end())
      return MakeError(ErrorCode::kInvalidInput,
                       std::string(referrer) +
                           " refers to the unknown availability zone \"" +
                           id.m_value + "\"");
    return found->second;
  }

  Distance DistanceBetween(const AvailabilityZone& from,
                           const AvailabilityZone& to) const {
    if (from.m_name == to.m_name)
      return kSameZone;
    if (from.m_region == to.m_region)
      return kSameRegion;
    const auto found =
        m_delays.find({from.m_region.m_value, to.m_region.m_value});
    return found == m_delays.end() ? kNoLinkDistance
                                   : kOtherRegionBase + found->second;
  }

 private:
  using RegionPair = std::pair<std::string_view, std::string_view>;

  std::map<std::string_view, const AvailabilityZone*> m_zones;
  std::map<RegionPair, Distance> m_delays;
};

bool IsDrained(const std::set<Drain>& drains,
               const EntryHost& host,
               const AvailabilityZone& zone) {
  const auto is_drained_as = [&](DrainKind kind, const std::string& name) {
    return drains.contains({.m_kind = kind, .m_name = name});
  };
  return is_drained_as(DrainKind::kEntryHost, host.m_name.m_value) ||
         is_drained_as(DrainKind::kAvailabilityZone, zone.m_name.m_value) ||
         is_drained_as(DrainKind::kRegion, zone.m_region.m_value);
}

// Hosts that lists may contain: those not drained, or all if every host is
// drained.
Result<std::vector<EligibleHost>> ListEligibleHosts(
    const Deployment& deployment,
    const TopologyIndex& topology,
    const std::vector<Drain>& drains) {
  const std::set<Drain> drain_set(drains.begin(), drains.end());
  std::vector<EligibleHost> all;
  std::vector<EligibleHost> eligible;
  for (const EntryHost& host : deployment.m_entry_hosts) {
    const std::string referrer = "entry host \"" + host.m_name.m_value + "\"";
    JUJUBE_TRY(const AvailabilityZone* zone,
               topology.FindZone(host.m_availability_zone, referrer));
    all.push_back({.m_index = static_cast<HostIndex>(all.size()),
                   .m_hash = Hash64(host.m_name.m_value),
                   .m_zone = zone});
    if (!IsDrained(drain_set, host, *zone))
      eligible.push_back(all.back());
  }
  return eligible.empty() ? all : eligible;
}

DistanceGroup MakeDistanceGroup(Distance distance,
                                std::vector<EligibleHost> hosts) {
  const AvailabilityZone& zone = *hosts.front().m_zone;
  const bool shares_zone = std::ranges::all_of(
      hosts, [&](const EligibleHost& host) { return host.m_zone == &zone; });
  const bool shares_region =
      std::ranges::all_of(hosts, [&](const EligibleHost& host) {
        return host.m_zone->m_region == zone.m_region;
      });
  return {.m_distance = distance,
          .m_hosts = std::move(hosts),
          .m_common_zone = shares_zone ? &zone : nullptr,
          .m_common_region = shares_region ? &zone.m_region : nullptr};
}

// Groups in ascending distance from the zone. Without a zone, all hosts form
// one group.
std::vector<DistanceGroup> GroupHostsByDistance(
    const AvailabilityZone* zone,
    const std::vector<EligibleHost>& hosts,
    const TopologyIndex& topology) {
  std::map<Distance, std::vector<EligibleHost>> by_distance;
  for (const EligibleHost& host : hosts) {
    const Distance distance =
        zone == nullptr ? kNoLinkDistance
                        : topology.DistanceBetween(*zone, *host.m_zone);
    by_distance[distance].push_back(host);
  }
  std::vector<DistanceGroup> groups;
  groups.reserve(by_distance.size());
  for (auto& [distance, members] : by_distance)
    groups.push_back(MakeDistanceGroup(distance, std::move(members)));
  return groups;
}

// Collects the hosts of a list. Candidates are added in order of preference and
// accepted within the limits per zone and region. Places that remain free are
// filled with candidates over the limits.
class ListBuilder {
 public:
  void Add(const Candidate& candidate) {
    if (FitsLimits(*candidate.m_zone))
      m_chosen.push_back(candidate);
    else if (m_over_limit.size() < kHostsPerList)
      m_over_limit.push_back(candidate);
  }

  bool IsFull() const { return m_chosen.size() == kHostsPerList; }

  // True if no further host of the group can change the list.
  bool IsSettledBy(const DistanceGroup& group) const {
    if (IsFull())
      return true;
    if (m_over_limit.size() < kHostsPerList)
      return false;
    return (group.m_common_zone != nullptr &&
            !FitsLimits(*group.m_common_zone)) ||
           (group.m_common_region != nullptr &&
            CountInRegion(*group.m_common_region) >= kMaxHostsPerRegion);
  }

  // Returns the list and resets the builder.
  HostList TakeList() {
    for (const Candidate& candidate : m_over_limit)
      if (!IsFull())
        m_chosen.push_back(candidate);
    std::sort(m_chosen.begin(), m_chosen.end(), PrecedesInRank);
    HostList list;
    for (const Candidate& candidate : m_chosen)
      list.m_hosts[list.m_count++] = candidate.m_index;
    m_chosen.clear();
    m_over_limit.clear();
    return list;
  }

 private:
  bool FitsLimits(const AvailabilityZone& zone) const {
    const auto in_zone =
        std::ranges::count(m_chosen, &zone, &Candidate::m_zone);
    return static_cast<std::size_t>(in_zone) < kMaxHostsPerZone &&
           CountInRegion(zone.m_region) < kMaxHostsPerRegion;
  }

  std::size_t CountInRegion(const RegionId& region) const {
    const auto count = std::ranges::count_if(m_chosen, [&](const Candidate& c) {
      return c.m_zone->m_region == region;
    });
    return static_cast<std::size_t>(count);
  }

  std::vector<Candidate> m_chosen;
  std::vector<Candidate> m_over_limit;
};

// Adds the hosts of a group in the order of their rendezvous hash. A heap is
// used because a list needs only the first few of them.
void AddGroupCandidates(const DistanceGroup& group,
                        std::uint64_t list_hash,
                        std::vector<Candidate>& heap,
                        ListBuilder& builder) {
  heap.clear();
  for (const EligibleHost& host : group.m_hosts)
    heap.push_back({.m_distance = group.m_distance,
                    .m_score = MixHash(list_hash, host.m_hash),
                    .m_index = host.m_index,
                    .m_zone = host.m_zone});
  std::make_heap(heap.begin(), heap.end(), FollowsInRank);
  while (!heap.empty() && !builder.IsSettledBy(group)) {
    std::pop_heap(heap.begin(), heap.end(), FollowsInRank);
    builder.Add(heap.back());
    heap.pop_back();
  }
}

// Appends the kListsPerSite lists of a zone.
void AppendHostLists(const std::vector<DistanceGroup>& groups,
                     std::uint64_t zone_hash,
                     std::vector<HostList>& lists) {
  ListBuilder builder;
  std::vector<Candidate> heap;
  for (std::size_t list_number = 0; list_number < kListsPerSite;
       ++list_number) {
    const std::uint64_t list_hash = MixHash(zone_hash, list_number);
    for (const DistanceGroup& group : groups) {
      if (builder.IsFull())
        break;
      AddGroupCandidates(group, list_hash, heap, builder);
    }
    lists.push_back(builder.TakeList());
  }
}

}  // namespace

Result<SiteTable> SiteTable::Build(const Deployment& deployment,
                                   const std::vector<Drain>& drains) {
  const TopologyIndex topology(deployment);
  JUJUBE_TRY(const std::vector<EligibleHost> hosts,
             ListEligibleHosts(deployment, topology, drains));
  SiteTable table;
  AppendHostLists(GroupHostsByDistance(nullptr, hosts, topology), Hash64(""),
                  table.m_lists);
  std::map<const AvailabilityZone*, std::uint32_t> first_of_zone;
  for (const Site& site : deployment.m_sites) {
    const std::string referrer = "site \"" + site.m_name.m_value + "\"";
    JUJUBE_TRY(const AvailabilityZone* zone,
               topology.FindZone(site.m_availability_zone, referrer));
    const auto first = static_cast<std::uint32_t>(table.m_lists.size());
    const auto [zone_entry, added] = first_of_zone.emplace(zone, first);
    if (added)
      AppendHostLists(GroupHostsByDistance(zone, hosts, topology),
                      Hash64(zone->m_name.m_value), table.m_lists);
    table.m_first_list_of_site.push_back(zone_entry->second);
  }
  table.m_lists.shrink_to_fit();
  return table;
}

}  // namespace jujube::lookup
