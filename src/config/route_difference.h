// Difference between the routes of two documents. Routes are matched by name.

#pragma once

#include <compare>
#include <string>
#include <vector>

#include "gen/deployment.h"

namespace jujube::config {

struct RouteChanges {
  std::vector<RouteRule> m_upserted;   // added or changed, sorted by name
  std::vector<std::string> m_removed;  // names of removed routes

  friend auto operator<=>(const RouteChanges&, const RouteChanges&) = default;
};

// `to` must be sorted by name, as in a canonical document, for m_upserted to be
// sorted.
RouteChanges CompareRoutes(const std::vector<RouteRule>& from,
                           const std::vector<RouteRule>& to);

// Applies the changes; the result is sorted by name.
std::vector<RouteRule> MergeRoutes(const std::vector<RouteRule>& from,
                                   const RouteChanges& changes);

}  // namespace jujube::config
