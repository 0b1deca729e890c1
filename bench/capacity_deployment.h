// Builds deployments up to the scale planned within two years (docs/design.md,
// section 3).

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "gen/deployment.h"

namespace jujube::bench {

inline constexpr std::size_t kRegions = 14;
inline constexpr std::size_t kZones = 51;
inline constexpr std::size_t kSites = 390;
inline constexpr std::size_t kHosts = 1400;

inline std::string NumberedName(const char* kind, std::size_t number) {
  return kind + std::to_string(number);
}

// Returns the caller block with the given number. The /24 prefixes are spread
// over the address space; an odd multiplier permutes the 24-bit numbers, so the
// prefixes are distinct.
inline CallerBlock MakeBlock(std::size_t number, std::size_t site) {
  const std::uint32_t prefix =
      static_cast<std::uint32_t>(number) * 2654435761U % (1U << 24U);
  return {.m_prefix = std::to_string(prefix >> 16U) + "." +
                      std::to_string(prefix >> 8U & 255U) + "." +
                      std::to_string(prefix & 255U) + ".0/24",
          .m_site = {NumberedName("site-", site % kSites)}};
}

inline Deployment MakeDeployment(std::size_t blocks, std::size_t hosts) {
  Deployment deployment{.m_number = 1};
  deployment.m_services = {
      {.m_name = {"pumplog"}, .m_non_repeatable_methods = {"POST"}}};
  for (std::size_t i = 0; i < kRegions; ++i) {
    deployment.m_regions.push_back(
        {.m_name = {NumberedName("region-", i)}, .m_max_in_progress = 10000});
    for (std::size_t other = 0; other < i; ++other) {
      deployment.m_links.push_back({.m_a = {NumberedName("region-", other)},
                                    .m_b = {NumberedName("region-", i)},
                                    .m_capacity_kbit_s = 4'000'000,
                                    .m_delay = std::chrono::milliseconds(35)});
    }
  }
  for (std::size_t i = 0; i < kZones; ++i) {
    deployment.m_availability_zones.push_back(
        {.m_name = {NumberedName("zone-", i)},
         .m_region = {NumberedName("region-", i % kRegions)}});
  }
  for (std::size_t i = 0; i < kSites; ++i) {
    deployment.m_sites.push_back(
        {.m_name = {NumberedName("site-", i)},
         .m_availability_zone = {NumberedName("zone-", i % kZones)}});
  }
  for (std::size_t i = 0; i < hosts; ++i) {
    const std::string address =
        "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
    deployment.m_entry_hosts.push_back(
        {.m_name = {NumberedName("entry-", i)},
         .m_availability_zone = {NumberedName("zone-", i % kZones)},
         .m_caller = {.m_address = address, .m_port = 8080},
         .m_peer = {.m_address = address, .m_port = 9080}});
  }
  for (std::size_t i = 0; i < blocks; ++i)
    deployment.m_blocks.push_back(MakeBlock(i, i));
  return deployment;
}

}  // namespace jujube::bench
