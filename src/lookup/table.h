// Table: resolves a caller's address to the entry hosts that it should use:
// caller address -> caller block -> site -> host list -> entry hosts.
//
//   // Build a table in the background, not while a request waits:
//   Result<Table> table = Table::Build(deployment, drains);
//   rcu::Cell<Table> cell(std::make_unique<const Table>(table.value()));
//
//   // Use it on the path of a request:
//   JUJUBE_TRY(const IpAddress caller, ParseAddress("198.51.100.7"));
//   const rcu::ReadSection section;
//   LookupAnswer answer = cell.Read(section).Find({"tankview"}, caller);
//
// A table is immutable and copies what it needs, so that the deployment need
// not outlive it. Equal deployments, drains and shifts produce equal tables on
// every host: nothing depends on the time, on random numbers or on the order of
// the blocks. lookup/site_table.h describes which lists change with the entry
// hosts.

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

// Prefix lengths in bits. Callers outside every block share one default list
// per /24 (IPv4) or /48 (IPv6), the smallest prefixes that are commonly routed
// separately.
inline constexpr std::uint8_t kDefaultV4Length = 24;
inline constexpr std::uint8_t kDefaultV6Length = 48;

class Table {
 public:
  // An empty table: every look-up returns an answer without hosts.
  Table() = default;

  // Blocks that the shift moves to another region use the lists of a site in
  // that region. Fails with kInvalidInput on a malformed or duplicate prefix,
  // or on a reference to an unknown site or availability zone; the message
  // names it.
  static Result<Table> Build(const Deployment& deployment,
                             const std::vector<Drain>& drains,
                             const ShiftState& shift = {});

  // For an unknown service the answer has no hosts and a lifetime of 0.
  LookupAnswer Find(const ServiceId& service, const IpAddress& caller) const;

  // The hosts for a caller without copying strings; see HostAt.
  std::span<const HostIndex> FindHosts(const IpAddress& caller) const;

  // Precondition: the index comes from FindHosts of the same table.
  const LookupHost& HostAt(HostIndex index) const { return m_hosts[index]; }

  bool HasService(const ServiceId& service) const;

  // Number of the deployment from which the table was built.
  std::uint64_t DeploymentNumber() const { return m_version; }

  // Memory use of the table.
  std::size_t Bytes() const;

  friend bool operator==(const Table&, const Table&) = default;

 private:
  struct ServiceEntry {
    ServiceId m_name;
    std::chrono::milliseconds m_lifetime{0};

    // clang-tidy 14 takes the 0 of a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const ServiceEntry&, const ServiceEntry&) = default;
  };

  const ServiceEntry* FindService(const ServiceId& service) const;

  std::uint64_t m_version = 0;
  std::vector<ServiceEntry> m_services;  // sorted by name
  std::vector<LookupHost> m_hosts;  // in the order of Deployment::m_entry_hosts
  SiteTable m_site_table;
  PrefixTable m_block_lists;  // index in m_site_table of the list of each block
};

}  // namespace jujube::lookup
