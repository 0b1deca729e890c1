#include <string>

#include <gtest/gtest.h>

#include "request/deadline.h"
#include "request/host_drain.h"
#include "request/idempotency_key.h"

namespace jujube::request {
namespace {

using std::chrono::milliseconds;

MonoTime At(int ms) {
  return MonoTime(milliseconds(ms));
}

TEST(Deadline, ParsesWholeNumbersOnly) {
  EXPECT_EQ(ParseDeadlineMs("250").value(), milliseconds(250));
  for (const char* text : {"", "-1", "+1", "1.5", "9999999999", "5 ", "0x5"})
    EXPECT_FALSE(ParseDeadlineMs(text)) << text;
}

// Guards against an upstream that works on after the caller stopped waiting.
TEST(Deadline, UpstreamGetsTheRestWithoutTheTravelTime) {
  const Deadline deadline =
      StartDeadline(At(0), milliseconds(100), milliseconds(9000));
  EXPECT_EQ(RemainingFor(deadline, At(10), milliseconds(12)), milliseconds(66));
  EXPECT_EQ(RemainingFor(deadline, At(76), milliseconds(12)), std::nullopt);
  EXPECT_EQ(Remaining(deadline, At(500)).count(), 0);
  EXPECT_EQ(StartDeadline(At(0), std::nullopt, milliseconds(9000)).m_at,
            At(9000));
  EXPECT_EQ(StartDeadline(At(0), milliseconds(999999999), milliseconds(1)).m_at,
            At(600000));
}

TEST(IdempotencyKey, ParsesIssueAndRandomPart) {
  const auto key = ParseIdempotencyKey("1700000000000-ab_C-12345").value();
  EXPECT_EQ(key.m_issued, UnixMillis(1700000000000));
  EXPECT_EQ(key.m_random, "ab_C-12345");
  EXPECT_EQ(ParseIdempotencyKey(ToText(key)).value(), key);
  for (const std::string& text :
       {std::string(""), std::string("-abcdefgh"), std::string("17"),
        std::string("17-short"), std::string("1x7-abcdefgh"),
        std::string("17-abcdefg\n"), "17-" + std::string(65, 'a'),
        std::string(16, '9') + "-abcdefgh"})
    EXPECT_FALSE(ParseIdempotencyKey(text)) << text;
}

// Guards against a second run under a key whose claim is forgotten.
TEST(IdempotencyKey, AgeIsCheckedAgainstTheRetention) {
  const IdempotencyKey key{.m_issued = UnixMillis(1000000)};
  const milliseconds retention(5000);
  EXPECT_EQ(CheckAge(key, UnixMillis(1005000), retention), KeyAge::kUsable);
  EXPECT_EQ(CheckAge(key, UnixMillis(1005001), retention), KeyAge::kTooOld);
  EXPECT_EQ(CheckAge(key, UnixMillis(700000), retention), KeyAge::kUsable);
  EXPECT_EQ(CheckAge(key, UnixMillis(699999), retention), KeyAge::kTooEarly);
}

// Guards against a stop that loses callers whose look-up still names the host.
TEST(HostDrain, WaitsForLookupsLifetimesAndRequestsInThisOrder) {
  const DrainLimits limits{.m_lookup_lifetime = milliseconds(5000)};
  HostDrain drain = StartDrain(At(0));
  const auto advance = [&](int ms, bool omitted, std::uint32_t in_progress) {
    drain = Advance(drain,
                    {.m_now = At(ms),
                     .m_is_omitted_everywhere = omitted,
                     .m_in_progress = in_progress},
                    limits);
    return drain.m_phase;
  };
  EXPECT_EQ(advance(9000, false, 0), DrainPhase::kLeavingLookups);
  EXPECT_EQ(advance(9001, true, 0), DrainPhase::kWaitingForLifetimes);
  EXPECT_EQ(advance(14000, true, 0), DrainPhase::kWaitingForLifetimes);
  EXPECT_EQ(advance(14001, true, 2), DrainPhase::kWaitingForRequests);
  EXPECT_EQ(advance(14002, true, 0), DrainPhase::kDone);
  EXPECT_FALSE(drain.m_is_cut_short);
}

// Guards against a stop that never ends.
TEST(HostDrain, EndsWithoutPeersAndDespiteAStuckRequest) {
  const DrainLimits limits{.m_lookup_lifetime = milliseconds(5000),
                           .m_requests = milliseconds(1000)};
  HostDrain drain = StartDrain(At(0));
  for (const int ms : {18000, 23000, 24000})
    drain = Advance(drain, {.m_now = At(ms), .m_in_progress = 1}, limits);
  EXPECT_EQ(drain.m_phase, DrainPhase::kDone);
  EXPECT_TRUE(drain.m_is_cut_short);
}

}  // namespace
}  // namespace jujube::request
