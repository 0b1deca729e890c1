// RouteTable: finds the rule of a request by its host name and path.
//
//   const RouteTable table(document.m_routes);      // for each document
//   const RouteRule* rule = table.Find("a.example", "/levels/7");
//   ServiceId service = ChooseService(*rule, Hash64(request_id));
//
// Immutable; a published table is read by all threads.

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

  // The rule of the host with the longest prefix that begins the path; null if
  // there is none. `host` may carry a port and capitals, `path` has no query.
  const RouteRule* Find(std::string_view host, std::string_view path) const;

  bool empty() const { return m_hosts.empty(); }

  friend auto operator<=>(const RouteTable&, const RouteTable&) = default;

 private:
  // Longest prefix first.
  std::map<std::string, std::vector<RouteRule>, std::less<>> m_hosts;
};

// The service that takes the request. `draw` is uniform over all values and
// the same for each attempt of a request.
ServiceId ChooseService(const RouteRule& rule, std::uint64_t draw);

}  // namespace jujube::steering
