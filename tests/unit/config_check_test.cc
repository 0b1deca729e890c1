#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "config/check.h"
#include "config/difference.h"
#include "config/digest.h"
#include "core/json_document.h"
#include "gen/deployment_json.h"
#include "gen/deployment_wire.h"
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

Deployment WithTenants(std::vector<Tenant> tenants) {
  return ModifiedSample([&](auto& d) { d.m_tenants = std::move(tenants); });
}

std::vector<std::string> NumberedKeys(const std::string& prefix,
                                      std::size_t count) {
  std::vector<std::string> keys;
  for (std::size_t i = 0; i < count; ++i)
    keys.push_back(prefix + std::to_string(i));
  return keys;
}

// Guards against a key whose tenant is ambiguous, and against a tenant whose
// name or key no header field may hold.
TEST(ConfigCheck, InvalidTenantsAreReported) {
  EXPECT_TRUE(ReportsProblem(
      WithTenants({{.m_name = {"a"}, .m_keys = {"k"}}, {.m_name = {"a"}}}),
      "$.tenants[1].name", "\"a\" more than once"));
  EXPECT_TRUE(ReportsProblem(
      WithTenants({{.m_name = {"a"}, .m_keys = {"k-1", "k-2"}},
                   {.m_name = {"b"}, .m_keys = {"k-3", "k-2"}}}),
      "$.tenants[1].keys[1]", "a key of tenant \"b\" more than once"));
  EXPECT_TRUE(ReportsProblem(
      WithTenants({{.m_name = {"a"}, .m_keys = {"k-1", "k-1"}}}),
      "$.tenants[0].keys[1]", "a key of tenant \"a\" more than once"));
  for (const std::string& name :
       {std::string(), std::string(131, 'n'), std::string("two words"),
        std::string("line\r\nbreak"), std::string("nul\0", 4),
        std::string("\xc3\xa5")}) {
    EXPECT_TRUE(ReportsProblem(WithTenants({{.m_name = {name}}}),
                               "$.tenants[0].name", ""))
        << name;
  }
  EXPECT_TRUE(ReportsProblem(
      WithTenants({{.m_name = {"a"}, .m_allowed_regions = {{"nil"}}}}),
      "$.tenants[0].allowed_regions[0]", "\"nil\""));
  EXPECT_EQ(
      CheckDeployment(WithTenants({{.m_name = {"a"},
                                    .m_keys = {"k-1", std::string(256, 'k')},
                                    .m_priority = 9,
                                    .m_requests_per_1000s = 1'000'000'000'000,
                                    .m_burst = 1'000'000'000,
                                    .m_allowed_regions = {{"luzon"}}},
                                   {.m_name = {std::string(130, 'n')}}})),
      Problems());
}

// Guards against a key that reaches the log or the operator's terminal in the
// text of a problem.
TEST(ConfigCheck, ProblemsDoNotContainKeys) {
  const std::string secret = "secret";
  for (const std::string& key : {secret + " x", secret + "\n", secret + "\x80",
                                 secret + std::string(251, 'k')}) {
    const Problems problems =
        CheckDeployment(WithTenants({{.m_name = {"a"}, .m_keys = {key}}}));
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].m_path, "$.tenants[0].keys[0]");
    EXPECT_NE(problems[0].m_found.find("tenant \"a\""), std::string::npos);
    EXPECT_EQ(ToString(problems[0]).find(secret), std::string::npos);
  }
  const Problems doubled = CheckDeployment(
      WithTenants({{.m_name = {"a"}, .m_keys = {secret, secret}}}));
  ASSERT_EQ(doubled.size(), 1U);
  EXPECT_EQ(ToString(doubled[0]).find(secret), std::string::npos);
}

// Guards against a key in a problem of the JSON parser, which shows the value
// that it found: a key in the place of the list of keys, or one that is too
// long.
TEST(ConfigCheck, ProblemsOfTheParserDoNotContainKeys) {
  for (const std::string& keys :
       {std::string(R"("secret")"), std::string(R"({"secret": 1})"),
        std::string(R"([["secret"]])"), std::string(R"(["k", 17355])"),
        std::string(R"(17355)"),
        "[\"secret" + std::string(5000, 'k') + "\"]"}) {
    Deployment sample = WithTenants({{.m_name = {"a"}, .m_keys = {"KEYS"}}});
    std::string text = boost::json::serialize(ToJson(sample));
    const std::string old_keys = R"(["KEYS"])";
    text.replace(text.find(old_keys), old_keys.size(), keys);
    const Result<Deployment> parsed = ParseDocument<Deployment>(text, "file");
    ASSERT_FALSE(parsed) << keys;
    EXPECT_NE(parsed.error().m_message.find("$.tenants[0].keys"),
              std::string::npos)
        << parsed.error().m_message;
    EXPECT_EQ(parsed.error().m_message.find("secret"), std::string::npos)
        << parsed.error().m_message;
    EXPECT_EQ(parsed.error().m_message.find("17355"), std::string::npos)
        << parsed.error().m_message;
  }
}

