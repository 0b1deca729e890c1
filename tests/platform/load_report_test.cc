#include <cstdint>
#include <limits>
#include <string>

#include <gtest/gtest.h>

#include "platform/request_dialect.h"

namespace jujube::platform {
namespace {

InstanceReport ReportOf(const std::string& load) {
  return RequestDialect::ReportOf(
      {.m_status = 200, .m_headers = {{"Server-Load", load}}});
}

TEST(LoadReport, ReadsFourFigures) {
  EXPECT_EQ(ReportOf("5,2,6,250"),
            (InstanceReport{.m_in_progress = 7,
                            .m_waiting = 2,
                            .m_slots = 6,
                            .m_work_time_permille = 2500}));
}

// Guards against malformed figures that are taken for no load: missing, extra,
// negative, huge or unreadable ones, and a machine figure of 0.
TEST(LoadReport, TakesMalformedFiguresAsMissing) {
  for (const char* load : {"", "5", "5,", ",2", "-5,2,6", "5,-2,6", "x,2,6",
                           "5 ,2,6", "99999999999,2,6"})
    EXPECT_EQ(ReportOf(load), InstanceReport()) << load;
  const InstanceReport base{.m_in_progress = 7, .m_waiting = 2};
  for (const char* load : {"5,2", "5,2,", "5,2,-6", "5,2,x,250"})
    EXPECT_EQ(ReportOf(load).m_in_progress, base.m_in_progress) << load;
  EXPECT_EQ(ReportOf("5,2,x,250").m_work_time_permille, std::nullopt);
  EXPECT_EQ(ReportOf("5,2,6,0").m_work_time_permille, std::nullopt);
  EXPECT_EQ(ReportOf("5,2,6,-100").m_work_time_permille, std::nullopt);
  EXPECT_EQ(ReportOf("5,2,6,250,77,x").m_work_time_permille, 2500U);
}

// Guards against a sum that wraps and makes a full instance look idle.
TEST(LoadReport, ClampsHugeSums) {
  constexpr std::uint32_t kMax = std::numeric_limits<std::uint32_t>::max();
  const InstanceReport report = ReportOf("4294967295,4294967295,6,4294967295");
  EXPECT_EQ(report.m_in_progress, kMax);
  EXPECT_EQ(report.m_work_time_permille, kMax);
}

}  // namespace
}  // namespace jujube::platform
