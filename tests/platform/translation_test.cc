#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "config/check.h"
#include "core/json_document.h"
#include "gen/deployment_json.h"
#include "gen/deployment_wire.h"
#include "net/http_fields.h"
#include "platform/announcement.h"
#include "platform/document.h"
#include "platform/node_settings.h"
#include "platform/request_dialect.h"

namespace jujube::platform {
namespace {

using std::chrono::milliseconds;

lookup::RegionByZone MakeRegionByZone() {
  return {{{"luz-caloocan"}, {"luzon"}}, {{"vis-mandaue"}, {"visayas"}}};
}

constexpr const char* kDocument = R"({"version":7,"routes":[
  {"name":"r-1","host":"jepu9.example","path_prefix":"/puka111/",
   "kind":"at_most_once","timeout_s":1.2,"target_latency_s":0.8,"priority":1,
   "service":"wuno96b","max_attempts":2,"has_affinity":true,
   "allowed_regions":["luzon"],"later_field":{"a":1}},
  {"name":"r-2","host":"hulo84.example","path_prefix":"/leny950/",
   "kind":"repeatable","timeout_s":4,"target_latency_s":0.6,"priority":2,
   "weighted_services":[{"service":"huvo11a","weight":90},
                        {"service":"wuno96b","weight":10}],
   "max_attempts":2,"has_affinity":false,"allowed_regions":[]}],
  "services":[{"name":"huvo11a","health_path":"/health","max_connections":360,
               "protocol":"h1","tls":false,"warmup_s":3.0,"cold_per_s":2.9},
              {"name":"wuno96b","max_connections":360,"cold_per_s":2.9}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
            "header_timeout_s":3,"idle_timeout_s":15}})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

bool IsRefused(const std::string& text) {
  const Result<Deployment> document =
      ParseOperatorDocument(text, MakeRegionByZone());
  return !document || !config::CheckDeployment(document.value()).empty();
}

// Guards against a translation that drops the kind, limits or weights of a
// route.
TEST(OperatorDocument, AllFieldsAreTranslated) {
  const Result<Deployment> parsed =
      ParseOperatorDocument(kDocument, MakeRegionByZone());
  ASSERT_TRUE(parsed) << parsed.error().m_message;
  const Deployment& document = parsed.value();
  EXPECT_TRUE(config::CheckDeployment(document).empty());
  EXPECT_EQ(document.m_number, 7U);
  EXPECT_EQ(document.m_source, kDocument);
  ASSERT_EQ(document.m_routes.size(), 2U);
  const RouteRule& first = document.m_routes[0];
  EXPECT_EQ(first.m_kind, RequestKind::kAtMostOnce);
  EXPECT_EQ(first.m_time_limit, milliseconds(1200));
  EXPECT_EQ(first.m_target_latency, milliseconds(800));
  EXPECT_EQ(first.m_priority, 8);
  EXPECT_TRUE(first.m_has_affinity);
  ASSERT_EQ(first.m_allowed_regions.size(), 1U);
  const RouteRule& second = document.m_routes[1];
  EXPECT_EQ(second.m_kind, RequestKind::kRepeatable);
  ASSERT_EQ(second.m_services.size(), 2U);
  EXPECT_EQ(second.m_services[0].m_weight, 90U);
  EXPECT_EQ(document.m_services[0].m_cold_requests_per_1000s, 2900U);
  EXPECT_EQ(document.m_request_limits.m_idle_timeout, milliseconds(15000));
}

// Guards against accepting a truncated document, an unknown or zero value, a
// reference to an unknown service, or two equal routes.
TEST(OperatorDocument, InvalidDocumentsAreRefused) {
  const std::string document = kDocument;
  EXPECT_TRUE(IsRefused(document.substr(0, document.size() / 2)));
  EXPECT_TRUE(IsRefused(Replaced(document, "at_most_once", "sometimes")));
  EXPECT_TRUE(IsRefused(
      Replaced(document, "\"max_attempts\":2", "\"max_attempts\":0")));
  EXPECT_TRUE(IsRefused(Replaced(document, "\"service\":\"wuno96b\",\"max",
                                 "\"service\":\"other\",\"max")));
  EXPECT_TRUE(
      IsRefused(Replaced(Replaced(document, "\"weight\":90", "\"weight\":0"),
                         "\"weight\":10", "\"weight\":0")));
  EXPECT_TRUE(
      IsRefused(Replaced(document, "\"timeout_s\":1.2", "\"timeout_s\":0")));
  EXPECT_TRUE(
      IsRefused(Replaced(document, "\"version\":7", "\"version\":\"seven\"")));
  EXPECT_TRUE(
      IsRefused(Replaced(Replaced(document, "hulo84.example", "jepu9.example"),
                         "/leny950/", "/puka111/")));
  EXPECT_FALSE(IsRefused(document));
}