// Guards against a translated document whose lists are longer than binary
// messages allow: it passes the check, cannot be encoded, and the operator gets
// no answer.
TEST(ConfigCheck, ListsOfTenantsAreBounded) {
  const auto encodes = [](const Deployment& deployment) {
    const Result<Deployment> decoded = DecodeDeployment(Encode(deployment));
    return decoded && decoded.value() == deployment;
  };
  const Deployment most_keys =
      WithTenants({{.m_name = {"a"}, .m_keys = NumberedKeys("k-", 1024)}});
  EXPECT_EQ(CheckDeployment(most_keys), Problems());
  EXPECT_TRUE(encodes(most_keys));
  EXPECT_TRUE(ReportsProblem(
      WithTenants({{.m_name = {"a"}, .m_keys = NumberedKeys("k-", 1025)}}),
      "$.tenants[0].keys", "1025 keys of tenant \"a\""));
  EXPECT_TRUE(ReportsProblem(
      WithTenants({{.m_name = {"a"},
                    .m_allowed_regions =
                        std::vector<RegionId>(65, RegionId{"luzon"})}}),
      "$.tenants[0].allowed_regions", "65 regions"));
  std::vector<Tenant> tenants;
  for (const std::string& name : NumberedKeys("tenant-", 20000))
    tenants.push_back({.m_name = {name}});
  EXPECT_EQ(CheckDeployment(WithTenants(tenants)), Problems());
  EXPECT_TRUE(encodes(WithTenants(tenants)));
  tenants.push_back({.m_name = {"one-more"}});
  EXPECT_TRUE(
      ReportsProblem(WithTenants(tenants), "$.tenants", "20001 tenants"));
}

// Guards against a document with more keys than an entry host has memory for,
// or that is larger than an entry of the log.
TEST(ConfigCheck, AMillionKeysAreRefused) {
  std::vector<Tenant> tenants;
  for (std::size_t i = 0; i < 1000; ++i) {
    const std::string name = "tenant-" + std::to_string(i);
    tenants.push_back(
        {.m_name = {name}, .m_keys = NumberedKeys(name + "-", 1000)});
  }
  EXPECT_TRUE(
      ReportsProblem(WithTenants(tenants), "$.tenants", "1000000 keys"));
  for (Tenant& tenant : tenants)
    tenant.m_keys.resize(100);
  EXPECT_EQ(CheckDeployment(WithTenants(tenants)), Problems());
  for (Tenant& tenant : tenants) {
    for (std::string& key : tenant.m_keys)
      key.resize(256, 'k');
  }
  EXPECT_TRUE(ReportsProblem(WithTenants(tenants), "$.tenants",
                             "25600000 bytes of keys"));
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

// Guards against a key in a difference between documents, which is printed and
// logged, and against a change of keys that goes unmentioned.
TEST(ConfigDifference, KeysAreCountedInsteadOfShown) {
  const Deployment from =
      WithTenants({{.m_name = {"a"}, .m_keys = {"secret-1", "secret-2"}},
                   {.m_name = {"b"}, .m_keys = {"secret-3"}},
                   {.m_name = {"gone"}, .m_keys = {"secret-4"}},
                   {.m_name = {"same"}, .m_keys = {"secret-5"}}});
  const Deployment to =
      WithTenants({{.m_name = {"a"}, .m_keys = {"secret-6"}, .m_burst = 5},
                   {.m_name = {"b"}, .m_keys = {"secret-2", "secret-3"}},
                   {.m_name = {"new"}, .m_keys = {"secret-4"}},
                   {.m_name = {"same"}, .m_keys = {"secret-5"}}});
  std::string text;
  for (const std::string& line : DescribeChanges(from, to, 100))
    text += line + "\n";
  EXPECT_EQ(text,
            "tenant \"a\" changed: burst 0 -> 5\n"
            "tenant \"new\" added\n"
            "tenant \"gone\" removed\n"
            "tenant \"a\" keys: 1 added, 2 removed\n"
            "tenant \"b\" keys: 1 added, 0 removed\n");
}

// Guards against a source text, which contains the keys of its tenants, in a
// difference.
TEST(ConfigDifference, TheSourceIsNotShown) {
  const auto with_source = [](const std::string& source) {
    return ModifiedSample([&](auto& d) { d.m_source = source; });
  };
  EXPECT_EQ(
      DescribeChanges(with_source("secret-1"), with_source("secret-2"), 100),
      std::vector<std::string>());
}

// Guards against a document that changes only a key and counts as the same.
TEST(ConfigDigest, DependsOnTheKeysAndNotOnTheirOrder) {
  const auto digest = [](const std::vector<Tenant>& tenants) {
    return DigestOfCanonicalDeployment(
        CanonicalDeployment(WithTenants(tenants)));
  };
  const Tenant a{.m_name = {"a"}, .m_keys = {"k-1", "k-2"}};
  const Tenant reordered{.m_name = {"a"}, .m_keys = {"k-2", "k-1"}};
  const Tenant other{.m_name = {"a"}, .m_keys = {"k-1", "k-3"}};
  const Tenant b{.m_name = {"b"}, .m_keys = {"k-4"}};
  EXPECT_EQ(digest({a, b}), digest({b, reordered}));
  EXPECT_NE(digest({a, b}), digest({other, b}));
}

}  // namespace
}  // namespace jujube::config
