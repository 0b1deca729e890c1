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

using Level = std::uint32_t;

constexpr Level kSameZone = 0;
constexpr Level kSameRegion = 1;
constexpr Level kFirstOtherRegion = 2;  // plus the delay in milliseconds
constexpr Level kNoLink = 0xffffffff;

struct Host {
  HostIndex m_index = 0;
  std::uint64_t m_hash = 0;
  const AvailabilityZone* m_zone = nullptr;
};

// Hosts that are equally near to a site.
struct Group {
  Level m_level = 0;
  std::vector<Host> m_hosts;
  const AvailabilityZone* m_only_zone = nullptr;  // if all hosts are in it
  const RegionId* m_only_region = nullptr;        // if all hosts are in it
};

struct Candidate {
  Level m_level = 0;
  std::uint64_t m_score = 0;  // rendezvous hash; the least is the best
  HostIndex m_index = 0;
  const AvailabilityZone* m_zone = nullptr;
};

bool Before(const Candidate& a, const Candidate& b) {
  return std::tie(a.m_level, a.m_score, a.m_index) <
         std::tie(b.m_level, b.m_score, b.m_index);
}

bool After(const Candidate& a, const Candidate& b) {
  return Before(b, a);
}

// Names of a deployment, resolved once for a build.
class Resolver {
 public:
  explicit Resolver(const Deployment& deployment) {
    for (const AvailabilityZone& zone : deployment.m_availability_zones)
      m_zones.emplace(zone.m_name.m_value, &zone);
    for (const Link& link : deployment.m_links) {
      const auto delay = static_cast<Level>(link.m_delay.count());
      m_delays.insert_or_assign({link.m_a.m_value, link.m_b.m_value}, delay);
      m_delays.insert_or_assign({link.m_b.m_value, link.m_a.m_value}, delay);
    }
  }

  Result<const AvailabilityZone*> Zone(const AvailabilityZoneId& id,
                                       std::string_view user) const {
    const auto found = m_zones.find(id.m_value);
    if (found == m_zones.end())
      return MakeError(ErrorCode::kInvalidInput,
                       std::string(user) +
                           " refers to the unknown availability zone \"" +
                           id.m_value + "\"");
    return found->second;
  }

  Level LevelOf(const AvailabilityZone& from,
                const AvailabilityZone& to) const {
    if (from.m_name == to.m_name)
      return kSameZone;
    if (from.m_region == to.m_region)
      return kSameRegion;
    const auto found =
        m_delays.find({from.m_region.m_value, to.m_region.m_value});
    return found == m_delays.end() ? kNoLink
                                   : kFirstOtherRegion + found->second;
  }

 private:
  using Pair = std::pair<std::string_view, std::string_view>;

  std::map<std::string_view, const AvailabilityZone*> m_zones;
  std::map<Pair, Level> m_delays;
};

bool IsDrained(const std::set<Drain>& drains,
               const EntryHost& host,
               const AvailabilityZone& zone) {
  const auto has = [&](DrainKind kind, const std::string& name) {
    return drains.contains({.m_kind = kind, .m_name = name});
  };
  return has(DrainKind::kEntryHost, host.m_name.m_value) ||
         has(DrainKind::kAvailabilityZone, zone.m_name.m_value) ||
         has(DrainKind::kRegion, zone.m_region.m_value);
}

// Hosts that lists may name: those without a drain, or all if each has one.
Result<std::vector<Host>> EligibleHosts(const Deployment& deployment,
                                        const Resolver& resolver,
                                        const std::vector<Drain>& drains) {
  const std::set<Drain> drained(drains.begin(), drains.end());
  std::vector<Host> all;
  std::vector<Host> eligible;
  for (const EntryHost& entry : deployment.m_entry_hosts) {
    const std::string user = "entry host \"" + entry.m_name.m_value + "\"";
    JUJUBE_TRY(const AvailabilityZone* zone,
               resolver.Zone(entry.m_availability_zone, user));
    all.push_back({.m_index = static_cast<HostIndex>(all.size()),
                   .m_hash = Hash64(entry.m_name.m_value),
                   .m_zone = zone});
    if (!IsDrained(drained, entry, *zone))
      eligible.push_back(all.back());
  }
  return eligible.empty() ? all : eligible;
}

Group MakeGroup(Level level, std::vector<Host> hosts) {
  const AvailabilityZone& zone = *hosts.front().m_zone;
  const bool one_zone = std::ranges::all_of(
      hosts, [&](const Host& host) { return host.m_zone == &zone; });
  const bool one_region = std::ranges::all_of(hosts, [&](const Host& host) {
    return host.m_zone->m_region == zone.m_region;
  });
  return {.m_level = level,
          .m_hosts = std::move(hosts),
          .m_only_zone = one_zone ? &zone : nullptr,
          .m_only_region = one_region ? &zone.m_region : nullptr};
}

