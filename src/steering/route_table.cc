#include "steering/route_table.h"

#include <algorithm>

namespace jujube::steering {
namespace {

std::string NormalizeHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return name;
}

}  // namespace

RouteTable::RouteTable(const std::vector<RouteRule>& rules) {
  for (const RouteRule& rule : rules)
    m_hosts[NormalizeHost(rule.m_host)].push_back(rule);
  for (auto& [host, list] : m_hosts) {
    std::stable_sort(list.begin(), list.end(),
                     [](const RouteRule& a, const RouteRule& b) {
                       return a.m_path_prefix.size() > b.m_path_prefix.size();
                     });
  }
}

const RouteRule* RouteTable::Find(std::string_view host,
                                  std::string_view path) const {
  const auto found = m_hosts.find(NormalizeHost(host));
  if (found == m_hosts.end())
    return nullptr;
  for (const RouteRule& rule : found->second) {
    if (path.starts_with(rule.m_path_prefix))
      return &rule;
  }
  return nullptr;
}

ServiceId ChooseService(const RouteRule& rule, std::uint64_t draw) {
  std::uint64_t total_weight = 0;
  for (const WeightedService& weighted_service : rule.m_services)
    total_weight += weighted_service.m_weight;
  if (total_weight == 0)
    return {};
  std::uint64_t remaining = draw % total_weight;
  for (const WeightedService& weighted_service : rule.m_services) {
    if (remaining < weighted_service.m_weight)
      return weighted_service.m_service;
    remaining -= weighted_service.m_weight;
  }
  return {};
}

}  // namespace jujube::steering