// Guards against refusing a whole document because of a route whose kind is
// sent by newer deployments, which left a system without any configuration.
TEST(OperatorDocument, DownloadsAreRepeatable) {
  const Result<Deployment> parsed = ParseOperatorDocument(
      Replaced(kDocument, "repeatable", "download"), MakeRegionByZone());
  ASSERT_TRUE(parsed) << parsed.error().m_message;
  EXPECT_EQ(parsed.value().m_routes[1].m_kind, RequestKind::kRepeatable);
  EXPECT_TRUE(config::CheckDeployment(parsed.value()).empty());
}

// Guards against refusing a whole valid document because of one field that is
// omitted, has a fraction or exceeds the bounds of the schema.
TEST(OperatorDocument, ValidVariantsAreTaken) {
  const std::string document = kDocument;
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"timeout_s\":4", "\"timeout_s\":7200"},
           {"\"target_latency_s\":0.6", "\"target_latency_s\":null"},
           {"\"target_latency_s\":0.6", "\"target_latency_s\":0"},
           {"\"target_latency_s\":0.6", "\"target_latency_s\":7200"},
           {"\"priority\":2", "\"priority\":null"},
           {"\"priority\":2", "\"priority\":1000"},
           {"\"max_attempts\":2,\"has_affinity\":false",
            "\"max_attempts\":1e6,\"has_affinity\":false"},
           {"\"has_affinity\":false", "\"has_affinity\":null"},
           {"\"allowed_regions\":[]", "\"allowed_regions\":null"},
           {"\"weight\":90", "\"weight\":90.5"},
           {"\"weight\":90", "\"weight\":9e12"},
           {"\"service\":\"wuno96b\",\"max",
            "\"service\":\"wuno96b\",\"weighted_services\":null,\"max"},
           {"\"max_connections\":360,\"cold_per_s\"",
            "\"max_connections\":null,\"cold_per_s\""},
           {"\"max_connections\":360,\"cold_per_s\"",
            "\"max_connections\":1e9,\"cold_per_s\""},
           {"\"protocol\":\"h1\"", "\"protocol\":null"},
           {"\"cold_per_s\":2.9},", "\"cold_per_s\":null},"},
           {"\"cold_per_s\":2.9},", "\"cold_per_s\":1e12},"},
           {"\"max_header_bytes\":16384", "\"max_header_bytes\":512"},
           {"\"max_header_bytes\":16384", "\"max_header_bytes\":1e9"},
           {"\"max_body_bytes\":67108864", "\"max_body_bytes\":1e12"},
           {"\"header_timeout_s\":3", "\"header_timeout_s\":0"},
           {"\"header_timeout_s\":3", "\"header_timeout_s\":1e6"},
           {"\"idle_timeout_s\":15", "\"idle_timeout_s\":1e6"},
           {"\"limits\":{", "\"later_table\":[{}],\"limits\":{\"later\":1,"}}) {
    const Result<Deployment> parsed =
        ParseOperatorDocument(Replaced(document, from, to), MakeRegionByZone());
    ASSERT_TRUE(parsed) << from << " -> " << to << ": "
                        << parsed.error().m_message;
    EXPECT_TRUE(config::CheckDeployment(parsed.value()).empty())
        << from << " -> " << to;
    // Hosts exchange the document as JSON, whose reader checks the bounds.
    const Result<Deployment> read_back = ParseDocument<Deployment>(
        boost::json::serialize(ToJson(parsed.value())), "document");
    EXPECT_TRUE(read_back) << from << " -> " << to << ": "
                           << (read_back ? "" : read_back.error().m_message);
  }
}

// Guards against a change of the proportions when weights have fractions.
TEST(OperatorDocument, FractionsOfWeightsAreKept) {
  const Deployment document =
      ParseOperatorDocument(
          Replaced(Replaced(kDocument, "\"weight\":90", "\"weight\":0.75"),
                   "\"weight\":10", "\"weight\":0.25"),
          MakeRegionByZone())
          .value();
  const auto& services = document.m_routes[1].m_services;
  EXPECT_EQ(services[0].m_weight, 3 * services[1].m_weight);
}

// Guards against an error that does not tell the operator which kind of route
// this version lacks.
TEST(OperatorDocument, AnUnknownKindIsNamed) {
  const Result<Deployment> parsed = ParseOperatorDocument(
      Replaced(kDocument, "at_most_once", "sometimes"), MakeRegionByZone());
  ASSERT_FALSE(parsed);
  EXPECT_NE(parsed.error().m_message.find("sometimes"), std::string::npos);
}

// A document with every field of the pages in force (tenants, each kind of
// route) in the words of deploy/wire.toml.
constexpr const char* kTenantDocument = R"({"version":9,"routes":[
  {"name":"r-1","host":"jepu9.example","path_prefix":"/puka111/",
   "kind":"upload","timeout_s":12,"target_latency_s":3,"priority":1,
   "service":"wuno96b","max_attempts":2,"has_affinity":false,
   "allowed_regions":["luzon"],"weighted_services":null,
   "allow_anonymous":true}],
  "services":[{"name":"wuno96b","health_path":"/health","max_connections":1770,
               "protocol":"h1","tls":false,"warmup_s":3.0,"cold_per_s":2.9}],
  "tenants":[
  {"name":"ferry","api_keys":["k-1","k-2"],"priority":2,"rate_per_s":12.5,
   "burst":40,"allowed_regions":["luzon","visayas"]},
  {"name":"island","api_keys":["k-3"],"priority":null,"rate_per_s":0,
   "burst":0,"allowed_regions":[]}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
            "header_timeout_s":3,"idle_timeout_s":15}})";

