#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "core/json_document.h"
#include "observe/log.h"
#include "observe/log_rate_limiter.h"

namespace jujube::observe {
namespace {

// Logs to a temporary file and restores logging to standard error afterwards.
class LogTest : public testing::Test {
 protected:
  explicit LogTest()
      : m_path(testing::TempDir() + "jujube-log-" + std::to_string(getpid())) {
    std::filesystem::remove(m_path);
  }
  ~LogTest() override {
    EXPECT_TRUE(ConfigureLog({}, "-"));
    std::filesystem::remove(m_path);
  }

  void Configure(LogFormat format, MinimumLogLevel level) const {
    ASSERT_TRUE(ConfigureLog(
        {.m_level = level, .m_format = format, .m_file = m_path}, "entry-1"));
  }

  std::vector<std::string> Lines() const {
    std::vector<std::string> lines;
    std::ifstream file(m_path);
    for (std::string line; std::getline(file, line);)
      lines.push_back(line);
    return lines;
  }

 private:
  std::string m_path;
};

TEST_F(LogTest, TextLineHasNumberLevelNameAndFields) {
  Configure(LogFormat::kText, MinimumLogLevel::kInfo);
  Log(LogEvent::kStarted, {{"port", 8080}, {"peer", "10.0.0.1"}});
  ASSERT_EQ(Lines().size(), 1U);
  EXPECT_EQ(Lines()[0].substr(sizeof "2026-01-31T08:00:00.000Z"),
            "INFO 100 Started entry-1 process started port=8080 peer=10.0.0.1");
}

// Guards against log injection: a value that contains a line break or a field.
TEST_F(LogTest, ValueCannotForgeALineOrAField) {
  Configure(LogFormat::kText, MinimumLogLevel::kInfo);
  Log(LogEvent::kStopped, {{"peer", "a\nERROR 102 level=x"}});
  ASSERT_EQ(Lines().size(), 1U);
  EXPECT_NE(Lines()[0].find(R"(peer="a\\x0aERROR 102 level=x")"),
            std::string::npos)
      << Lines()[0];
}

TEST_F(LogTest, JsonLineParsesAndLongValuesAreTruncated) {
  Configure(LogFormat::kJson, MinimumLogLevel::kInfo);
  Log(LogEvent::kStarted, {{"body", std::string(100'000, 'x')}, {"ok", true}});
  ASSERT_EQ(Lines().size(), 1U);
  const auto line = ParseJsonText(Lines()[0], "line").value().as_object();
  EXPECT_EQ(line.at("number").to_number<int>(), 100);
  EXPECT_EQ(line.at("level").as_string(), "INFO");
  EXPECT_EQ(line.at("host").as_string(), "entry-1");
  const auto& fields = line.at("fields").as_object();
  EXPECT_EQ(fields.at("body").as_string().size(), kMaxLogValueBytes + 3);
  EXPECT_TRUE(fields.at("ok").as_bool());
}

TEST_F(LogTest, LinesBelowTheMinimumLevelAreOmitted) {
  Configure(LogFormat::kText, MinimumLogLevel::kError);
  Log(LogEvent::kStarted);
  Log(LogEvent::kSettingsRefused);
  ASSERT_EQ(Lines().size(), 1U);
  EXPECT_NE(Lines()[0].find("SettingsRefused"), std::string::npos);
}

TEST_F(LogTest, FileThatCannotBeOpenedIsReported) {
  const Status status =
      ConfigureLog({.m_file = "/nonexistent-folder/log"}, "entry-1");
  ASSERT_FALSE(status);
  EXPECT_EQ(status.error().m_code, ErrorCode::kIo);
}

// Guards against a flood of invalid frames that fills the disk, and against
// interleaved lines of several threads.
TEST_F(LogTest, FloodFromSeveralThreadsIsRateLimited) {
  Configure(LogFormat::kJson, MinimumLogLevel::kInfo);
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i)
    threads.emplace_back([] {
      for (int n = 0; n < 2000; ++n)
        Log(LogEvent::kFrameRefused, {{"n", n}});
    });
  for (std::thread& thread : threads)
    thread.join();
  const auto lines = Lines();
  EXPECT_GE(lines.size(), 1U);
  EXPECT_LT(lines.size(), 4000U);
  for (const std::string& line : lines)
    EXPECT_TRUE(ParseJsonText(line, "line")) << line;
}

TEST(LogRateLimiter, AllowsABurstThenTheRateAndReportsSuppressedLines) {
  LogRateLimiter limiter;
  const MonoTime start{std::chrono::hours(1)};
  for (int i = 0; i < kLogBurst; ++i)
    EXPECT_EQ(limiter.TryAcquire(start), 0U);
  EXPECT_FALSE(limiter.TryAcquire(start));
  EXPECT_FALSE(limiter.TryAcquire(start));
  const MonoTime later =
      start + std::chrono::milliseconds(1000 / kLogLinesPerSecond);
  EXPECT_EQ(limiter.TryAcquire(later), 2U);
  EXPECT_FALSE(limiter.TryAcquire(later));
}

}  // namespace
}  // namespace jujube::observe
