#include "config/check.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "config/prefix.h"
#include "core/name_limit.h"
#include "tenants/credential.h"

namespace jujube::config {

namespace {

constexpr std::size_t kMaxMethodBytes = 32;

// Bounds the size of a document, which is sent whole to each entry host, and
// the memory of its keys there. With both, a document fits into an entry of the
// replicated log (16 MiB).
constexpr std::size_t kMaxKeys = 100000;
constexpr std::size_t kMaxKeyBytesOfAll = 8U << 20U;

// Limits of Tenant and Deployment in the schema. A document that another format
// was translated to has not been parsed with them.
constexpr std::size_t kMaxTenants = 20000;
constexpr std::size_t kMaxKeysOfTenant = 1024;
constexpr std::size_t kMaxRegionsOfTenant = 64;

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

// Collects the problems of one document.
class DeploymentChecker {
 public:
  explicit DeploymentChecker(const Deployment& deployment)
      : m_deployment(deployment) {}

  Problems Run() {
    CheckRegions();
    CheckAvailabilityZones();
    CheckLinks();
    CheckSites();
    CheckEntryHosts();
    CheckServices();
    CheckRoutes();
    CheckTenants();
    CheckBlocks();
    return std::move(m_problems);
  }

 private:
  using Names = std::set<std::string, std::less<>>;

  void Report(const JsonPath& path, std::string found, std::string allowed) {
    m_problems.push_back({.m_path = path.Text(),
                          .m_found = std::move(found),
                          .m_allowed = std::move(allowed)});
  }

  void AddUniqueName(const JsonPath& object,
                     const std::string& name,
                     Names& names) {
    if (!names.insert(name).second) {
      Report(JsonPath(object, "name"), Quoted(name) + " more than once",
             "a unique name");
    }
  }

  void CheckReference(const JsonPath& object,
                      std::string_view key,
                      const std::string& name,
                      const Names& names,
                      std::string_view kind) {
    if (!names.contains(name)) {
      Report(JsonPath(object, key), Quoted(name),
             "the name of " + std::string(kind) + " in this document");
    }
  }

  void CheckNotEmpty(std::string_view key, bool empty) {
    if (empty)
      Report(JsonPath(m_root, key), "no element", "at least one");
  }

  void CheckRegions() {
    CheckNotEmpty("regions", m_deployment.m_regions.empty());
    const JsonPath list_path(m_root, "regions");
    for (std::size_t i = 0; i < m_deployment.m_regions.size(); ++i) {
      AddUniqueName(JsonPath(list_path, i),
                    m_deployment.m_regions[i].m_name.m_value, m_region_names);
    }
  }

  void CheckAvailabilityZones() {
    const JsonPath list_path(m_root, "availability_zones");
    for (std::size_t i = 0; i < m_deployment.m_availability_zones.size(); ++i) {
      const AvailabilityZone& zone = m_deployment.m_availability_zones[i];
      const JsonPath path(list_path, i);
      AddUniqueName(path, zone.m_name.m_value, m_zone_names);
      CheckReference(path, "region", zone.m_region.m_value, m_region_names,
                     "a region");
    }
  }

  void CheckLinks() {
    const JsonPath list_path(m_root, "links");
    std::set<std::pair<RegionId, RegionId>> region_pairs;
    for (std::size_t i = 0; i < m_deployment.m_links.size(); ++i) {
      const Link& link = m_deployment.m_links[i];
      const JsonPath path(list_path, i);
      CheckReference(path, "a", link.m_a.m_value, m_region_names, "a region");
      CheckReference(path, "b", link.m_b.m_value, m_region_names, "a region");
      if (link.m_a == link.m_b) {
        Report(JsonPath(path, "b"), Quoted(link.m_b.m_value) + " at both ends",
               "two different regions");
      }
      if (!region_pairs.insert(std::minmax(link.m_a, link.m_b)).second) {
        Report(path,
               "a duplicate link between " + Quoted(link.m_a.m_value) +
                   " and " + Quoted(link.m_b.m_value),
               "one link per pair of regions");
      }
    }
  }

  void CheckSites() {
    const JsonPath list_path(m_root, "sites");
    for (std::size_t i = 0; i < m_deployment.m_sites.size(); ++i) {
      const Site& site = m_deployment.m_sites[i];
      const JsonPath path(list_path, i);
      AddUniqueName(path, site.m_name.m_value, m_site_names);
      CheckReference(path, "availability_zone",
                     site.m_availability_zone.m_value, m_zone_names,
                     "an availability zone");
    }
  }