// Guards against a translation that drops the keys, the quota or the regions of
// a tenant.
TEST(OperatorDocument, TenantsAreTranslated) {
  const Result<Deployment> parsed =
      ParseOperatorDocument(kTenantDocument, MakeRegionByZone());
  ASSERT_TRUE(parsed) << parsed.error().m_message;
  const Deployment& document = parsed.value();
  EXPECT_EQ(config::CheckDeployment(document), Problems());
  EXPECT_EQ(document.m_routes[0].m_kind, RequestKind::kUpload);
  EXPECT_TRUE(document.m_routes[0].m_allows_anonymous);
  ASSERT_EQ(document.m_tenants.size(), 2U);
  EXPECT_EQ(document.m_tenants[0],
            (Tenant{.m_name = {"ferry"},
                    .m_keys = {"k-1", "k-2"},
                    .m_priority = 7,
                    .m_requests_per_1000s = 12500,
                    .m_burst = 40,
                    .m_allowed_regions = {{"luzon"}, {"visayas"}}}));
  EXPECT_EQ(document.m_tenants[1],
            (Tenant{.m_name = {"island"}, .m_keys = {"k-3"}}));
  const Result<Deployment> without_tenants =
      ParseOperatorDocument(kDocument, MakeRegionByZone());
  ASSERT_TRUE(without_tenants);
  EXPECT_TRUE(without_tenants.value().m_tenants.empty());
  EXPECT_FALSE(without_tenants.value().m_routes[0].m_allows_anonymous);
}

// Guards against turning a whole valid document away because of one word or
// field of the pages in force, which leaves a system without any configuration.
// Each row replaces one part of the document above.
TEST(OperatorDocument, EachWordAndFieldOfThePagesIsTaken) {
  const std::string document = kTenantDocument;
  const std::string kind = "\"kind\":\"upload\"";
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {kind, "\"kind\":\"repeatable\""},
           {kind, "\"kind\":\"at_most_once\""},
           {kind, "\"kind\":\"download\""},
           {"\"allow_anonymous\":true", "\"allow_anonymous\":false"},
           {"\"allow_anonymous\":true", "\"allow_anonymous\":null"},
           {",\n   \"allow_anonymous\":true", ""},
           {"\"has_affinity\":false", "\"has_affinity\":true"},
           {"\"allowed_regions\":[\"luzon\"],\"weighted",
            "\"allowed_regions\":null,\"weighted"},
           {"\"service\":\"wuno96b\"", "\"service\":null"},
           {"\"protocol\":\"h1\"", "\"protocol\":\"h2\""},
           {"\"tls\":false", "\"tls\":true"},
           {"\"health_path\":\"/health\"", "\"health_path\":null"},
           {"\"warmup_s\":3.0", "\"warmup_s\":null"},
           {"\"api_keys\":[\"k-3\"]", "\"api_keys\":[]"},
           {"\"api_keys\":[\"k-3\"]", "\"api_keys\":null"},
           {"\"api_keys\":[\"k-3\"],", ""},
           {"\"priority\":2", "\"priority\":0"},
           {"\"priority\":2", "\"priority\":1000"},
           {"\"priority\":null,", ""},
           {"\"rate_per_s\":12.5", "\"rate_per_s\":null"},
           {"\"rate_per_s\":12.5,", ""},
           {"\"rate_per_s\":12.5", "\"rate_per_s\":0.0001"},
           {"\"rate_per_s\":12.5", "\"rate_per_s\":1e300"},
           {"\"burst\":40", "\"burst\":null"},
           {"\"burst\":40,", ""},
           {"\"burst\":40", "\"burst\":2.5"},
           {"\"burst\":40", "\"burst\":1e300"},
           {"\"allowed_regions\":[\"luzon\",\"visayas\"]",
            "\"allowed_regions\":null"},
           {"\"allowed_regions\":[]}", "\"later_field\":{\"a\":[1]}}"},
           {"\"name\":\"island\"", "\"name\":\"Island_&_Co.\""},
           {"\"tenants\":[", "\"later_table\":[{}],\"tenants\":["}}) {
    std::string text = Replaced(document, from, to);
    if (to == "\"service\":null") {
      text = Replaced(
          text, "\"weighted_services\":null",
          "\"weighted_services\":[{\"service\":\"wuno96b\",\"weight\":1}]");
    }
    const Result<Deployment> parsed =
        ParseOperatorDocument(text, MakeRegionByZone());
    ASSERT_TRUE(parsed) << from << " -> " << to << ": "
                        << parsed.error().m_message;
    EXPECT_EQ(config::CheckDeployment(parsed.value()), Problems())
        << from << " -> " << to;
    const Result<Deployment> decoded = DecodeDeployment(Encode(parsed.value()));
    ASSERT_TRUE(decoded) << from << " -> " << to;
    EXPECT_EQ(decoded.value(), parsed.value()) << from << " -> " << to;
  }
  for (const std::string tenants : {"[]", "null"}) {
    const std::size_t begin = document.find("\"tenants\":[");
    const std::size_t end = document.find("\"limits\"");
    const std::string text = document.substr(0, begin) +
                             "\"tenants\":" + tenants + "," +
                             document.substr(end);
    const Result<Deployment> parsed =
        ParseOperatorDocument(text, MakeRegionByZone());
    ASSERT_TRUE(parsed) << tenants;
    EXPECT_TRUE(parsed.value().m_tenants.empty());
  }
}

