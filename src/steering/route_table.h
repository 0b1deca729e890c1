// RouteTable: finds the route of a request by host name and path.
//
//   const RouteTable table(document.m_routes);      // for each document
//   const RouteRule* rule = table.Find("a.example", "/levels/7");
//   ServiceId service = ChooseService(*rule, Hash64(request_id));
//
// Immutable; all threads read the published table.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gen/deployment.h"

namespace jujube::steering {

class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const std::vector<RouteRule>& rules);

  // Returns the rule of the host with the longest matching path prefix, or
  // null. `host` may contain a port and upper-case letters; `path` has no
  // query.
  const RouteRule* Find(std::string_view host, std::string_view path) const;

  bool empty() const { return m_hosts.empty(); }

  friend auto operator<=>(const RouteTable&, const RouteTable&) = default;

 private:
  // Rules of each normalized host name, longest path prefix first.
  std::map<std::string, std::vector<RouteRule>, std::less<>> m_hosts;
};

// Selects a service of the rule by weight. `draw` is uniformly distributed over
// all values and the same for each attempt of a request.
ServiceId ChooseService(const RouteRule& rule, std::uint64_t draw);

}  // namespace jujube::steering
