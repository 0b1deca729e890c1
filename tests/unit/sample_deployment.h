// Sample deployment documents, shared by several tests.

#pragma once

#include <string>

#include "gen/deployment.h"

namespace jujube::testing {

inline EntryHost SampleHost(const std::string& name,
                            const std::string& zone,
                            std::uint16_t port) {
  return {.m_name = {name},
          .m_availability_zone = {zone},
          .m_caller = {.m_port = port},
          .m_peer = {.m_port = static_cast<std::uint16_t>(port + 1)}};
}

// Two regions with one zone each, a link of 1000 kbit/s and three entry hosts.
// The shift cap of 1000 permille per minute lets a document move all
// callers; tests of the cap set their own value.
inline Deployment SampleDeployment(std::uint64_t number = 1) {
  return {
      .m_number = number,
      .m_name = "sample",
      .m_shift = {.m_max_permille_per_minute = 1000},
      .m_regions = {{{"luzon"}, 40}, {{"visayas"}, 40}},
      .m_availability_zones = {{{"luz-a"}, {"luzon"}},
                               {{"vis-a"}, {"visayas"}}},
      .m_links = {{{"luzon"}, {"visayas"}, 1000}},
      .m_sites = {{{"depot-1"}, {"luz-a"}}, {{"depot-2"}, {"vis-a"}}},
      .m_entry_hosts = {SampleHost("e1", "luz-a", 7001),
                        SampleHost("e2", "luz-a", 7011),
                        SampleHost("e3", "vis-a", 7021)},
      .m_services = {{.m_name = {"pumplog"},
                      .m_non_repeatable_methods = {"POST"}}},
      .m_blocks = {{"10.1.0.0/16", {"depot-1"}}, {"10.2.0.0/16", {"depot-2"}}}};
}

}  // namespace jujube::testing
