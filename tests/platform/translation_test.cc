#include <string>

#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "config/check.h"
#include "core/json_document.h"
#include "gen/deployment_json.h"
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
