#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "lookup/entry_host_lists.h"

namespace jujube::lookup {
namespace {

Endpoint MakeEndpoint(int host) {
  return {.m_address = "10.1.0." + std::to_string(host), .m_port = 80};
}

RegionByZone MakeRegionByZone() {
  return {{{"a1"}, {"a"}}, {{"a2"}, {"a"}}, {{"b1"}, {"b"}}};
}

// Guards against lists that differ from those which a control host gives for
// the same entry hosts.
TEST(EntryHostLists, CallersGetTheHostsThatAreChosenForTheirZone) {
  std::vector<EntryHostCandidate> candidates;
  constexpr int kHosts = 9;
  candidates.reserve(kHosts);
  for (int i = 0; i < kHosts; ++i) {
    candidates.push_back(
        {.m_zone = {i % 3 == 0 ? "a1" : (i % 3 == 1 ? "a2" : "b1")},
         .m_caller_listener = MakeEndpoint(i)});
  }
  const EntryHostLists lists(candidates, MakeRegionByZone());
  for (const std::string zone : {"a1", "a2", "b1", "unknown", ""}) {
    for (const std::string region : {"a", "b", "unknown", ""}) {
      EXPECT_EQ(
          lists.Find({zone}, {region}),
          ChooseEntryHosts(candidates, MakeRegionByZone(), {zone}, {region}))
          << zone << " " << region;
    }
  }
}

// Guards against an answer for callers of any zone when there is no entry host.
TEST(EntryHostLists, WithoutHostsAllListsAreEmpty) {
  EXPECT_TRUE(EntryHostLists().Find({"a1"}, {"a"}).empty());
  EXPECT_TRUE(
      EntryHostLists({}, MakeRegionByZone()).Find({"a1"}, {"a"}).empty());
}

}  // namespace
}  // namespace jujube::lookup
