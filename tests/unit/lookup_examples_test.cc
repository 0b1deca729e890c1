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

constexpr std::size_t kMaxFileBytes = 1U << 20U;

std::string PathOf(std::string_view file) {
  std::string path = JUJUBE_SOURCE_DIR "/examples/";
  path += file;
  return path;
}

template <class T>
Result<T> Load(const std::string& file) {
  JUJUBE_TRY(const std::string text, ReadFile(PathOf(file), kMaxFileBytes));
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

// Guards against an upstream list that does not result in valid settings when
// it is merged with the template.
TEST_P(Examples, EveryUpstreamIsAccepted) {
  const auto read_json = [](const std::string& file) {
    const std::string text = ReadFile(PathOf(file), kMaxFileBytes).value();
    return ParseJsonText(text, file).value();
  };
  const auto upstream_template =
      read_json(GetParam() + "/upstream-template.json");
  const auto upstream_list = read_json(GetParam() + "/upstreams.json");
  for (const auto& upstream : upstream_list.at("upstreams").as_array()) {
    boost::json::object merged = upstream.as_object();
    for (const auto& member : upstream_template.as_object())
      merged.insert(member);
    const std::string text = boost::json::serialize(merged);
    EXPECT_TRUE(ParseDocument<UpstreamSettings>(text, "upstream")) << text;
  }
}

// Guards against a caller block whose first entry host is outside the
// availability zone of its site.
TEST_P(Examples, FirstHostOfEachBlockIsInItsAvailabilityZone) {
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
    ASSERT_EQ(hosts.size(), lookup::kHostsPerList);
    EXPECT_EQ(deployment.value().m_entry_hosts[hosts[0]].m_availability_zone,
              zone_of_site[block.m_site])
        << block.m_prefix;
  }
}

// Guards against an example that allows retries of a service whose requests are
// not repeatable. Each example has two of the four services in the list.
TEST_P(Examples, NonRepeatableServicesListTheirMethods) {
  const auto deployment = Load<Deployment>(GetParam() + "/deployment.json");
  ASSERT_TRUE(deployment);
  int non_repeatable_count = 0;
  for (const Service& service : deployment.value().m_services) {
    const auto& name = service.m_name.m_value;
    const bool is_non_repeatable = name == "pumplog" || name == "reconfile" ||
                                   name == "custodia" || name == "firmador";
    EXPECT_EQ(!service.m_non_repeatable_methods.empty(), is_non_repeatable)
        << name;
    non_repeatable_count += is_non_repeatable ? 1 : 0;
  }
  EXPECT_EQ(non_repeatable_count, 2);
}

INSTANTIATE_TEST_SUITE_P(All,
                         Examples,
                         testing::Values("cooperative", "lab"),
                         [](const auto& info) { return info.param; });

}  // namespace
}  // namespace jujube
