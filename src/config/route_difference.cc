#include "config/route_difference.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace jujube::config {
namespace {

std::map<std::string_view, const RouteRule*> ByName(
    const std::vector<RouteRule>& routes) {
  std::map<std::string_view, const RouteRule*> names;
  for (const RouteRule& route : routes)
    names.emplace(route.m_name, &route);
  return names;
}

}  // namespace

RouteChanges CompareRoutes(const std::vector<RouteRule>& from,
                           const std::vector<RouteRule>& to) {
  const auto old = ByName(from);
  const auto now = ByName(to);
  RouteChanges changes;
  for (const RouteRule& route : to) {
    const auto known = old.find(route.m_name);
    if (known == old.end() || *known->second != route)
      changes.m_upserted.push_back(route);
  }
  for (const RouteRule& route : from) {
    if (!now.contains(route.m_name))
      changes.m_removed.push_back(route.m_name);
  }
  return changes;
}

std::vector<RouteRule> MergeRoutes(const std::vector<RouteRule>& before,
                                   const RouteChanges& changes) {
  const auto upserted = ByName(changes.m_upserted);
  std::vector<std::string> removed = changes.m_removed;
  std::sort(removed.begin(), removed.end());
  std::vector<RouteRule> after = changes.m_upserted;
  for (const RouteRule& route : before) {
    if (!upserted.contains(route.m_name) &&
        !std::binary_search(removed.begin(), removed.end(), route.m_name))
      after.push_back(route);
  }
  std::sort(after.begin(), after.end());
  return after;
}

}  // namespace jujube::config