// Guards against a small quota that becomes none (0 stands for no limit), and
// against a huge one that overflows.
TEST(OperatorDocument, QuotasKeepTheirMeaning) {
  const auto first_tenant = [](const std::string& from, const std::string& to) {
    return ParseOperatorDocument(Replaced(kTenantDocument, from, to),
                                 MakeRegionByZone())
        .value()
        .m_tenants[0];
  };
  const auto rate = [&](const std::string& value) {
    return first_tenant("\"rate_per_s\":12.5", "\"rate_per_s\":" + value)
        .m_requests_per_1000s;
  };
  EXPECT_EQ(rate("0"), 0U);
  EXPECT_EQ(rate("1e-9"), 1U);
  EXPECT_EQ(rate("0.5"), 500U);
  EXPECT_EQ(rate("1e300"), 1'000'000'000'000U);
  EXPECT_EQ(first_tenant("\"burst\":40", "\"burst\":1e300").m_burst,
            1'000'000'000U);
  EXPECT_EQ(first_tenant("\"burst\":40", "\"burst\":2.5").m_burst, 2U);
}

// Guards against a faulty tenant that is taken in part: without its regions,
// its priority or its quota, its requests would go where they must not. The
// error names the tenant and no key.
TEST(OperatorDocument, FaultyTenantsAreRefusedWithTheirName) {
  const std::string document = kTenantDocument;
  struct Row {
    std::string m_from;
    std::string m_to;
    std::string m_named;
  };
  const std::string regions = "\"allowed_regions\":[\"luzon\",\"visayas\"]";
  for (const auto& [from, to, named] : std::vector<Row>{
           {"\"name\":\"ferry\",", "", "tenants.name"},
           {"\"name\":\"ferry\"", "\"name\":7", "tenants.name"},
           {"\"name\":\"ferry\"", "\"name\":\"\"", "$.tenants[0].name"},
           {"\"name\":\"ferry\"", "\"name\":\"fer\\nry\"", "$.tenants[0].name"},
           {"\"name\":\"ferry\"", "\"name\":\"island\"", "$.tenants[1].name"},
           {"[\"k-1\",\"k-2\"]", "\"k-1\"", "ferry.api_keys"},
           {"[\"k-1\",\"k-2\"]", "[17355]", "ferry.api_keys"},
           {"[\"k-1\",\"k-2\"]", "[\"\"]", "\"ferry\""},
           {"[\"k-1\",\"k-2\"]", "[\"k 1\"]", "\"ferry\""},
           {"[\"k-1\",\"k-2\"]", "[\"k-1\\r\\nX: y\"]", "\"ferry\""},
           {"[\"k-1\",\"k-2\"]", "[\"" + std::string(257, 'k') + "\"]",
            "\"ferry\""},
           {"[\"k-3\"]", "[\"k-2\"]", "\"island\""},
           {"\"rate_per_s\":12.5", "\"rate_per_s\":-1", "ferry.rate_per_s"},
           {"\"rate_per_s\":12.5", "\"rate_per_s\":\"12\"", "ferry.rate_per_s"},
           {"\"burst\":40", "\"burst\":-0.5", "ferry.burst"},
           {"\"burst\":40", "\"burst\":[40]", "ferry.burst"},
           {"\"priority\":2", "\"priority\":-2", "ferry.priority"},
           {"\"priority\":2", "\"priority\":\"high\"", "ferry.priority"},
           {regions, "\"allowed_regions\":[\"nil\"]", "\"nil\""},
           {regions, "\"allowed_regions\":[7]", "ferry.allowed_regions"},
           {regions, "\"allowed_regions\":\"luzon\"", "ferry.allowed_regions"},
           {"\"allowed_regions\":[\"luzon\"],\"weighted",
            "\"allowed_regions\":\"luzon\",\"weighted", "r-1.allowed_regions"},
           {"\"allow_anonymous\":true", "\"allow_anonymous\":\"yes\"",
            "r-1.allow_anonymous"},
           {"\"tenants\":[", "\"tenants\":{},\"later\":[", "document.tenants"},
           {"\"tenants\":[", "\"tenants\":[7,", "document.tenants"}}) {
    const Result<Deployment> parsed =
        ParseOperatorDocument(Replaced(document, from, to), MakeRegionByZone());
    std::string message = parsed ? "" : parsed.error().m_message;
    if (parsed) {
      for (const Problem& problem : config::CheckDeployment(parsed.value()))
        message += ToString(problem) + "\n";
    }
    EXPECT_NE(message.find(named), std::string::npos)
        << from << " -> " << to << ": " << message;
    EXPECT_EQ(message.find("k-"), std::string::npos) << message;
    EXPECT_EQ(message.find("kkk"), std::string::npos) << message;
    EXPECT_EQ(message.find("17355"), std::string::npos) << message;
  }
}

constexpr const char* kAnnouncement =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"luz-caloocan",
        "version":"v1","slots":3,"state":"serving","cold_left_s":1.5,
        "sequence":4,"born":1773563351661})";

