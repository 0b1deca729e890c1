#include <map>
#include <string>
#include <string_view>

#include <gtest/gtest.h>

#include "core/json_document.h"
#include "gen/deployment_json.h"
#include "gen/settings_json.h"
#include "lookup/table.h"

namespace jujube {
namespace {

constexpr std::size_t kMaxBytes = 1U << 20U;
std::string PathOf(std::string_view file) {
  std::string path = JUJUBE_SOURCE_DIR "/examples/";
  path += file;
  return path;
}

template <class T>
Result<T> Load(const std::string& file) {
  JUJUBE_TRY(const std::string text, ReadFile(PathOf(file), kMaxBytes));
  return ParseDocument<T>(text, file);
}

template <class T>
std::string LoadError(const std::string& file) {
  const Result<T> result = Load<T>(file);
  return result ? std::string() : result.error().m_message;
}

class Examples : public testing::TestWithParam<std::string> {};

TEST_P(Examples, EverySettingsFileIsAccepted) {
  for (int i = 1; i <= 7; ++i)
    EXPECT_EQ(LoadError<EntrySettings>(GetParam() + "/entry-" +
                                       std::to_string(i) + ".json"),
              "");
  for (int i = 1; i <= 3; ++i)
    EXPECT_EQ(LoadError<ControlSettings>(GetParam() + "/control-" +
                                         std::to_string(i) + ".json"),
              "");
  for (const auto* key :
       {"keys/peer.key", "keys/platform.key", "keys/operator.key"})
    EXPECT_TRUE(ReadKeyFile(PathOf(key)));
}

// Guards against a template and a list that do not make settings together.
TEST_P(Examples, EveryUpstreamIsAccepted) {
  const auto read = [](const std::string& file) {
    const std::string text = ReadFile(PathOf(file), kMaxBytes).value();
    return ParseJsonText(text, file).value();
  };
  const auto common = read(GetParam() + "/upstream-template.json");
  const auto list = read(GetParam() + "/upstreams.json");
  for (const auto& upstream : list.at("upstreams").as_array()) {
    boost::json::object merged = upstream.as_object();
    for (const auto& member : common.as_object())
      merged.insert(member);
    const std::string text = boost::json::serialize(merged);
    EXPECT_TRUE(ParseDocument<UpstreamSettings>(text, "upstream")) << text;
  }
}

// Guards against blocks that do not reach the availability zone they name.
TEST_P(Examples, EachBlockIsSteeredToItsAvailabilityZone) {
  const auto deployment = Load<Deployment>(GetParam() + "/deployment.json");
  ASSERT_TRUE(deployment) << deployment.error().m_message;
  const auto table = lookup::Table::Build(deployment.value(), {});
  ASSERT_TRUE(table) << table.error().m_message;
  std::map<SiteId, AvailabilityZoneId> zone_of_site;
  for (const Site& site : deployment.value().m_sites)
    zone_of_site[site.m_name] = site.m_availability_zone;
  for (const CallerBlock& block : deployment.value().m_blocks) {
    const auto prefix = lookup::ParsePrefix(block.m_prefix).value();
    const auto hosts = table.value().FindHosts(prefix.m_network);
    ASSERT_EQ(hosts.size(), lookup::kListLength);
    EXPECT_EQ(deployment.value().m_entry_hosts[hosts[0]].m_availability_zone,
              zone_of_site[block.m_site])
        << block.m_prefix;
  }
}

// Guards against an example in which a request that must not repeat could.
TEST_P(Examples, ServicesThatMustNotRepeatSaySo) {
  const auto deployment = Load<Deployment>(GetParam() + "/deployment.json");
  ASSERT_TRUE(deployment);
  int non_repeatable = 0;
  for (const Service& service : deployment.value().m_services) {
    const auto& name = service.m_name.m_value;
    const bool expected = name == "pumplog" || name == "reconfile" ||
                          name == "custodia" || name == "firmador";
    EXPECT_EQ(!service.m_non_repeatable_methods.empty(), expected) << name;
    non_repeatable += expected ? 1 : 0;
  }
  EXPECT_EQ(non_repeatable, 2);
}

INSTANTIATE_TEST_SUITE_P(All,
                         Examples,
                         testing::Values("cooperative", "lab"),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace jujube
