#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/json.hpp>

#include "core/json_document.h"
#include "entry/control_metrics.h"
#include "net/frame_metrics.h"
#include "observe/metrics.h"

namespace jujube {
namespace {

namespace fs = std::filesystem;

std::string ReadWholeFile(const fs::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Contents of all hand-written sources, concatenated. Headers named *_impl.h
// are included because they contain the definitions of templates.
std::string ReadSources() {
  std::string text;
  for (const char* folder : {"src", "platform"}) {
    for (const auto& entry : fs::recursive_directory_iterator(
             fs::path(JUJUBE_SOURCE_DIR) / folder)) {
      const fs::path& path = entry.path();
      const bool is_generated = path.parent_path().filename() == "gen";
      const bool is_source = path.extension() == ".cc" ||
                             path.filename().string().ends_with("_impl.h");
      if (entry.is_regular_file() && is_source && !is_generated)
        text += ReadWholeFile(path);
    }
  }
  return text;
}

// Sorted values of one key, from all entries of the catalogues in a folder.
std::vector<std::string> ReadCatalogueValues(const std::string& folder,
                                             const std::string& list_key,
                                             const std::string& key) {
  std::vector<std::string> values;
  for (const auto& entry : fs::directory_iterator(fs::path(JUJUBE_SOURCE_DIR) /
                                                  "schema" / folder)) {
    const auto json =
        ParseJsonText(ReadWholeFile(entry.path()), "catalogue").value();
    for (const auto& item : json.at(list_key).as_array())
      values.emplace_back(item.at(key).as_string().c_str());
  }
  std::sort(values.begin(), values.end());
  return values;
}

bool ContainsIdentifier(const std::string& sources, const std::string& name) {
  std::size_t at = sources.find(name);
  while (at != std::string::npos) {
    const std::size_t end = at + name.size();
    if (end == sources.size() || std::isalnum(sources[end]) == 0)
      return true;
    at = sources.find(name, end);
  }
  return false;
}

// Guards against a documented event that no code logs.
TEST(Catalogue, EveryLogEventIsUsedInASource) {
  const std::string sources = ReadSources();
  for (const std::string& name :
       ReadCatalogueValues("events", "events", "name"))
    EXPECT_TRUE(ContainsIdentifier(sources, "LogEvent::k" + name)) << name;
}

// Guards against a metric that stays at zero because no code updates it.
TEST(Catalogue, EveryMetricIsRenderedAndUsedInASource) {
  const std::string sources = ReadSources();
  const std::string rendered = observe::RenderMetrics();
  for (const std::string& id : ReadCatalogueValues("metrics", "metrics", "id"))
    EXPECT_TRUE(ContainsIdentifier(sources, "Metric::k" + id)) << id;
  for (const std::string& name :
       ReadCatalogueValues("metrics", "metrics", "name"))
    EXPECT_NE(rendered.find("# TYPE " + name + " "), std::string::npos) << name;
}

// Guards against an update that adds the running totals again instead of their
// increase.
TEST(FrameMetrics, AddsTheIncreaseSinceTheLastUpdate) {
  net::FrameCounters counters;
  net::FrameMetrics metrics;
  observe::Counter& sent = observe::CounterOf(Metric::kFramesSent);
  observe::Counter& full = observe::CounterOf(Metric::kFrameQueueFull);
  const std::uint64_t sent_before = sent.Value();
  const std::uint64_t full_before = full.Value();
  counters.m_frames_sent = 5;
  metrics.Update(counters);
  counters.m_frames_sent = 7;
  counters.m_queue_full = 1;
  metrics.Update(counters);
  EXPECT_EQ(sent.Value() - sent_before, 7U);
  EXPECT_EQ(full.Value() - full_before, 1U);
}

TEST(ControlMetrics, ShowsFeedLeaseLinksAndRegions) {
  entry::ControlMetrics metrics;
  const MonoTime now{std::chrono::hours(1)};
  EXPECT_TRUE(metrics.IsDue(now));
  metrics.Update({.m_now = now,
                  .m_feed_age = std::chrono::milliseconds(250),
                  .m_lease_left = std::chrono::milliseconds(4000),
                  .m_subscribers = 3},
                 {}, {});
  EXPECT_FALSE(metrics.IsDue(now + std::chrono::milliseconds(999)));
  EXPECT_EQ(observe::GaugeOf(Metric::kFeedAge).Value(), 250);
  EXPECT_EQ(observe::GaugeOf(Metric::kLeaseLeft).Value(), 4000);
  EXPECT_EQ(observe::GaugeOf(Metric::kFeedSubscribers).Value(), 3);
  const LimitId link{.m_kind = LimitKind::kLink, .m_name = "a>b"};
  const auto cell = std::make_shared<limits::LimitCell>();
  cell->Adopt({.m_safe = 70});
  const limits::LimitTable table({{link, cell}});
  metrics.OnRenewal({.m_demands = {{.m_limit = link, .m_in_use = 40},
                                   {.m_limit = {.m_kind = LimitKind::kRegion,
                                                .m_name = "luzon"},
                                    .m_in_use = 6}}},
                    table, now);
  EXPECT_EQ(observe::GaugeOf(Metric::kLinkUse, "a>b").Value(), 40);
  EXPECT_EQ(observe::GaugeOf(Metric::kLinkUsable, "a>b").Value(), 70);
  EXPECT_EQ(observe::GaugeOf(Metric::kRegionInProgress, "luzon").Value(), 6);
}

// Guards against gauges that keep the last values of a removed service.
TEST(ControlMetrics, RemovedServiceShowsZero) {
  entry::ControlMetrics metrics;
  const ServiceId name{"left-test"};
  steering::UpstreamView view;
  view.m_services.push_back({.m_service = {.m_name = name}});
  metrics.Update({}, view, {});
  observe::Gauge& usable = observe::GaugeOf(Metric::kSlotsUsable, name.m_value);
  usable.Set(9);
  metrics.Update({}, {}, {});
  EXPECT_EQ(usable.Value(), 0);
}

TEST(ControlMetrics, CountsAnnouncementsAndEjections) {
  entry::ControlMetrics metrics;
  observe::Counter& late = observe::CounterOf(
      Metric::kAnnouncements, ToString(membership::MergeOutcome::kTooLate));
  const std::uint64_t late_before = late.Value();
  metrics.OnAnnouncement({}, membership::MergeOutcome::kTooLate);
  EXPECT_EQ(late.Value(), late_before + 1);
  observe::Counter& ejections =
      observe::CounterOf(Metric::kEjections, "ejection-test");
  using Kind = steering::EjectionChange::Kind;
  metrics.OnEjections({"ejection-test"},
                      {{.m_instance = {"i1"}, .m_kind = Kind::kEjected},
                       {.m_instance = {"i2"}, .m_kind = Kind::kBounded}});
  EXPECT_EQ(ejections.Value(), 1U);
}

}  // namespace
}  // namespace jujube