// Guards against a translation that changes the times or the order of
// announcements.
TEST(UpstreamAnnouncement, FieldsAreTranslated) {
  const auto parsed = ParseUpstreamAnnouncement("i-7f", kAnnouncement);
  ASSERT_TRUE(parsed) << parsed.error().m_message;
  const Announcement& announcement = parsed.value();
  EXPECT_EQ(announcement.m_instance.m_value, "i-7f");
  EXPECT_EQ(announcement.m_incarnation, 1773563351661U);
  EXPECT_EQ(announcement.m_endpoint.m_address, "10.128.0.9");
  EXPECT_EQ(announcement.m_endpoint.m_port, 8080);
  EXPECT_EQ(announcement.m_cold_for, milliseconds(1500));
  EXPECT_EQ(announcement.m_state, UpstreamState::kServing);
}

// Guards against sending requests to an instance whose announcement is
// malformed.
TEST(UpstreamAnnouncement, MalformedAnnouncementsAreRefused) {
  const std::string valid = kAnnouncement;
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
           {"\"service\":\"huvo11a\"", "\"service\":7"},
           {"\"service\":\"huvo11a\",", ""},
           {"10.128.0.9:8080", "10.128.0.9"},
           {"10.128.0.9:8080", "10.128.0.9:0"},
           {"\"slots\":3", "\"slots\":0"},
           {"\"slots\":3", "\"slots\":\"3\""},
           {"\"state\":\"serving\"", "\"state\":\"resting\""},
           {"\"sequence\":4", "\"sequence\":-1"},
           {"\"sequence\":4", "\"sequence\":1.5"},
           {"1773563351661", "\"soon\""}}) {
    EXPECT_FALSE(ParseUpstreamAnnouncement("i-7f", Replaced(valid, from, to)))
        << from << " -> " << to;
  }
  EXPECT_FALSE(ParseUpstreamAnnouncement("i-7f", "\xff\xfe"));
  EXPECT_FALSE(ParseUpstreamAnnouncement("i-7f", "[]"));
  EXPECT_FALSE(ParseUpstreamAnnouncement("", valid));
}

// Guards against a leave that is ordered before the last announcement of the
// instance or not before its next one.
TEST(UpstreamAnnouncement, LeaveIsOrderedBetweenTwoAnnouncements) {
  const Announcement last =
      ParseUpstreamAnnouncement("i", kAnnouncement).value();
  const Announcement next =
      ParseUpstreamAnnouncement(
          "i", Replaced(kAnnouncement, "\"sequence\":4", "\"sequence\":5"))
          .value();
  const Announcement leaving = MakeLeaveAnnouncement(last);
  EXPECT_EQ(leaving.m_state, UpstreamState::kLeaving);
  EXPECT_GT(leaving.m_sequence, last.m_sequence);
  EXPECT_LT(leaving.m_sequence, next.m_sequence);
}

constexpr const char* kNode =
    R"({"node_name":"core-luz-1","zone":"luz-caloocan","ip":"10.1.0.17",
        "inner_port_range":[7620,7635],
        "seeds":["10.1.0.17:8649","10.2.0.43:8649","10.3.0.40:8649"],
        "listen":{"control":"10.1.0.17:8649","directory":"10.1.0.17:8644",
                  "front":"10.1.0.17:8641","ready":"10.1.0.17:8640"},
        "zones":{"luz-caloocan":"luzon"},"bootstrap":true,
        "data_dir":"/data/control","heartbeat_s":1.5,
        "bounds":{"grace_s":6},"unknown":[1,2]})";

// Guards against a control host that creates a second log instead of joining
// the existing one.
TEST(NodeSettings, OnlySeedsCreateTheLogAndOnlyOnBootstrap) {
  const auto joins = [](const std::string& text) {
    return ToControlSettings(ParseNodeSettings(text).value()).value().m_join;
  };
  EXPECT_FALSE(joins(kNode));
  EXPECT_TRUE(
      joins(Replaced(kNode, "\"bootstrap\":true", "\"bootstrap\":false")));
  EXPECT_TRUE(
      joins(Replaced(kNode, "\"ip\":\"10.1.0.17\"", "\"ip\":\"10.1.0.99\"")));
}