// Groups from the nearest to the farthest; without a zone a single group.
std::vector<Group> GroupsFor(const AvailabilityZone* zone,
                             const std::vector<Host>& hosts,
                             const Resolver& resolver) {
  std::map<Level, std::vector<Host>> by_level;
  for (const Host& host : hosts) {
    const Level level =
        zone == nullptr ? kNoLink : resolver.LevelOf(*zone, *host.m_zone);
    by_level[level].push_back(host);
  }
  std::vector<Group> groups;
  groups.reserve(by_level.size());
  for (auto& [level, members] : by_level)
    groups.push_back(MakeGroup(level, std::move(members)));
  return groups;
}

// Chooses candidates in order of preference under the bounds of zone and
// region, and fills free places with those that the bounds left out.
class ListBuilder {
 public:
  void Offer(const Candidate& candidate) {
    if (HasRoom(*candidate.m_zone))
      m_chosen.push_back(candidate);
    else if (m_left_out.size() < kListLength)
      m_left_out.push_back(candidate);
  }

  bool Full() const { return m_chosen.size() == kListLength; }

  // Whether no further host of the group can change the list.
  bool DoneWith(const Group& group) const {
    if (Full())
      return true;
    if (m_left_out.size() < kListLength)
      return false;
    return (group.m_only_zone != nullptr && !HasRoom(*group.m_only_zone)) ||
           (group.m_only_region != nullptr &&
            InRegion(*group.m_only_region) >= kMaxInRegion);
  }

  HostList Finish() {
    for (const Candidate& candidate : m_left_out)
      if (!Full())
        m_chosen.push_back(candidate);
    std::sort(m_chosen.begin(), m_chosen.end(), Before);
    HostList list;
    for (const Candidate& candidate : m_chosen)
      list.m_hosts[list.m_count++] = candidate.m_index;
    m_chosen.clear();
    m_left_out.clear();
    return list;
  }

 private:
  bool HasRoom(const AvailabilityZone& zone) const {
    const auto in_zone =
        std::ranges::count(m_chosen, &zone, &Candidate::m_zone);
    return static_cast<std::size_t>(in_zone) < kMaxInZone &&
           InRegion(zone.m_region) < kMaxInRegion;
  }

  std::size_t InRegion(const RegionId& region) const {
    const auto count = std::ranges::count_if(m_chosen, [&](const Candidate& c) {
      return c.m_zone->m_region == region;
    });
    return static_cast<std::size_t>(count);
  }

  std::vector<Candidate> m_chosen;
  std::vector<Candidate> m_left_out;
};

// Offers the hosts of a group in rendezvous order. A heap orders only as many
// of them as the list needs.
void OfferGroup(const Group& group,
                std::uint64_t slot_hash,
                std::vector<Candidate>& heap,
                ListBuilder& builder) {
  heap.clear();
  for (const Host& host : group.m_hosts)
    heap.push_back({.m_level = group.m_level,
                    .m_score = MixHash(slot_hash, host.m_hash),
                    .m_index = host.m_index,
                    .m_zone = host.m_zone});
  std::make_heap(heap.begin(), heap.end(), After);
  while (!heap.empty() && !builder.DoneWith(group)) {
    std::pop_heap(heap.begin(), heap.end(), After);
    builder.Offer(heap.back());
    heap.pop_back();
  }
}

void AppendLists(const std::vector<Group>& groups,
                 std::uint64_t zone_hash,
                 std::vector<HostList>& lists) {
  ListBuilder builder;
  std::vector<Candidate> heap;
  for (std::size_t slot = 0; slot < kSlots; ++slot) {
    const std::uint64_t slot_hash = MixHash(zone_hash, slot);
    for (const Group& group : groups) {
      if (builder.Full())
        break;
      OfferGroup(group, slot_hash, heap, builder);
    }
    lists.push_back(builder.Finish());
  }
}

}  // namespace

Result<SiteTable> SiteTable::Build(const Deployment& deployment,
                                   const std::vector<Drain>& drains) {
  const Resolver resolver(deployment);
  JUJUBE_TRY(const std::vector<Host> hosts,
             EligibleHosts(deployment, resolver, drains));
  SiteTable table;
  AppendLists(GroupsFor(nullptr, hosts, resolver), Hash64(""), table.m_lists);
  std::map<const AvailabilityZone*, std::uint32_t> first_of_zone;
  for (const Site& site : deployment.m_sites) {
    const std::string user = "site \"" + site.m_name.m_value + "\"";
    JUJUBE_TRY(const AvailabilityZone* zone,
               resolver.Zone(site.m_availability_zone, user));
    const auto first = static_cast<std::uint32_t>(table.m_lists.size());
    const auto [entry, added] = first_of_zone.emplace(zone, first);
    if (added)
      AppendLists(GroupsFor(zone, hosts, resolver),
                  Hash64(zone->m_name.m_value), table.m_lists);
    table.m_first.push_back(entry->second);
  }
  table.m_lists.shrink_to_fit();
  return table;
}

}  // namespace jujube::lookup
