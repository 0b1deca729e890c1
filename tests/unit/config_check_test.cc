#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "config/check.h"
#include "config/difference.h"
#include "config/digest.h"
#include "core/json_document.h"
#include "gen/deployment_json.h"
#include "unit/sample_deployment.h"

namespace jujube::config {
namespace {

using jujube::testing::SampleDeployment;

// Succeeds if a problem at `path` is reported whose m_found contains `found`.
::testing::AssertionResult ReportsProblem(const Deployment& deployment,
                                          const std::string& path,
                                          const std::string& found) {
  std::string reported;
  for (const Problem& problem : CheckDeployment(deployment)) {
    reported += ToString(problem) + "\n";
    if (problem.m_path == path &&
        problem.m_found.find(found) != std::string::npos &&
        !problem.m_allowed.empty()) {
      return ::testing::AssertionSuccess();
    }
  }
  return ::testing::AssertionFailure() << "problems: " << reported;
}

template <class Modify>
Deployment ModifiedSample(Modify modify) {
  Deployment deployment = SampleDeployment();
  modify(deployment);
  return deployment;
}

TEST(ConfigCheck, ValidDocumentHasNoProblem) {
  EXPECT_EQ(CheckDeployment(SampleDeployment()), Problems());
}

// Guards against a document that refers to missing objects.
TEST(ConfigCheck, UnknownReferencesAreReported) {
  EXPECT_TRUE(ReportsProblem(ModifiedSample([](auto& d) {
                               d.m_availability_zones[1].m_region = {"nil"};
                             }),
                             "$.availability_zones[1].region", "\"nil\""));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_links[0].m_b = {"nil"}; }),
      "$.links[0].b", "\"nil\""));
  EXPECT_TRUE(ReportsProblem(ModifiedSample([](auto& d) {
                               d.m_sites[0].m_availability_zone = {"nil"};
                             }),
                             "$.sites[0].availability_zone", "\"nil\""));
  EXPECT_TRUE(ReportsProblem(ModifiedSample([](auto& d) {
                               d.m_entry_hosts[2].m_availability_zone = {"nil"};
                             }),
                             "$.entry_hosts[2].availability_zone", "\"nil\""));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_blocks[0].m_site = {"nil"}; }),
      "$.blocks[0].site", "\"nil\""));
}

TEST(ConfigCheck, DuplicatesAreReported) {
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_regions.push_back(d.m_regions[0]); }),
      "$.regions[2].name", "more than once"));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) {
        d.m_links.push_back({d.m_links[0].m_b, d.m_links[0].m_a, 5});
      }),
      "$.links[1]", "duplicate link"));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_services.push_back(d.m_services[0]); }),
      "$.services[1].name", "more than once"));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_blocks[1] = d.m_blocks[0]; }),
      "$.blocks[1].prefix", "more than once"));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) {
        d.m_entry_hosts[1].m_peer = d.m_entry_hosts[0].m_caller;
      }),
      "$.entry_hosts[1].peer", "127.0.0.1 port 7001 more than once"));
}

TEST(ConfigCheck, InvalidValuesAreReported) {
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_links[0].m_b = d.m_links[0].m_a; }),
      "$.links[0].b", "both ends"));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_blocks[0].m_prefix = "10.1.0.0/33"; }),
      "$.blocks[0].prefix", "10.1.0.0/33"));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_blocks[0].m_prefix = "10.1.0.1/16"; }),
      "$.blocks[0].prefix", "10.1.0.1/16"));
  EXPECT_TRUE(ReportsProblem(
      ModifiedSample([](auto& d) { d.m_blocks[0].m_prefix = "2001:DB8::/32"; }),
      "$.blocks[0].prefix", "2001:DB8::/32"));
  EXPECT_TRUE(ReportsProblem(ModifiedSample([](auto& d) {
                               d.m_entry_hosts[0].m_caller.m_address = "host";
                             }),
                             "$.entry_hosts[0].caller.address", "\"host\""));
  EXPECT_TRUE(
      ReportsProblem(ModifiedSample([](auto& d) { d.m_entry_hosts.clear(); }),
                     "$.entry_hosts", "no element"));
  EXPECT_TRUE(
      ReportsProblem(ModifiedSample([](auto& d) {
                       d.m_services[0].m_non_repeatable_methods = {"post"};
                     }),
                     "$.services[0].non_repeatable_methods[0]", "post"));
}

// Guards against a file counting as a new document when it is applied again
// after an editor has reformatted or reordered it.
TEST(ConfigDigest, DoesNotDependOnFormattingOrOrder) {
  const std::string text = boost::json::serialize(ToJson(SampleDeployment()));
  std::string reformatted = text;
  for (std::size_t position = 0;
       (position = reformatted.find(",\"", position)) != std::string::npos;
       position += 4)
    reformatted.replace(position, 1, ",\n ");
  Deployment reordered =
      ParseDocument<Deployment>(reformatted, "reformatted.json").value();
  std::ranges::reverse(reordered.m_blocks);
  std::ranges::reverse(reordered.m_entry_hosts);
  EXPECT_EQ(DigestOf(reordered), DigestOf(SampleDeployment()));
  reordered.m_blocks[0].m_site = {"depot-1"};
  EXPECT_NE(DigestOf(reordered), DigestOf(SampleDeployment()));
}

TEST(ConfigDifference, MergeBlocksAppliesComparedChanges) {
  const std::vector<CallerBlock> from = {
      {"a", {"1"}}, {"b", {"1"}}, {"d", {"1"}}};
  const std::vector<CallerBlock> to = {
      {"b", {"2"}}, {"c", {"1"}}, {"d", {"1"}}};
  const BlockChanges changes = CompareBlocks(from, to);
  const BlockChanges expected{.m_upserted = {{"b", {"2"}}, {"c", {"1"}}},
                              .m_removed = {"a"}};
  EXPECT_EQ(changes, expected);
  EXPECT_EQ(MergeBlocks(from, changes), to);
}

TEST(ConfigDifference, DescribeChangesListsChangedObjects) {
  Deployment to = SampleDeployment(2);
  to.m_regions[0].m_max_in_progress = 50;
  to.m_services[0].m_name = {"tankview"};
  const std::vector<std::string> expected = {
      "number changed: 1 -> 2",
      "region \"luzon\" changed: max_in_progress 40 -> 50",
      "service \"tankview\" added", "service \"pumplog\" removed"};
  EXPECT_EQ(DescribeChanges(SampleDeployment(), to), expected);
  const std::vector<std::string> shortened = {"number changed: 1 -> 2",
                                              "3 more"};
  EXPECT_EQ(DescribeChanges(SampleDeployment(), to, 1), shortened);
}

}  // namespace
}  // namespace jujube::config