// Guards against connecting to peers on the listener for operators.
TEST(NodeSettings, PeersListenOnTheFirstPeerPort) {
  const NodeSettings node = ParseNodeSettings(kNode).value();
  const ControlSettings control = ToControlSettings(node).value();
  ASSERT_EQ(control.m_peers.size(), 3U);
  EXPECT_EQ(control.m_peers[1].m_host.m_value, "10.2.0.43:7620");
  EXPECT_EQ(control.m_peers[1].m_peer.m_port, 7620);
  EXPECT_EQ(control.m_peers[1].m_operator.m_port, 8649);
  const EntrySettings entry = ToEntrySettings(node).value();
  EXPECT_EQ(entry.m_control[2].m_address, "10.3.0.40");
  EXPECT_EQ(entry.m_control[2].m_port, 7620);
  // The planned stop ends before SIGKILL.
  EXPECT_LT(entry.m_drain_limit + milliseconds(3000), node.m_stop_timeout);
  EXPECT_LT(entry.m_stop_limit.value(), node.m_stop_timeout);
  // A request that is sent 3 s after SIGTERM or later is not given up.
  EXPECT_LT(entry.m_stop_limit.value() - entry.m_drain_limit,
            milliseconds(3000));
}

// Guards against hosts with fast links whose bodies are paced.
TEST(NodeSettings, OnlyNarrowLinksAreLimited) {
  const auto link_kbit_s = [](const std::string& fields) {
    return ToEntrySettings(
               ParseNodeSettings(Replaced(kNode, "\"unknown\":[1,2]", fields))
                   .value())
        .value()
        .m_link_kbit_s;
  };
  EXPECT_FALSE(link_kbit_s("\"unknown\":[1,2]"));
  EXPECT_FALSE(link_kbit_s(R"("limits":{"link_mbps":100})"));
  EXPECT_FALSE(link_kbit_s(R"("limits":{"link_mbps":"2.6"})"));
  EXPECT_EQ(link_kbit_s(R"("limits":{"link_mbps":2.6})"), 2600U);
}

// Guards against overload control for a document whose routes do not call for
// it, so that its callers are served otherwise than before.
TEST(OperatorDocument, UploadsAndTenantsCallForOverloadControl) {
  const auto controls_overload = [](const std::string& text) {
    return ParseOperatorDocument(text, MakeRegionByZone())
        .value()
        .m_overload_control;
  };
  EXPECT_FALSE(controls_overload(kDocument));
  EXPECT_FALSE(controls_overload(
      Replaced(kDocument, "\"services\":[", "\"tenants\":[],\"services\":[")));
  EXPECT_TRUE(controls_overload(
      Replaced(kDocument, "\"kind\":\"at_most_once\"", "\"kind\":\"upload\"")));
  EXPECT_TRUE(controls_overload(
      Replaced(kDocument, "\"services\":[",
               R"("tenants":[{"name":"t","api_keys":["k"]}],"services":[)")));
}

// Guards against quotas that are kept by other bounds than the platform's.
TEST(NodeSettings, BoundsOfQuotasReachTheControlHosts) {
  const auto quotas_of = [](const std::string& bounds) {
    return ToControlSettings(
               ParseNodeSettings(Replaced(kNode, "\"grace_s\":6", bounds))
                   .value())
        .value()
        .m_quotas;
  };
  EXPECT_EQ(quotas_of("\"grace_s\":6"), QuotaSettings{});
  EXPECT_EQ(quotas_of("\"quota_window_s\":2.5,\"quota_overage\":0.05,"
                      "\"quota_slack\":7"),
            (QuotaSettings{.m_window = milliseconds(2500),
                           .m_overage_permille = 50,
                           .m_slack = 7}));
  EXPECT_EQ(quotas_of("\"quota_window_s\":0,\"quota_overage\":9,"
                      "\"quota_slack\":-1"),
            (QuotaSettings{.m_window = milliseconds(100),
                           .m_overage_permille = 1000}));
}

// Guards against a refusal over a quota without the time to come back.
TEST(RequestDialect, RefusalOverQuotaStatesWhenToRetry) {
  const ResponseHead head = RequestDialect::RefusalHead(
      {.m_status = 429, .m_retry_after = milliseconds(1250)});
  EXPECT_EQ(head.m_status, 429);
  EXPECT_EQ(net::FindHeader(head.m_headers, "Retry-After"), "1.250");
}

// Guards against accepting a malformed value silently.
TEST(NodeSettings, ErrorsNameTheField) {
  const auto parse_error = [](const std::string& from, const std::string& to) {
    const auto parsed = ParseNodeSettings(Replaced(kNode, from, to));
    return parsed ? std::string("accepted") : parsed.error().m_message;
  };
  EXPECT_NE(parse_error("\"10.3.0.40:8649\"", "\"nowhere\"").find("seeds"),
            std::string::npos);
  EXPECT_NE(parse_error("[7620,7635]", "[]").find("inner_port_range"),
            std::string::npos);
  EXPECT_NE(parse_error("\"zone\":\"luz-caloocan\"", "\"zone\":4").find("zone"),
            std::string::npos);
}