  void CheckEndpoint(const JsonPath& path, const Endpoint& endpoint) {
    const auto canonical = CanonicalAddress(endpoint.m_address);
    if (!canonical) {
      Report(JsonPath(path, "address"), Quoted(endpoint.m_address),
             "an IPv4 or IPv6 address");
    } else if (!m_endpoints.insert({*canonical, endpoint.m_port}).second &&
               endpoint.m_port != 0) {
      Report(path,
             *canonical + " port " + std::to_string(endpoint.m_port) +
                 " more than once",
             "a unique address and port");
    }
    if (endpoint.m_port == 0)
      Report(JsonPath(path, "port"), "0", "a port from 1 to 65535");
  }

  void CheckEntryHosts() {
    // Callers reach services only through entry hosts.
    if (!m_deployment.m_discovers_entry_hosts)
      CheckNotEmpty("entry_hosts", m_deployment.m_entry_hosts.empty());
    const JsonPath list_path(m_root, "entry_hosts");
    for (std::size_t i = 0; i < m_deployment.m_entry_hosts.size(); ++i) {
      const EntryHost& host = m_deployment.m_entry_hosts[i];
      const JsonPath path(list_path, i);
      AddUniqueName(path, host.m_name.m_value, m_host_names);
      CheckReference(path, "availability_zone",
                     host.m_availability_zone.m_value, m_zone_names,
                     "an availability zone");
      CheckEndpoint(JsonPath(path, "caller"), host.m_caller);
      CheckEndpoint(JsonPath(path, "peer"), host.m_peer);
    }
  }

  void CheckServices() {
    const JsonPath list_path(m_root, "services");
    for (std::size_t i = 0; i < m_deployment.m_services.size(); ++i) {
      const JsonPath path(list_path, i);
      AddUniqueName(path, m_deployment.m_services[i].m_name.m_value,
                    m_service_names);
      CheckMethods(JsonPath(path, "non_repeatable_methods"),
                   m_deployment.m_services[i].m_non_repeatable_methods);
    }
  }

  void CheckMethods(const JsonPath& list_path,
                    const std::vector<std::string>& methods) {
    Names seen_methods;
    for (std::size_t i = 0; i < methods.size(); ++i) {
      const std::string& method = methods[i];
      const bool is_valid =
          !method.empty() && method.size() <= kMaxMethodBytes &&
          std::all_of(method.begin(), method.end(),
                      [](char c) { return c >= 'A' && c <= 'Z'; });
      if (!is_valid)
        Report(JsonPath(list_path, i), Quoted(method), "1 to 32 letters A-Z");
      if (!seen_methods.insert(method).second) {
        Report(JsonPath(list_path, i), Quoted(method) + " more than once",
               "a unique method");
      }
    }
  }

  void CheckRoutes() {
    const JsonPath list_path(m_root, "routes");
    Names names;
    std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
    for (std::size_t i = 0; i < m_deployment.m_routes.size(); ++i) {
      const RouteRule& route = m_deployment.m_routes[i];
      const JsonPath path(list_path, i);
      AddUniqueName(path, route.m_name, names);
      const std::string& prefix = route.m_path_prefix;
      if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
        Report(JsonPath(path, "path_prefix"), Quoted(prefix),
               "a path that begins and ends with a slash");
      }
      if (!hosts_and_prefixes.insert({route.m_host, prefix}).second) {
        Report(JsonPath(path, "path_prefix"),
               Quoted(route.m_host + prefix) + " more than once",
               "one route per host name and prefix");
      }
      CheckRouteServices(path, route);
      CheckAllowedRegions(path, route.m_allowed_regions);
    }
  }

  void CheckAllowedRegions(const JsonPath& object,
                           const std::vector<RegionId>& regions) {
    const JsonPath list_path(object, "allowed_regions");
    for (std::size_t i = 0; i < regions.size(); ++i) {
      const std::string& region = regions[i].m_value;
      if (!m_region_names.contains(region)) {
        Report(JsonPath(list_path, i), Quoted(region),
               "the name of a region in this document");
      }
    }
  }

  void CheckTenants() {
    const JsonPath list_path(m_root, "tenants");
    ReportExcess(list_path, m_deployment.m_tenants.size(), kMaxTenants,
                 "tenants");
    Names names;
    std::size_t key_count = 0;
    std::size_t key_bytes = 0;
    for (std::size_t i = 0; i < m_deployment.m_tenants.size(); ++i) {
      const Tenant& tenant = m_deployment.m_tenants[i];
      CheckTenant(JsonPath(list_path, i), tenant, names);
      key_count += tenant.m_keys.size();
      for (const std::string& key : tenant.m_keys)
        key_bytes += key.size();
    }
    ReportExcess(list_path, key_count, kMaxKeys, "keys");
    ReportExcess(list_path, key_bytes, kMaxKeyBytesOfAll, "bytes of keys");
    // Bounds the memory for the problems of faulty keys.
    if (key_count <= kMaxKeys)
      CheckKeys(list_path);
  }

