#include <cstring>
#include <string>

#include <gtest/gtest.h>

#include "core/json_document.h"
#include "gen/claims_wire.h"
#include "gen/membership_json.h"
#include "gen/membership_wire.h"
#include "gen/settings_json.h"

namespace jujube {
namespace {

Announcement SampleAnnouncement() {
  return {.m_service = {"tankview"},
          .m_instance = {"tankview-1"},
          .m_incarnation = 7,
          .m_sequence = 3,
          .m_state = UpstreamState::kServing,
          .m_endpoint = {.m_address = "127.0.0.1", .m_port = 9000},
          .m_availability_zone = {"luz-caloocan"},
          .m_slots = 3,
          .m_in_progress = 2,
          .m_uptime = std::chrono::milliseconds(1500)};
}

TEST(WireCodec, MessageSurvivesEncodingAndDecoding) {
  const RegistryDelta delta{
      .m_host = {"entry-1"},
      .m_incarnation = 5,
      .m_entries = {{.m_announcement = SampleAnnouncement(),
                     .m_age = std::chrono::milliseconds(20)}}};
  EXPECT_EQ(DecodeRegistryDelta(Encode(delta)).value(), delta);
}

// Guards against reading past the end: each shortened message is refused.
TEST(WireCodec, EveryTruncatedMessageIsRefused) {
  const std::string bytes = Encode(SampleAnnouncement());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(DecodeAnnouncement(bytes.substr(0, size))) << size;
  EXPECT_FALSE(DecodeAnnouncement(bytes + "x"));
}

// Guards against an allocation of the size that a hostile count asks for.
TEST(WireCodec, CountAboveTheRemainingBytesIsRefused) {
  std::string bytes = Encode(RegistryDelta{.m_host = {"e"}});
  const std::uint32_t huge = 0xffffffffU;
  std::memcpy(bytes.data() + bytes.size() - sizeof huge, &huge, sizeof huge);
  EXPECT_FALSE(DecodeRegistryDelta(bytes));
}

TEST(WireCodec, UnknownEnumeratorIsRefused) {
  std::string bytes = Encode(ClaimReply{.m_outcome = ClaimOutcome::kGranted});
  bytes[0] = 99;
  EXPECT_FALSE(DecodeClaimReply(bytes));
}

TEST(JsonCodec, ValueSurvivesPrintingAndParsing) {
  const std::string text = boost::json::serialize(ToJson(SampleAnnouncement()));
  EXPECT_EQ(ParseDocument<Announcement>(text, "a.json").value(),
            SampleAnnouncement());
}

// Guards against an operator having to correct a file one error at a time.
TEST(JsonCodec, EveryProblemIsReportedWithItsPath) {
  const auto result = ParseDocument<EntrySettings>(
      R"({"host": "e1", "availability_zone": "Z!", "worker_threads": 700,
          "caller": {"port": 70000}, "sped": 1})",
      "entry.json");
  ASSERT_FALSE(result);
  const std::string& message = result.error().m_message;
  EXPECT_NE(message.find("entry.json: $.availability_zone: found \"Z!\""),
            std::string::npos);
  EXPECT_NE(message.find("$.worker_threads: found 700, expected a whole "
                         "number from 1 up to 64"),
            std::string::npos);
  EXPECT_NE(message.find("$.caller.port: found 70000"), std::string::npos);
  EXPECT_NE(message.find("$.platform: found nothing"), std::string::npos);
  EXPECT_NE(message.find("$.sped: found an unknown key"), std::string::npos);
}

TEST(JsonCodec, SyntaxErrorNamesLineAndColumn) {
  const auto result = ParseDocument<EntrySettings>("{\n \"host\" 1}", "e.json");
  ASSERT_FALSE(result);
  EXPECT_NE(result.error().m_message.find("e.json: line 2, column 9"),
            std::string::npos)
      << result.error().m_message;
}

}  // namespace
}  // namespace jujube