// Guards against entry hosts that use a key for longer than the platform allows
// after it was taken away, and against a lease that the platform does not ask
// for.
TEST(NodeSettings, TheKeyLeaseIsShorterThanTheTimeToRevoke) {
  const auto lease = [](const std::string& bounds) {
    return ToEntrySettings(
               ParseNodeSettings(Replaced(kNode, "\"grace_s\":6", bounds))
                   .value())
        .value()
        .m_key_lease;
  };
  EXPECT_EQ(lease("\"strict_revocation\":true,\"revoke_s\":5"),
            milliseconds(4000));
  EXPECT_EQ(lease("\"strict_revocation\":false,\"revoke_s\":5"), std::nullopt);
  EXPECT_EQ(lease("\"revoke_s\":5"), std::nullopt);
  EXPECT_EQ(lease("\"strict_revocation\":null,\"revoke_s\":null"),
            std::nullopt);
}

entry::ServingView ViewOf(const Deployment& document) {
  return {.m_routes =
              std::make_shared<const steering::RouteTable>(document.m_routes)};
}

RequestHead Head(const std::string& host, const std::string& target) {
  return {.m_method = "GET",
          .m_target = target,
          .m_headers = {{"Host", host},
                        {"Attempt-Id", "9c41"},
                        {"Affinity-Key", "17"},
                        {"Deadline-Ms", "2500"},
                        {"Connection", "keep-alive"}}};
}

// Guards against a 404 from an entry host without a configuration: callers do
// not retry after a 404.
TEST(RequestDialect, UnknownRouteAndMissingConfigurationAreDistinct) {
  const auto view =
      ViewOf(ParseOperatorDocument(kDocument, MakeRegionByZone()).value());
  const auto unknown_route =
      RequestDialect::Parse(Head("hulo84.example", "/other/1"), view);
  ASSERT_FALSE(unknown_route);
  EXPECT_EQ(unknown_route.error().m_code, ErrorCode::kNotFound);
  const auto no_configuration =
      RequestDialect::Parse(Head("hulo84.example", "/leny950/1"), ViewOf({}));
  ASSERT_FALSE(no_configuration);
  EXPECT_EQ(no_configuration.error().m_code, ErrorCode::kUnavailable);
}

// Guards against forwarding a request with a wrong target, id, deadline or
// expected instance.
TEST(RequestDialect, UpstreamHeadKeepsTheRequest) {
  const auto view =
      ViewOf(ParseOperatorDocument(kDocument, MakeRegionByZone()).value());
  RequestHead head = Head("JEPU9.example:80", "/puka111/2f?x=%20");
  head.m_headers.push_back({"Expect-Instance", "forged"});
  const entry::Route route = RequestDialect::Parse(head, view).value();
  EXPECT_EQ(route.m_service.m_value, "wuno96b");
  EXPECT_EQ(route.m_is_repeatable, false);
  EXPECT_NE(route.m_affinity_hash, 0U);
  EXPECT_EQ(route.m_caller_time_limit, milliseconds(2500));
  steering::Selection selection{.m_instance = {"i-7f"}};
  const RequestHead upstream_head = RequestDialect::UpstreamHead(
      head, route, milliseconds(900), "", selection);
  EXPECT_EQ(upstream_head.m_target, "/puka111/2f?x=%20");
  EXPECT_EQ(net::FindHeader(upstream_head.m_headers, "Deadline-Ms"), "900");
  EXPECT_EQ(net::FindHeader(upstream_head.m_headers, "Expect-Instance"),
            "i-7f");
  EXPECT_EQ(net::FindHeader(upstream_head.m_headers, "Attempt-Id"), "9c41");
  EXPECT_FALSE(net::FindHeader(upstream_head.m_headers, "Connection"));
}

// Guards against an upstream that receives the key of a caller, or that takes
// the name which the caller states for its tenant. Without tenants in the
// document, the fields are the caller's own.
TEST(RequestDialect, TheTenantReplacesTheKey) {
  const auto view =
      ViewOf(ParseOperatorDocument(kDocument, MakeRegionByZone()).value());
  RequestHead head = Head("jepu9.example", "/puka111/1");
  for (const std::string name : {"Authorization", "aUTHORIZATION"})
    head.m_headers.push_back({name, "Bearer k-17"});
  for (const std::string name : {"Tenant", "tenant", "TENANT"})
    head.m_headers.push_back({name, "forged"});
  const auto values = [&](const entry::Route& route, const std::string& name) {
    const steering::Selection selection{.m_instance = {"i-7f"}};
    std::vector<std::string> found;
    for (const Header& header :
         RequestDialect::UpstreamHead(head, route, milliseconds(900), "",
                                      selection)
             .m_headers) {
      if (net::EqualsIgnoreCase(header.m_name, name))
        found.push_back(header.m_value);
    }
    return found;
  };
  using Values = std::vector<std::string>;
  entry::Route route = RequestDialect::Parse(head, view).value();
  EXPECT_EQ(values(route, "Authorization"),
            (Values{"Bearer k-17", "Bearer k-17"}));
  EXPECT_EQ(values(route, "Tenant"), (Values{"forged", "forged", "forged"}));
  route.m_has_tenants = true;
  EXPECT_EQ(values(route, "Authorization"), Values());
  EXPECT_EQ(values(route, "Tenant"), Values());
  route.m_tenant = TenantId{"ferry"};
  EXPECT_EQ(values(route, "Authorization"), Values());
  EXPECT_EQ(values(route, "Tenant"), Values{"ferry"});
}

