// Precomputed lists of entry hosts for each site.

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

// Entry hosts in a list: two near ones, one for the loss of their availability
// zone and one for the loss of their region.
inline constexpr std::size_t kListLength = 4;

// At most so many hosts of a list share an availability zone, and at most so
// many a region, as long as hosts elsewhere can take the other places.
// Otherwise a zone of 28 hosts would fill whole lists and its loss would leave
// callers without a host to try.
inline constexpr std::size_t kMaxInZone = 2;
inline constexpr std::size_t kMaxInRegion = 3;

// Lists of a site. Blocks spread over them by hash; with 28 entry hosts in an
// availability zone each host leads about 9 lists.
inline constexpr std::size_t kSlots = 256;

struct HostList {
  std::array<HostIndex, kListLength> m_hosts{};
  std::uint8_t m_count = 0;

  std::span<const HostIndex> Hosts() const { return {m_hosts.data(), m_count}; }

  friend auto operator<=>(const HostList&, const HostList&) = default;
};

// A list is ordered by availability zone, then region, then delay of the link
// between the regions (no link: last), and by rendezvous hashing within each
// level. Hosts that are drained, or whose zone or region is, are left out
// unless no host remains. Removing a host changes only lists that named it.
class SiteTable {
 public:
  SiteTable() = default;

  // Fails with kInvalidInput on a reference to an unknown availability zone or
  // region.
  static Result<SiteTable> Build(const Deployment& deployment,
                                 const std::vector<Drain>& drains);

  // Number of the list for a hash; `site` is a position in Deployment::m_sites.
  std::uint32_t ListOf(std::size_t site, std::uint64_t hash) const {
    return m_first[site] + static_cast<std::uint32_t>(hash % kSlots);
  }

  // List for callers without a home site; it prefers no availability zone.
  static std::uint32_t DefaultListOf(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash % kSlots);
  }

  // Precondition: the number comes from one of the two functions above.
  const HostList& List(std::uint32_t number) const { return m_lists[number]; }

  std::span<const HostList> Lists() const { return m_lists; }
  std::size_t Bytes() const {
    return m_lists.capacity() * sizeof(HostList) +
           m_first.capacity() * sizeof(std::uint32_t);
  }

  friend bool operator==(const SiteTable&, const SiteTable&) = default;

 private:
  std::vector<HostList> m_lists;       // default lists, then those of each zone
  std::vector<std::uint32_t> m_first;  // first list of each site
};

}  // namespace jujube::lookup
