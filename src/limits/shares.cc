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

// The cap times a permille, without overflow for any cap.
std::uint64_t PermilleOf(std::uint64_t units, std::uint64_t permille) {
  return units / kPermille * permille +
         units % kPermille * permille / kPermille;
}

const HostPlace* ChooseByHash(const std::vector<const HostPlace*>& hosts,
                              const LimitId& limit) {
  const std::uint64_t name_hash = Hash64(limit.m_name);
  const HostPlace* chosen = nullptr;
  std::uint64_t highest = 0;
  for (const HostPlace* place : hosts) {
    const std::uint64_t score =
        MixHash(name_hash, Hash64(place->m_host.m_value));
    if (chosen == nullptr || score > highest) {
      chosen = place;
      highest = score;
    }
  }
  return chosen;
}

template <class Matches>
std::vector<const HostPlace*> SelectHosts(const Topology& topology,
                                          Matches matches) {
  std::vector<const HostPlace*> hosts;
  for (const HostPlace& place : topology.m_hosts) {
    if (matches(place))
      hosts.push_back(&place);
  }
  return hosts;
}

const HostPlace* SafeSlotHost(const Topology& topology,
                              const LimitId& limit,
                              const AvailabilityZoneId& zone) {
  const auto in_zone = SelectHosts(
      topology, [&](const HostPlace& place) { return place.m_zone == zone; });
  if (!in_zone.empty())
    return ChooseByHash(in_zone, limit);
  const auto region = topology.m_zones.find(zone);
  const auto in_region = SelectHosts(topology, [&](const HostPlace& place) {
    return region != topology.m_zones.end() && place.m_region == region->second;
  });
  if (!in_region.empty())
    return ChooseByHash(in_region, limit);
  return ChooseByHash(
      SelectHosts(topology, [](const HostPlace&) { return true; }), limit);
}

bool UsesLink(const HostPlace& place, const std::string& link) {
  const std::size_t arrow = link.find('>');
  const std::string& region = place.m_region.m_value;
  return link.compare(0, arrow, region) == 0 ||
         link.compare(arrow + 1, std::string::npos, region) == 0;
}

std::vector<SafeShare> EqualShares(const Topology& topology, const Cap& cap) {
  const bool link = cap.m_limit.m_kind == LimitKind::kLink;
  const auto hosts = SelectHosts(topology, [&](const HostPlace& place) {
    return !link || UsesLink(place, cap.m_limit.m_name);
  });
  std::vector<SafeShare> shares;
  for (const HostPlace* place : hosts) {
    const std::uint64_t units =
        PermilleOf(cap.m_size, kSafePermille) / hosts.size();
    shares.push_back({.m_host = place->m_host, .m_units = units});
  }
  return shares;
}

// Water filling: in each pass the hosts that need less than an equal part are
// served in full, and the rest is divided among the others. Takes what it
// grants from the pool.
void FillFairly(std::uint64_t& pool,
                Indexes open,
                const std::vector<ShareRequest>& requests,
                std::vector<std::uint64_t>& grants) {
  const auto missing = [&](std::size_t i) {
    return requests[i].m_need - grants[i];
  };
  const auto grant = [&](std::size_t i, std::uint64_t units) {
    grants[i] += units;
    pool -= units;
  };
  std::erase_if(open, [&](std::size_t i) { return missing(i) == 0; });
  while (!open.empty() && pool >= open.size()) {
    const std::uint64_t part = pool / open.size();
    for (const std::size_t i : open)
      grant(i, std::min(part, missing(i)));
    std::erase_if(open, [&](std::size_t i) { return missing(i) == 0; });
  }
  for (const std::size_t i : open) {
    if (pool == 0)
      return;
    grant(i, 1);
  }
}

// Order of the hosts in a round.
Indexes RoundOrder(const std::vector<ShareRequest>& requests,
                   std::uint64_t round,
                   std::optional<bool> local) {
  Indexes order;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    if (!local || requests[i].m_local == *local)
      order.push_back(i);
  }
  if (!order.empty()) {
    const auto shift = static_cast<std::ptrdiff_t>(round % order.size());
    std::rotate(order.begin(), order.begin() + shift, order.end());
  }
  return order;
}

std::uint64_t RemotePart(std::uint64_t pool,
                         const std::vector<ShareRequest>& requests) {
  const bool wanted =
      std::ranges::any_of(requests, [](const ShareRequest& request) {
        return !request.m_local && request.m_need > 0;
      });
  if (!wanted || pool == 0)
    return 0;
  return std::max<std::uint64_t>(1, PermilleOf(pool, kRemotePermille));
}

}  // namespace

std::vector<SafeShare> SafeShares(const Topology& topology,
                                  const Cap& cap,
                                  const AvailabilityZoneId& instance_zone) {
  if (cap.m_size == 0)
    return {};
  if (!IsAnnounced(cap.m_limit.m_kind))
    return EqualShares(topology, cap);
  const HostPlace* owner = SafeSlotHost(topology, cap.m_limit, instance_zone);
  if (owner == nullptr)
    return {};
  if (cap.m_limit.m_kind == LimitKind::kInstanceSlots)
    return {{.m_host = owner->m_host, .m_units = 1}};
  std::vector<SafeShare> shares = EqualShares(topology, cap);
  for (SafeShare& share : shares) {
    if (share.m_host == owner->m_host)
      share.m_units = std::max<std::uint64_t>(share.m_units, 1);
  }
  return shares;
}

std::vector<std::uint64_t> DividePool(std::uint64_t pool,
                                      const std::vector<ShareRequest>& requests,
                                      std::uint64_t round) {
  std::vector<std::uint64_t> grants(requests.size(), 0);
  std::uint64_t remote = RemotePart(pool, requests);
  // A single unit alternates between local and other hosts.
  if (pool == 1 && remote == 1) {
    remote = round % 2;
    round /= 2;
  }
  pool -= remote;
  FillFairly(remote, RoundOrder(requests, round, false), requests, grants);
  pool += remote;
  FillFairly(pool, RoundOrder(requests, round, true), requests, grants);
  FillFairly(pool, RoundOrder(requests, round, false), requests, grants);
  return grants;
}

}  // namespace jujube::limits
