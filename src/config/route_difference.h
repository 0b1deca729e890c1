// Differences between the routes of two documents, by name.

#pragma once

#include <compare>
#include <string>
#include <vector>

#include "gen/deployment.h"

namespace jujube::config {

struct RouteChanges {
  std::vector<RouteRule> m_upserted;   // new or different, by name
  std::vector<std::string> m_removed;  // names that are gone

  friend auto operator<=>(const RouteChanges&, const RouteChanges&) = default;
};

// Both lists are sorted, as in a canonical document.
RouteChanges CompareRoutes(const std::vector<RouteRule>& from,
                           const std::vector<RouteRule>& to);

// The sorted routes after the changes.
std::vector<RouteRule> MergeRoutes(const std::vector<RouteRule>& before,
                                   const RouteChanges& changes);

}  // namespace jujube::config