// Guards against accepting the response to another request, and against taking
// an error as a statement that the request did not run.
TEST(RequestDialect, ResponsesAreClassified) {
  const entry::Route route{.m_request_id = "9c41"};
  const ResponseHead matching{.m_headers = {{"Attempt-Id", "9c41"}}};
  const ResponseHead other{.m_headers = {{"Attempt-Id", "9c42"}}};
  const ResponseHead without_id{};
  EXPECT_TRUE(RequestDialect::IsResponseTo(matching, route));
  EXPECT_FALSE(RequestDialect::IsResponseTo(other, route));
  EXPECT_FALSE(RequestDialect::IsResponseTo(without_id, route));
  const ResponseHead refused{.m_status = 503,
                             .m_headers = {{"Not-Executed", "1"}}};
  const ResponseHead failed{.m_status = 503};
  const ResponseHead misdirected{.m_status = 421};
  EXPECT_TRUE(RequestDialect::IsNotStarted(refused));
  EXPECT_TRUE(RequestDialect::IsNotStarted(misdirected));
  EXPECT_FALSE(RequestDialect::IsNotStarted(failed));
  EXPECT_TRUE(RequestDialect::NamesRequest(matching));
  EXPECT_FALSE(RequestDialect::NamesRequest(refused));
  const ResponseHead with_load{.m_headers = {{"Server-Load", "3,2,8"}}};
  EXPECT_EQ(RequestDialect::ReportOf(with_load).m_in_progress, 5U);
  EXPECT_EQ(RequestDialect::ReportOf(with_load).m_waiting, 2U);
  EXPECT_EQ(RequestDialect::ReportOf(with_load).m_slots, 8U);
  const ResponseHead without_slots{.m_headers = {{"Server-Load", "3,2"}}};
  EXPECT_EQ(RequestDialect::ReportOf(without_slots).m_in_progress, 5U);
  EXPECT_FALSE(RequestDialect::ReportOf(without_slots).m_slots);
  for (const char* absurd : {"3,2,0", "4294967295,1,8", "3,-2,8", "3,2,x"}) {
    const ResponseHead head{.m_headers = {{"Server-Load", absurd}}};
    EXPECT_FALSE(RequestDialect::ReportOf(head).m_slots) << absurd;
  }
  const ResponseHead malformed_load{.m_headers = {{"Server-Load", "3;2"}}};
  EXPECT_FALSE(RequestDialect::ReportOf(malformed_load).m_in_progress);
  const ResponseHead leaving{.m_headers = {{"Server-Leaving", "1"}}};
  EXPECT_TRUE(RequestDialect::ReportOf(leaving).m_is_leaving);
  EXPECT_FALSE(RequestDialect::ReportOf(with_load).m_is_leaving);
  const ResponseHead paused{.m_status = 503,
                            .m_headers = {{"Retry-After", "0.7"}}};
  EXPECT_EQ(RequestDialect::ReportOf(paused).m_pause, milliseconds(700));
  const ResponseHead limited{.m_status = 429,
                             .m_headers = {{"Retry-After", "0.7"}}};
  EXPECT_FALSE(RequestDialect::ReportOf(limited).m_pause);
  EXPECT_FALSE(RequestDialect::ReportOf(limited).m_requests_per_1000s);
  const ResponseHead in_need{.m_headers = {{"Server-Limit", "6.4"}}};
  EXPECT_EQ(RequestDialect::ReportOf(in_need).m_requests_per_1000s, 6400U);
}

// Guards against a status that means "not run" for a request that may have run.
TEST(RequestDialect, MayHaveRunIsNotReportedAsNotRun) {
  const entry::Refusal may_have_run{.m_status = 503,
                                    .m_verdict = Verdict::kMayHaveRun,
                                    .m_retry_after = milliseconds(1000)};
  EXPECT_EQ(RequestDialect::RefusalHead(may_have_run).m_status, 502);
  const entry::Refusal refused{.m_status = 503,
                               .m_retry_after = milliseconds(350)};
  const ResponseHead head = RequestDialect::RefusalHead(refused);
  EXPECT_EQ(head.m_status, 503);
  EXPECT_EQ(net::FindHeader(head.m_headers, "Retry-After"), "0.350");
}

}  // namespace
}  // namespace jujube::platform
