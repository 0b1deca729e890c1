#include "config/route_difference.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace jujube::config {
namespace {

std::map<std::string_view, const RouteRule*> IndexByName(
    const std::vector<RouteRule>& routes) {
  std::map<std::string_view, const RouteRule*> routes_by_name;
  for (const RouteRule& route : routes)
    routes_by_name.emplace(route.m_name, &route);
  return routes_by_name;
}

}  // namespace

RouteChanges CompareRoutes(const std::vector<RouteRule>& from,
                           const std::vector<RouteRule>& to) {
  const auto old_routes = IndexByName(from);
  const auto new_routes = IndexByName(to);
  RouteChanges changes;
  for (const RouteRule& route : to) {
    const auto old_route = old_routes.find(route.m_name);
    if (old_route == old_routes.end() || *old_route->second != route)
      changes.m_upserted.push_back(route);
  }
  for (const RouteRule& route : from) {
    if (!new_routes.contains(route.m_name))
      changes.m_removed.push_back(route.m_name);
  }
  return changes;
}

std::vector<RouteRule> MergeRoutes(const std::vector<RouteRule>& from,
                                   const RouteChanges& changes) {
  const auto upserted = IndexByName(changes.m_upserted);
  std::vector<std::string> removed = changes.m_removed;
  std::sort(removed.begin(), removed.end());
  std::vector<RouteRule> merged = changes.m_upserted;
  for (const RouteRule& route : from) {
    if (!upserted.contains(route.m_name) &&
        !std::binary_search(removed.begin(), removed.end(), route.m_name))
      merged.push_back(route);
  }
  std::sort(merged.begin(), merged.end());
  return merged;
}

}  // namespace jujube::config
