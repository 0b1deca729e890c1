#include "config/digest.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "gen/deployment_wire.h"

namespace jujube::config {

Deployment CanonicalDeployment(Deployment deployment) {
  // Values compare by their first members, which hold the name or key.
  std::ranges::sort(deployment.m_regions);
  std::ranges::sort(deployment.m_availability_zones);
  for (Link& link : deployment.m_links) {
    if (link.m_b < link.m_a)
      std::swap(link.m_a, link.m_b);
  }
  std::ranges::sort(deployment.m_links);
  std::ranges::sort(deployment.m_sites);
  std::ranges::sort(deployment.m_entry_hosts);
  for (Service& service : deployment.m_services)
    std::ranges::sort(service.m_non_repeatable_methods);
  std::ranges::sort(deployment.m_services);
  std::ranges::sort(deployment.m_routes);
  for (Tenant& tenant : deployment.m_tenants)
    std::ranges::sort(tenant.m_keys);
  std::ranges::sort(deployment.m_tenants);
  std::ranges::sort(deployment.m_blocks);
  return deployment;
}

std::string DigestOf(const Deployment& deployment) {
  return DigestOfCanonicalDeployment(CanonicalDeployment(deployment));
}

std::string DigestOfCanonicalDeployment(const Deployment& deployment) {
  return Sha256(Encode(deployment));
}

}  // namespace jujube::config
