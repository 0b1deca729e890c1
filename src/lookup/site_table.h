// SiteTable: precomputed lists of entry hosts for each site.
//
//   JUJUBE_TRY(const SiteTable table, SiteTable::Build(deployment, drains));
//   table.ListAt(table.ListIndex(site, HashPrefix(prefix))).Hosts();

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/result.h"
#include "gen/deployment.h"

namespace jujube::lookup {

// Position of an entry host in Deployment::m_entry_hosts.
using HostIndex = std::uint16_t;

// Entry hosts in a list: two close to the caller, one in case their
// availability zone fails and one in case their region fails.
inline constexpr std::size_t kHostsPerList = 4;

// Maximum hosts of a list in the same availability zone and in the same region.
// A list exceeds them only if there are not enough hosts elsewhere. Without
// these limits a zone of 28 hosts would fill whole lists, and its failure would
// leave callers without a host to try.
inline constexpr std::size_t kMaxHostsPerZone = 2;
inline constexpr std::size_t kMaxHostsPerRegion = 3;

// Lists of each availability zone that has sites; all sites of a zone share
// them. As many default lists serve callers outside every block. Caller blocks
// are distributed over the lists of their zone by hash. With 28 entry hosts in
// a zone, each host is first in about 9 lists of that zone.
inline constexpr std::size_t kListsPerSite = 256;

struct HostList {
  std::array<HostIndex, kHostsPerList> m_hosts{};
  std::uint8_t m_count = 0;

  std::span<const HostIndex> Hosts() const { return {m_hosts.data(), m_count}; }

  friend auto operator<=>(const HostList&, const HostList&) = default;
};

// Hosts of a list are ordered by distance: the same availability zone, the same
// region, then other regions by the delay of the link (regions without a link
// last). Rendezvous hashing orders hosts at the same distance, so that removing
// a host changes only the lists that contained it. Drained hosts, and those of
// a drained zone or region, are excluded unless every host is drained.
class SiteTable {
 public:
  SiteTable() = default;

  // Fails with kInvalidInput if a host or a site refers to an unknown
  // availability zone.
  static Result<SiteTable> Build(const Deployment& deployment,
                                 const std::vector<Drain>& drains);

  // Index of the list for a hash; `site` is a position in Deployment::m_sites.
  std::uint32_t ListIndex(std::size_t site, std::uint64_t hash) const {
    return m_first_list_of_site[site] +
           static_cast<std::uint32_t>(hash % kListsPerSite);
  }

  // Index of the list for callers outside every block; it prefers no
  // availability zone.
  static std::uint32_t DefaultListIndex(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash % kListsPerSite);
  }

  // Precondition: the index comes from one of the two functions above.
  const HostList& ListAt(std::uint32_t list_index) const {
    return m_lists[list_index];
  }

  std::span<const HostList> Lists() const { return m_lists; }
  std::size_t Bytes() const {
    return m_lists.capacity() * sizeof(HostList) +
           m_first_list_of_site.capacity() * sizeof(std::uint32_t);
  }

  friend bool operator==(const SiteTable&, const SiteTable&) = default;

 private:
  std::vector<HostList> m_lists;  // default lists, then those of each zone
  std::vector<std::uint32_t> m_first_list_of_site;  // positions in m_lists
};

}  // namespace jujube::lookup