  void CheckTenant(const JsonPath& path, const Tenant& tenant, Names& names) {
    const std::string& name = tenant.m_name.m_value;
    AddUniqueName(path, name, names);
    if (!tenants::IsValidKey(name) || name.size() > kMaxNameBytes) {
      Report(JsonPath(path, "name"), Quoted(name),
             "1 to " + std::to_string(kMaxNameBytes) +
                 " visible ASCII characters");
    }
    ReportExcess(JsonPath(path, "keys"), tenant.m_keys.size(), kMaxKeysOfTenant,
                 "keys of tenant " + Quoted(name));
    ReportExcess(JsonPath(path, "allowed_regions"),
                 tenant.m_allowed_regions.size(), kMaxRegionsOfTenant,
                 "regions");
    CheckAllowedRegions(path, tenant.m_allowed_regions);
  }

  // Problems never contain a key, because they are logged and printed.
  void CheckKeys(const JsonPath& list_path) {
    std::set<std::string_view> keys;
    for (std::size_t i = 0; i < m_deployment.m_tenants.size(); ++i) {
      const Tenant& tenant = m_deployment.m_tenants[i];
      const std::string of_tenant =
          " of tenant " + Quoted(tenant.m_name.m_value);
      const JsonPath path(list_path, i);
      const JsonPath keys_path(path, "keys");
      for (std::size_t j = 0; j < tenant.m_keys.size(); ++j) {
        const std::string& key = tenant.m_keys[j];
        if (!tenants::IsValidKey(key)) {
          Report(
              JsonPath(keys_path, j),
              "a key of " + std::to_string(key.size()) + " bytes" + of_tenant,
              "1 to 256 visible ASCII characters");
        } else if (!keys.insert(key).second) {
          Report(JsonPath(keys_path, j),
                 "a key" + of_tenant + " more than once",
                 "a key of one tenant");
        }
      }
    }
  }

  void ReportExcess(const JsonPath& path,
                    std::size_t count,
                    std::size_t max,
                    const std::string& what) {
    if (count > max) {
      Report(path, std::to_string(count) + " " + what,
             "at most " + std::to_string(max) + " " + what);
    }
  }

  void CheckRouteServices(const JsonPath& path, const RouteRule& route) {
    const JsonPath list_path(path, "services");
    std::uint64_t weight_sum = 0;
    for (std::size_t i = 0; i < route.m_services.size(); ++i) {
      const WeightedService& weighted_service = route.m_services[i];
      weight_sum += weighted_service.m_weight;
      CheckReference(JsonPath(list_path, i), "service",
                     weighted_service.m_service.m_value, m_service_names,
                     "a service");
    }
    if (weight_sum == 0)
      Report(list_path, "weights with a sum of 0", "a sum greater than 0");
  }

  void CheckBlocks() {
    const JsonPath list_path(m_root, "blocks");
    Names prefixes;
    for (std::size_t i = 0; i < m_deployment.m_blocks.size(); ++i) {
      const CallerBlock& block = m_deployment.m_blocks[i];
      const JsonPath path(list_path, i);
      CheckReference(path, "site", block.m_site.m_value, m_site_names,
                     "a site");
      const auto canonical = CanonicalPrefix(block.m_prefix);
      if (!canonical) {
        Report(JsonPath(path, "prefix"), Quoted(block.m_prefix),
               "a prefix such as 10.1.0.0/16 or 2001:db8::/32");
      } else if (*canonical != block.m_prefix) {
        // Equal prefixes must have equal texts, since blocks are compared by
        // text.
        Report(JsonPath(path, "prefix"), Quoted(block.m_prefix), *canonical);
      } else if (!prefixes.insert(*canonical).second) {
        Report(JsonPath(path, "prefix"), *canonical + " more than once",
               "a unique prefix");
      }
    }
  }

  const Deployment& m_deployment;
  const JsonPath m_root;
  Names m_region_names;
  Names m_zone_names;
  Names m_site_names;
  Names m_host_names;
  Names m_service_names;
  std::set<std::pair<std::string, std::uint16_t>> m_endpoints;
  Problems m_problems;
};

}  // namespace

Problems CheckDeployment(const Deployment& deployment) {
  return DeploymentChecker(deployment).Run();
}

}  // namespace jujube::config
