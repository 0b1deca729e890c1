// Answers to look-ups: caller address -> block -> site -> slot -> entry hosts.
//
//   Result<Table> table = Table::Build(deployment, drains);  // off the path
//   rcu::Cell<Table> cell(std::make_unique<const Table>(table.value()));
//
//   JUJUBE_TRY(const Address caller, ParseAddress("198.51.100.7"));
//   const rcu::ReadSection section;
//   LookupAnswer answer = cell.Read(section).Find({"tankview"}, caller);
//
// A table is immutable and holds copies of what it needs; the deployment may go
// away. Equal deployments and drains make equal tables on every host: nothing
// depends on time, on randomness or on the order of blocks. Which blocks a
// change of the entry hosts moves is described in lookup/site_table.h.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/result.h"
#include "gen/deployment.h"
#include "gen/lookup.h"
#include "gen/shift.h"
#include "lookup/address.h"
#include "lookup/prefix_table.h"
#include "lookup/site_table.h"

namespace jujube::lookup {

// Callers outside every block share a list with their neighbours: those in the
// same /24 (IPv4) or /48 (IPv6), the smallest prefixes that are commonly
// routed on their own.
inline constexpr std::uint8_t kDefaultV4Length = 24;
inline constexpr std::uint8_t kDefaultV6Length = 48;

class Table {
 public:
  // A table that answers each look-up with no hosts.
  Table() = default;

  // Fails with kInvalidInput on a malformed or repeated prefix, or a reference
  // to an unknown site or availability zone; the message names it.
  // Blocks that the shift steers to another region get the lists of a site
  // there.
  static Result<Table> Build(const Deployment& deployment,
                             const std::vector<Drain>& drains,
                             const ShiftState& shift = {});

  // An unknown service gets an answer without hosts and with lifetime 0.
  LookupAnswer Find(const ServiceId& service, const Address& caller) const;

  // The hosts of the answer without copying strings; see HostAt.
  std::span<const HostIndex> FindHosts(const Address& caller) const;

  // Precondition: the index comes from FindHosts of the same table.
  const LookupHost& HostAt(HostIndex index) const { return m_hosts[index]; }

  bool HasService(const ServiceId& service) const;

  // Number of the deployment behind the table.
  std::uint64_t Version() const { return m_version; }

  // Memory of the table.
  std::size_t Bytes() const;

  friend bool operator==(const Table&, const Table&) = default;

 private:
  struct ServiceEntry {
    ServiceId m_name;
    std::chrono::milliseconds m_lifetime{0};

    // clang-tidy 14 takes a zero in the defaulted comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ServiceEntry&, const ServiceEntry&) = default;
  };

  const ServiceEntry* FindService(const ServiceId& service) const;

  std::uint64_t m_version = 0;
  std::vector<ServiceEntry> m_services;  // sorted by name
  std::vector<LookupHost> m_hosts;       // in the order of the deployment
  SiteTable m_sites;
  BlockTable m_blocks;  // numbers of lists in m_sites
};

}  // namespace jujube::lookup
