#include "limits/shares.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "core/hash.h"

namespace jujube::limits {

namespace {

constexpr std::uint64_t kPermille = 1000;

using Indexes = std::vector<std::size_t>;

// units * permille / 1000 without overflow.
std::uint64_t PermilleOf(std::uint64_t units, std::uint64_t permille) {
  return units / kPermille * permille +
         units % kPermille * permille / kPermille;
}

const HostLocation* ChooseByRendezvousHash(
    const std::vector<const HostLocation*>& hosts,
    const LimitId& limit) {
  const std::uint64_t name_hash = Hash64(limit.m_name);
  const HostLocation* chosen = nullptr;
  std::uint64_t highest_score = 0;
  for (const HostLocation* location : hosts) {
    const std::uint64_t score =
        MixHash(name_hash, Hash64(location->m_host.m_value));
    if (chosen == nullptr || score > highest_score) {
      chosen = location;
      highest_score = score;
    }
  }
  return chosen;
}

template <class Predicate>
std::vector<const HostLocation*> SelectHosts(const Topology& topology,
                                             Predicate predicate) {
  std::vector<const HostLocation*> hosts;
  for (const HostLocation& location : topology.m_hosts) {
    if (predicate(location))
      hosts.push_back(&location);
  }
  return hosts;
}

const HostLocation* ChooseSafeSlotHost(const Topology& topology,
                                       const LimitId& limit,
                                       const AvailabilityZoneId& zone) {
  const auto in_zone = SelectHosts(topology, [&](const HostLocation& location) {
    return location.m_zone == zone;
  });
  if (!in_zone.empty())
    return ChooseByRendezvousHash(in_zone, limit);
  const auto region = topology.m_region_by_zone.find(zone);
  const auto in_region =
      SelectHosts(topology, [&](const HostLocation& location) {
        return region != topology.m_region_by_zone.end() &&
               location.m_region == region->second;
      });
  if (!in_region.empty())
    return ChooseByRendezvousHash(in_region, limit);
  return ChooseByRendezvousHash(
      SelectHosts(topology, [](const HostLocation&) { return true; }), limit);
}

bool IsLinkEndpoint(const HostLocation& location, const std::string& link) {
  const std::size_t arrow = link.find('>');
  const std::string& region = location.m_region.m_value;
  return link.compare(0, arrow, region) == 0 ||
         link.compare(arrow + 1, std::string::npos, region) == 0;
}

std::vector<SafeShare> EqualShares(const Topology& topology, const Cap& cap) {
  const bool is_link = cap.m_limit.m_kind == LimitKind::kLink;
  const auto hosts = SelectHosts(topology, [&](const HostLocation& location) {
    return !is_link || IsLinkEndpoint(location, cap.m_limit.m_name);
  });
  std::vector<SafeShare> shares;
  for (const HostLocation* location : hosts) {
    const std::uint64_t units =
        PermilleOf(cap.m_size, kSafeSharePermille) / hosts.size();
    shares.push_back({.m_host = location->m_host, .m_units = units});
  }
  return shares;
}

// Water filling: in each pass, hosts that need less than an equal share get all
// they need, and the remainder is divided among the others. Subtracts the
// granted units from the pool.
void DivideMaxMinFair(std::uint64_t& pool,
                      Indexes unsatisfied,
                      const std::vector<ShareRequest>& requests,
                      std::vector<std::uint64_t>& grants) {
  const auto unmet_need = [&](std::size_t i) {
    return requests[i].m_need - grants[i];
  };
  const auto grant = [&](std::size_t i, std::uint64_t units) {
    grants[i] += units;
    pool -= units;
  };
  std::erase_if(unsatisfied, [&](std::size_t i) { return unmet_need(i) == 0; });
  while (!unsatisfied.empty() && pool >= unsatisfied.size()) {
    const std::uint64_t equal_share = pool / unsatisfied.size();
    for (const std::size_t i : unsatisfied)
      grant(i, std::min(equal_share, unmet_need(i)));
    std::erase_if(unsatisfied,
                  [&](std::size_t i) { return unmet_need(i) == 0; });
  }
  for (const std::size_t i : unsatisfied) {
    if (pool == 0)
      return;
    grant(i, 1);
  }
}

// Indexes of the requests, rotated by the round; only local or only remote
// hosts if a filter is given.
Indexes RotatedOrder(const std::vector<ShareRequest>& requests,
                     std::uint64_t round,
                     std::optional<bool> locality_filter) {
  Indexes order;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    if (!locality_filter || requests[i].m_is_local == *locality_filter)
      order.push_back(i);
  }
  if (!order.empty()) {
    const auto offset = static_cast<std::ptrdiff_t>(round % order.size());
    std::rotate(order.begin(), order.begin() + offset, order.end());
  }
  return order;
}

std::uint64_t RemoteReserve(std::uint64_t pool,
                            const std::vector<ShareRequest>& requests) {
  const bool has_remote_demand =
      std::ranges::any_of(requests, [](const ShareRequest& request) {
        return !request.m_is_local && request.m_need > 0;
      });
  if (!has_remote_demand || pool == 0)
    return 0;
  return std::max<std::uint64_t>(1, PermilleOf(pool, kRemoteReservePermille));
}

}  // namespace

std::vector<SafeShare> ComputeSafeShares(
    const Topology& topology,
    const Cap& cap,
    const AvailabilityZoneId& instance_zone) {
  if (cap.m_size == 0)
    return {};
  if (!HasAnnouncedCap(cap.m_limit.m_kind))
    return EqualShares(topology, cap);
  const HostLocation* safe_slot_host =
      ChooseSafeSlotHost(topology, cap.m_limit, instance_zone);
  if (safe_slot_host == nullptr)
    return {};
  if (cap.m_limit.m_kind == LimitKind::kInstanceSlots)
    return {{.m_host = safe_slot_host->m_host, .m_units = 1}};
  std::vector<SafeShare> shares = EqualShares(topology, cap);
  for (SafeShare& share : shares) {
    if (share.m_host == safe_slot_host->m_host)
      share.m_units = std::max<std::uint64_t>(share.m_units, 1);
  }
  return shares;
}

std::vector<std::uint64_t> DividePool(std::uint64_t pool,
                                      const std::vector<ShareRequest>& requests,
                                      std::uint64_t round) {
  std::vector<std::uint64_t> grants(requests.size(), 0);
  std::uint64_t remote_units = RemoteReserve(pool, requests);
  // A single unit alternates between local and remote hosts.
  if (pool == 1 && remote_units == 1) {
    remote_units = round % 2;
    round /= 2;
  }
  pool -= remote_units;
  DivideMaxMinFair(remote_units, RotatedOrder(requests, round, false), requests,
                   grants);
  pool += remote_units;
  DivideMaxMinFair(pool, RotatedOrder(requests, round, true), requests, grants);
  DivideMaxMinFair(pool, RotatedOrder(requests, round, false), requests,
                   grants);
  return grants;
}

}  // namespace jujube::limits
