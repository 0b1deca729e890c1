#include "lookup/table.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

#include "lookup/site_selector.h"

namespace jujube::lookup {

namespace {

Error BlockError(const CallerBlock& block, const std::string& reason) {
  return MakeError(ErrorCode::kInvalidInput,
                   "block \"" + block.m_prefix + "\": " + reason);
}

// Fails if a prefix occurs more than once.
Status CheckDistinct(std::vector<Prefix> prefixes) {
  std::sort(prefixes.begin(), prefixes.end());
  const auto duplicate = std::adjacent_find(prefixes.begin(), prefixes.end());
  if (duplicate == prefixes.end())
    return Success();
  return MakeError(ErrorCode::kInvalidInput, "block \"" + ToString(*duplicate) +
                                                 "\" is listed more than once");
}

// Maps each block to the index of its list in the site table.
Result<PrefixTable> BuildBlockLists(const Deployment& deployment,
                                    const SiteTable& site_table,
                                    const SiteSelector& site_selector) {
  std::map<std::string_view, std::size_t> site_index;
  for (const Site& site : deployment.m_sites)
    site_index.emplace(site.m_name.m_value, site_index.size());
  std::vector<PrefixTable::Entry> entries;
  std::vector<Prefix> prefixes;
  entries.reserve(deployment.m_blocks.size());
  prefixes.reserve(deployment.m_blocks.size());
  for (const CallerBlock& block : deployment.m_blocks) {
    const auto prefix = ParsePrefix(block.m_prefix);
    if (!prefix)
      return BlockError(block, prefix.error().m_message);
    const auto site = site_index.find(block.m_site.m_value);
    if (site == site_index.end())
      return BlockError(block, "unknown site \"" + block.m_site.m_value + "\"");
    entries.push_back(
        {.m_prefix = prefix.value(),
         .m_value = site_table.ListIndex(
             site_selector.SelectSite(site->second, block.m_prefix),
             HashPrefix(prefix.value()))});
    prefixes.push_back(prefix.value());
  }
  JUJUBE_TRY(CheckDistinct(std::move(prefixes)));
  return PrefixTable(entries);
}

std::uint32_t DefaultListIndex(const IpAddress& caller) {
  const std::uint8_t length = caller.m_family == AddressFamily::kV4
                                  ? kDefaultV4Length
                                  : kDefaultV6Length;
  return SiteTable::DefaultListIndex(
      HashPrefix(EnclosingPrefix(caller, length)));
}

}  // namespace

Result<Table> Table::Build(const Deployment& deployment,
                           const std::vector<Drain>& drains,
                           const ShiftState& shift) {
  Table table;
  table.m_version = deployment.m_number;
  JUJUBE_TRY(table.m_site_table, SiteTable::Build(deployment, drains));
  JUJUBE_TRY(table.m_block_lists,
             BuildBlockLists(deployment, table.m_site_table,
                             SiteSelector(deployment, shift)));
  for (const EntryHost& host : deployment.m_entry_hosts)
    table.m_hosts.push_back({.m_host = host.m_name,
                             .m_address = host.m_caller.m_address,
                             .m_port = host.m_caller.m_port});
  for (const Service& service : deployment.m_services)
    table.m_services.push_back(
        {.m_name = service.m_name, .m_lifetime = service.m_lookup_lifetime});
  std::sort(table.m_services.begin(), table.m_services.end());
  return table;
}

std::span<const HostIndex> Table::FindHosts(const IpAddress& caller) const {
  if (m_hosts.empty())
    return {};
  const auto list_index = m_block_lists.Find(caller);
  return m_site_table
      .ListAt(list_index ? *list_index : DefaultListIndex(caller))
      .Hosts();
}

LookupAnswer Table::Find(const ServiceId& service,
                         const IpAddress& caller) const {
  LookupAnswer answer{.m_service = service, .m_version = m_version};
  const ServiceEntry* entry = FindService(service);
  if (entry == nullptr)
    return answer;
  answer.m_lifetime = entry->m_lifetime;
  const std::span<const HostIndex> hosts = FindHosts(caller);
  answer.m_hosts.reserve(hosts.size());
  for (const HostIndex index : hosts)
    answer.m_hosts.push_back(HostAt(index));
  return answer;
}

bool Table::HasService(const ServiceId& service) const {
  return FindService(service) != nullptr;
}

const Table::ServiceEntry* Table::FindService(const ServiceId& service) const {
  const auto found =
      std::lower_bound(m_services.begin(), m_services.end(), service,
                       [](const ServiceEntry& entry, const ServiceId& name) {
                         return entry.m_name < name;
                       });
  const bool is_found = found != m_services.end() && found->m_name == service;
  return is_found ? &*found : nullptr;
}

std::size_t Table::Bytes() const {
  std::size_t bytes = m_site_table.Bytes() + m_block_lists.Bytes();
  for (const LookupHost& host : m_hosts)
    bytes += sizeof host + host.m_host.m_value.capacity() +
             host.m_address.capacity();
  for (const ServiceEntry& service : m_services)
    bytes += sizeof service + service.m_name.m_value.capacity();
  return bytes;
}

}  // namespace jujube::lookup
