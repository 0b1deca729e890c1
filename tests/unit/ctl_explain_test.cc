#include <gtest/gtest.h>

#include "ctl/explain.h"

namespace jujube::ctl {
namespace {

constexpr const char* kEntryLog =
    "2026-12-04T15:20:02.100Z WARNING 511 AttemptFailed e-1 attempt failed "
    "request=ab route=r instance=i-7 verdict=may-have-run error=\"response "
    "head: end of stream\"\n"
    "2026-12-04T15:20:02.050Z WARNING 511 AttemptFailed e-1 attempt failed "
    "request=abc instance=i-8\n"
    "2026-12-04T15:20:02.300Z INFO 510 RequestRefused e-1 request refused "
    "request=ab status=502\n"
    "2026-12-04T15:20:09.000Z WARNING 410 InstanceEjected e-1 upstream "
    "instance ejected service=s instance=i-7\n";

constexpr const char* kControlLog =
    "2026-12-04T15:20:01.000Z WARNING 324 InstanceSilent c-1 silent service=s "
    "instance=i-7 silent_ms=6000\n"
    "2026-12-04T15:20:01.500Z WARNING 324 InstanceSilent c-1 silent service=s "
    "instance=i-77 silent_ms=6000\n"
    "not a log line\n";

// Guards against missing a cause that only the log of another host contains.
TEST(ExplainRequest, IncludesEarlierEventsOfTheInstance) {
  const auto lines = ExplainRequest("ab", {kEntryLog, kControlLog});
  ASSERT_EQ(lines.size(), 3U);
  EXPECT_NE(lines[0].find("InstanceSilent"), std::string::npos);
  EXPECT_NE(lines[0].find("instance=i-7 "), std::string::npos);
  EXPECT_NE(lines[1].find("AttemptFailed"), std::string::npos);
  EXPECT_NE(lines[2].find("RequestRefused"), std::string::npos);
}

// Guards against matching an id of which the given id is only a prefix.
TEST(ExplainRequest, MatchesCompleteIdsOnly) {
  EXPECT_EQ(ExplainRequest("abc", {kEntryLog, kControlLog}).size(), 1U);
  EXPECT_TRUE(ExplainRequest("a", {kEntryLog}).empty());
  EXPECT_TRUE(ExplainRequest("ab", {}).empty());
}

TEST(ExplainRequest, ParsesJsonLines) {
  const auto lines = ExplainRequest(
      "ab", {R"({"time":"2026-12-04T15:20:02.100Z","event":"AttemptFailed",)"
             R"("fields":{"request":"ab","instance":"i-7"}})"
             "\n"
             R"({"time":"2026-12-04T15:20:01.100Z","event":"InstanceEjected",)"
             R"("fields":{"service":"s","instance":"i-7"}})"});
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_NE(lines[0].find("InstanceEjected"), std::string::npos);
}

}  // namespace
}  // namespace jujube::ctl
