// Sample deployment, members and view for the tests of steering, with regions
// of the cooperative.

#pragma once

#include <string>
#include <vector>

#include "steering/upstream_view.h"

namespace jujube::steering {

inline MonoTime At(int ms) {
  return MonoTime(std::chrono::milliseconds(1000000000 + ms));
}

inline Deployment SampleDeployment() {
  Deployment deployment{.m_number = 3, .m_name = "sample"};
  for (const char* region : {"luzon", "mindanao", "visayas"})
    deployment.m_regions.push_back(
        {.m_name = {region}, .m_max_in_progress = 1000});
  deployment.m_availability_zones = {{{"luz-a"}, {"luzon"}},
                                     {{"luz-b"}, {"luzon"}},
                                     {{"min-a"}, {"mindanao"}},
                                     {{"vis-a"}, {"visayas"}}};
  deployment.m_links = {
      {{"luzon"}, {"visayas"}, 280000, std::chrono::milliseconds(12)},
      {{"luzon"}, {"mindanao"}, 280000, std::chrono::milliseconds(14)},
      {{"visayas"}, {"mindanao"}, 280000, std::chrono::milliseconds(12)}};
  deployment.m_services = {{.m_name = {"tankview"}}};
  return deployment;
}

// An instance that has been serving for a minute and announced itself at At(0).
inline membership::Member SampleMember(const std::string& name,
                                       const std::string& zone) {
  return {.m_announcement = {.m_service = {"tankview"},
                             .m_instance = {name},
                             .m_incarnation = 1,
                             .m_sequence = 1,
                             .m_state = UpstreamState::kServing,
                             .m_availability_zone = {zone},
                             .m_slots = 3,
                             .m_in_progress = 0},
          .m_sent_at = At(0),
          .m_expires = At(2000),
          .m_serving_since = At(-60000),
          .m_reported_in_progress = 0,
          .m_reported_at = At(0)};
}

// The view of a host in zone luz-a.
inline UpstreamView SampleView(
    std::vector<membership::Member> members,
    CounterTable& counters,
    const std::vector<Drain>& drains = {},
    const Deployment& deployment = SampleDeployment()) {
  const membership::RegistrySnapshot registry{.m_version = 1,
                                              .m_members = std::move(members)};
  return BuildView({.m_registry = registry,
                    .m_deployment = deployment,
                    .m_drains = drains,
                    .m_zone = {"luz-a"},
                    .m_grants = {}},
                   counters);
}

}  // namespace jujube::steering
