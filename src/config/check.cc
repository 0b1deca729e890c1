#include "config/check.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "config/prefix.h"

namespace jujube::config {

namespace {

constexpr std::size_t kMaxMethodBytes = 32;

std::string Quoted(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

// Walks one document and collects its problems.
class Checker {
 public:
  explicit Checker(const Deployment& deployment) : m_deployment(deployment) {}

  Problems Run() {
    CheckRegions();
    CheckAvailabilityZones();
    CheckLinks();
    CheckSites();
    CheckEntryHosts();
    CheckServices();
    CheckRoutes();
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

  void AddName(const JsonPath& object, const std::string& name, Names& names) {
    if (!names.insert(name).second) {
      Report(JsonPath(object, "name"), Quoted(name) + " for the second time",
             "a name that is used once");
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
    const JsonPath list(m_root, "regions");
    for (std::size_t i = 0; i < m_deployment.m_regions.size(); ++i) {
      AddName(JsonPath(list, i), m_deployment.m_regions[i].m_name.m_value,
              m_regions);
    }
  }

  void CheckAvailabilityZones() {
    const JsonPath list(m_root, "availability_zones");
    for (std::size_t i = 0; i < m_deployment.m_availability_zones.size(); ++i) {
      const AvailabilityZone& zone = m_deployment.m_availability_zones[i];
      const JsonPath path(list, i);
      AddName(path, zone.m_name.m_value, m_zones);
      CheckReference(path, "region", zone.m_region.m_value, m_regions,
                     "a region");
    }
  }

  void CheckLinks() {
    const JsonPath list(m_root, "links");
    std::set<std::pair<RegionId, RegionId>> pairs;
    for (std::size_t i = 0; i < m_deployment.m_links.size(); ++i) {
      const Link& link = m_deployment.m_links[i];
      const JsonPath path(list, i);
      CheckReference(path, "a", link.m_a.m_value, m_regions, "a region");
      CheckReference(path, "b", link.m_b.m_value, m_regions, "a region");
      if (link.m_a == link.m_b) {
        Report(JsonPath(path, "b"), Quoted(link.m_b.m_value) + " at both ends",
               "two different regions");
      }
      if (!pairs.insert(std::minmax(link.m_a, link.m_b)).second) {
        Report(path,
               "a second link between " + Quoted(link.m_a.m_value) + " and " +
                   Quoted(link.m_b.m_value),
               "one link for each pair of regions");
      }
    }
  }

  void CheckSites() {
    const JsonPath list(m_root, "sites");
    for (std::size_t i = 0; i < m_deployment.m_sites.size(); ++i) {
      const Site& site = m_deployment.m_sites[i];
      const JsonPath path(list, i);
      AddName(path, site.m_name.m_value, m_sites);
      CheckReference(path, "availability_zone",
                     site.m_availability_zone.m_value, m_zones,
                     "an availability zone");
    }
  }

  void CheckEndpoint(const JsonPath& path, const Endpoint& endpoint) {
    const auto canonical = CanonicalAddress(endpoint.m_address);
    if (!canonical) {
      Report(JsonPath(path, "address"), Quoted(endpoint.m_address),
             "an IPv4 or IPv6 address");
    } else if (!m_listeners.insert({*canonical, endpoint.m_port}).second &&
               endpoint.m_port != 0) {
      Report(path,
             *canonical + " port " + std::to_string(endpoint.m_port) +
                 " for the second time",
             "an address and port that are used once");
    }
    if (endpoint.m_port == 0)
      Report(JsonPath(path, "port"), "0", "a whole number from 1 up to 65535");
  }

  void CheckEntryHosts() {
    // A service can be reached through entry hosts only.
    if (!m_deployment.m_discovers_entry_hosts)
      CheckNotEmpty("entry_hosts", m_deployment.m_entry_hosts.empty());
    const JsonPath list(m_root, "entry_hosts");
    for (std::size_t i = 0; i < m_deployment.m_entry_hosts.size(); ++i) {
      const EntryHost& host = m_deployment.m_entry_hosts[i];
      const JsonPath path(list, i);
      AddName(path, host.m_name.m_value, m_hosts);
      CheckReference(path, "availability_zone",
                     host.m_availability_zone.m_value, m_zones,
                     "an availability zone");
      CheckEndpoint(JsonPath(path, "caller"), host.m_caller);
      CheckEndpoint(JsonPath(path, "peer"), host.m_peer);
    }
  }

  void CheckServices() {
    const JsonPath list(m_root, "services");
    for (std::size_t i = 0; i < m_deployment.m_services.size(); ++i) {
      const JsonPath path(list, i);
      AddName(path, m_deployment.m_services[i].m_name.m_value, m_services);
      CheckMethods(JsonPath(path, "non_repeatable_methods"),
                   m_deployment.m_services[i].m_non_repeatable_methods);
    }
  }

  void CheckMethods(const JsonPath& list,
                    const std::vector<std::string>& methods) {
    Names seen;
    for (std::size_t i = 0; i < methods.size(); ++i) {
      const std::string& method = methods[i];
      const bool token = !method.empty() && method.size() <= kMaxMethodBytes &&
                         std::all_of(method.begin(), method.end(), [](char c) {
                           return c >= 'A' && c <= 'Z';
                         });
      if (!token)
        Report(JsonPath(list, i), Quoted(method), "1 to 32 capital letters");
      if (!seen.insert(method).second) {
        Report(JsonPath(list, i), Quoted(method) + " for the second time",
               "each method once");
      }
    }
  }

  void CheckRoutes() {
    const JsonPath list(m_root, "routes");
    Names names;
    std::set<std::pair<std::string, std::string>> places;
    for (std::size_t i = 0; i < m_deployment.m_routes.size(); ++i) {
      const RouteRule& route = m_deployment.m_routes[i];
      const JsonPath path(list, i);
      AddName(path, route.m_name, names);
      const std::string& prefix = route.m_path_prefix;
      if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
        Report(JsonPath(path, "path_prefix"), Quoted(prefix),
               "a path that begins and ends with a slash");
      }
      if (!places.insert({route.m_host, prefix}).second) {
        Report(JsonPath(path, "path_prefix"),
               Quoted(route.m_host + prefix) + " for the second time",
               "one route for each host name and prefix");
      }
      CheckRouteServices(path, route);
      const JsonPath regions(path, "allowed_regions");
      for (std::size_t j = 0; j < route.m_allowed_regions.size(); ++j) {
        const std::string& region = route.m_allowed_regions[j].m_value;
        if (!m_regions.contains(region)) {
          Report(JsonPath(regions, j), Quoted(region),
                 "the name of a region in this document");
        }
      }
    }
  }

  void CheckRouteServices(const JsonPath& path, const RouteRule& route) {
    const JsonPath list(path, "services");
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < route.m_services.size(); ++i) {
      const WeightedService& part = route.m_services[i];
      sum += part.m_weight;
      CheckReference(JsonPath(list, i), "service", part.m_service.m_value,
                     m_services, "a service");
    }
    if (sum == 0)
      Report(list, "weights that add up to 0", "a sum above 0");
  }

  void CheckBlocks() {
    const JsonPath list(m_root, "blocks");
    Names prefixes;
    for (std::size_t i = 0; i < m_deployment.m_blocks.size(); ++i) {
      const CallerBlock& block = m_deployment.m_blocks[i];
      const JsonPath path(list, i);
      CheckReference(path, "site", block.m_site.m_value, m_sites, "a site");
      const auto canonical = CanonicalPrefix(block.m_prefix);
      if (!canonical) {
        Report(JsonPath(path, "prefix"), Quoted(block.m_prefix),
               "a prefix such as 10.1.0.0/16 or 2001:db8::/32");
      } else if (*canonical != block.m_prefix) {
        // One text for each prefix, so that equal blocks compare equal.
        Report(JsonPath(path, "prefix"), Quoted(block.m_prefix), *canonical);
      } else if (!prefixes.insert(*canonical).second) {
        Report(JsonPath(path, "prefix"), *canonical + " for the second time",
               "each prefix once");
      }
    }
  }

  const Deployment& m_deployment;
  const JsonPath m_root;
  Names m_regions;
  Names m_zones;
  Names m_sites;
  Names m_hosts;
  Names m_services;
  std::set<std::pair<std::string, std::uint16_t>> m_listeners;
  Problems m_problems;
};

}  // namespace

Problems Check(const Deployment& deployment) {
  return Checker(deployment).Run();
}

}  // namespace jujube::config
