#include <string>

#include <gtest/gtest.h>

#include "request/deadline.h"
#include "request/host_drain.h"
#include "request/idempotency_key.h"
#include "request/rate_limit.h"
#include "request/retry_after.h"
#include "request/stop_window.h"

namespace jujube::request {
namespace {

using std::chrono::milliseconds;

MonoTime AtMs(int ms) {
  return MonoTime(milliseconds(ms));
}

TEST(Deadline, ParsesUnsignedDecimalIntegersOnly) {
  EXPECT_EQ(ParseDeadlineMs("250").value(), milliseconds(250));
  for (const char* text : {"", "-1", "+1", "1.5", "9999999999", "5 ", "0x5"})
    EXPECT_FALSE(ParseDeadlineMs(text)) << text;
}

// Guards against a malformed Retry-After that keeps requests from an instance.
TEST(RetryAfter, ParsesDecimalSecondsOnly) {
  EXPECT_EQ(ParseRetryAfter("2"), milliseconds(2000));
  EXPECT_EQ(ParseRetryAfter("0.2501"), milliseconds(251));
  EXPECT_EQ(ParseRetryAfter("0"), milliseconds(0));
  for (const char* text :
       {"", "-1", "+1", "1e3", "nan", "inf", " 1", "1 ", "1.2.3", ".",
        "99999999999999999999", "Sat, 05 Dec 2026 08:00:00 GMT"})
    EXPECT_FALSE(ParseRetryAfter(text)) << text;
}

// Guards against a malformed limit that stops or frees the requests to an
// instance.
TEST(RateLimit, ParsesDecimalRatesOnly) {
  EXPECT_EQ(ParseRateLimit("6.4"), 6400U);
  EXPECT_EQ(ParseRateLimit("0"), 0U);
  EXPECT_EQ(ParseRateLimit("99999999999999999999"), 1000000000000U);
  for (const char* text : {"", "-3", "nan", "6,4", "6/s"})
    EXPECT_FALSE(ParseRateLimit(text)) << text;
}

// Guards against an upstream that continues after the caller stopped waiting.
TEST(Deadline, UpstreamGetsTheRemainingTimeMinusTheRoundTrip) {
  const Deadline deadline =
      StartDeadline(AtMs(0), milliseconds(100), milliseconds(9000));
  EXPECT_EQ(RemainingForUpstream(deadline, AtMs(10), milliseconds(12)),
            milliseconds(66));
  EXPECT_EQ(RemainingForUpstream(deadline, AtMs(76), milliseconds(12)),
            std::nullopt);
  EXPECT_EQ(Remaining(deadline, AtMs(500)).count(), 0);
  EXPECT_EQ(StartDeadline(AtMs(0), std::nullopt, milliseconds(9000)).m_time,
            AtMs(9000));
  EXPECT_EQ(
      StartDeadline(AtMs(0), milliseconds(999999999), milliseconds(1)).m_time,
      AtMs(600000));
}

TEST(IdempotencyKey, ParsesIssueTimeAndRandomPart) {
  const auto key = ParseIdempotencyKey("1700000000000-ab_C-12345").value();
  EXPECT_EQ(key.m_issued_at, UnixMillis(1700000000000));
  EXPECT_EQ(key.m_random, "ab_C-12345");
  EXPECT_EQ(ParseIdempotencyKey(ToText(key)).value(), key);
  for (const std::string& text :
       {std::string(""), std::string("-abcdefgh"), std::string("17"),
        std::string("17-short"), std::string("1x7-abcdefgh"),
        std::string("17-abcdefg\n"), "17-" + std::string(65, 'a'),
        std::string(16, '9') + "-abcdefgh"})
    EXPECT_FALSE(ParseIdempotencyKey(text)) << text;
}

// Guards against running a request again because its claim was deleted.
TEST(IdempotencyKey, AgeIsCheckedAgainstTheRetention) {
  const IdempotencyKey key{.m_issued_at = UnixMillis(1000000)};
  const milliseconds retention(5000);
  EXPECT_EQ(CheckAge(key, UnixMillis(1005000), retention), KeyAge::kUsable);
  EXPECT_EQ(CheckAge(key, UnixMillis(1005001), retention), KeyAge::kExpired);
  EXPECT_EQ(CheckAge(key, UnixMillis(700000), retention), KeyAge::kUsable);
  EXPECT_EQ(CheckAge(key, UnixMillis(699999), retention),
            KeyAge::kTooFarInFuture);
}

// Guards against a shutdown while callers still hold a look-up response that
// names the host.
TEST(HostDrain, WaitsForLookupRemovalThenExpiryThenRequests) {
  const DrainLimits limits{.m_lookup_lifetime = milliseconds(5000)};
  HostDrain drain = StartDrain(AtMs(0));
  const auto advance = [&](int ms, bool is_omitted, std::uint32_t in_progress) {
    drain = Advance(drain,
                    {.m_now = AtMs(ms),
                     .m_is_omitted_everywhere = is_omitted,
                     .m_in_progress = in_progress},
                    limits);
    return drain.m_phase;
  };
  EXPECT_EQ(advance(9000, false, 0), DrainPhase::kWaitingForLookupRemoval);
  EXPECT_EQ(advance(9001, true, 0), DrainPhase::kWaitingForLookupExpiry);
  EXPECT_EQ(advance(14000, true, 0), DrainPhase::kWaitingForLookupExpiry);
  EXPECT_EQ(advance(14001, true, 2), DrainPhase::kWaitingForRequests);
  EXPECT_EQ(advance(14002, true, 0), DrainPhase::kDone);
  EXPECT_FALSE(drain.m_is_cut_short);
}

// Guards against a host that exits before it refuses requests: one that is
// admitted between the count of requests in progress and the exit is passed on
// and cut.
TEST(HostDrain, CountsRequestsOnlyOnceItRefusesFurtherOnes) {
  const DrainLimits limits{.m_lookup_lifetime = milliseconds(3000),
                           .m_request_timeout = milliseconds(2500)};
  HostDrain drain = StartDrain(AtMs(0));
  const DrainInputs last_lookup_used{.m_now = AtMs(3000),
                                     .m_is_omitted_everywhere = true};
  drain = Advance(drain, {.m_now = AtMs(0), .m_is_omitted_everywhere = true},
                  limits);
  drain = Advance(drain, last_lookup_used, limits);
  EXPECT_EQ(drain.m_phase, DrainPhase::kWaitingForRequests);
  drain = Advance(drain, last_lookup_used, limits);
  EXPECT_EQ(drain.m_phase, DrainPhase::kDone);
}

// Guards against a shutdown that never completes.
TEST(HostDrain, EndsWithoutPeersAndDespiteAStuckRequest) {
  const DrainLimits limits{.m_lookup_lifetime = milliseconds(5000),
                           .m_request_timeout = milliseconds(1000)};
  HostDrain drain = StartDrain(AtMs(0));
  for (const int ms : {18000, 23000, 24000})
    drain = Advance(drain, {.m_now = AtMs(ms), .m_in_progress = 1}, limits);
  EXPECT_EQ(drain.m_phase, DrainPhase::kDone);
  EXPECT_TRUE(drain.m_is_cut_short);
}

// Guards against a request that is admitted during a planned stop and cut at
// its end.
TEST(HostDrain, EarliestCutHoldsInAllPhases) {
  const DrainLimits limits{.m_lookup_lifetime = milliseconds(3000),
                           .m_request_timeout = milliseconds(2500),
                           .m_propagation_timeout = milliseconds(500)};
  HostDrain drain = StartDrain(AtMs(0));
  MonoTime earliest_cut = EarliestCut(drain, limits);
  EXPECT_EQ(earliest_cut, AtMs(5500));
  for (int ms = 0; drain.m_phase != DrainPhase::kDone; ms += 50) {
    // What was promised earlier still holds.
    EXPECT_GE(EarliestCut(drain, limits), earliest_cut) << ms;
    earliest_cut = EarliestCut(drain, limits);
    drain = Advance(drain,
                    {.m_now = AtMs(ms),
                     .m_is_omitted_everywhere = ms >= 200,
                     .m_in_progress = 1},
                    limits);
    if (drain.m_phase == DrainPhase::kDone) {
      EXPECT_GE(AtMs(ms), earliest_cut);
    }
  }
  EXPECT_TRUE(drain.m_is_cut_short);
}

// Guards against a request that is admitted late in a planned stop and gets
// less time than the drain limit promises, because the stop limit ends first.
TEST(HostDrain, LatestFullAdmissionLeavesTheRequestTimeout) {
  DrainLimits limits{.m_lookup_lifetime = milliseconds(3000),
                     .m_request_timeout = milliseconds(2750),
                     .m_propagation_timeout = milliseconds(500),
                     .m_stop_limit = milliseconds(5500)};
  HostDrain drain = StartDrain(AtMs(0));
  for (int ms = 0; drain.m_phase != DrainPhase::kDone; ms += 50) {
    EXPECT_EQ(LatestFullAdmission(drain, limits), AtMs(2750)) << ms;
    drain = Advance(drain, {.m_now = AtMs(ms), .m_in_progress = 1}, limits);
  }
  limits.m_stop_limit.reset();
  EXPECT_EQ(LatestFullAdmission(StartDrain(AtMs(0)), limits), MonoTime::max());
}

// Guards against a request that is cut at the end of a planned stop, and
// against one that is refused although it ends before.
TEST(StopWindow, RequestsThatMayOutlastTheStopAreShortenedOnlyEarly) {
  const StopWindow window{.m_requests_end_by = AtMs(5400),
                          .m_shortening_ends_at = AtMs(2750)};
  const auto fit = [&](int deadline_ms, int now_ms, bool is_repeatable) {
    return FitIntoStop(window, {.m_deadline = AtMs(deadline_ms),
                                .m_now = AtMs(now_ms),
                                .m_is_repeatable = is_repeatable});
  };
  EXPECT_EQ(fit(5400, 0, false), StopFit::kWhole);
  EXPECT_EQ(fit(5400, 5000, true), StopFit::kWhole);
  EXPECT_EQ(fit(5401, 0, false), StopFit::kRefused);
  EXPECT_EQ(fit(5401, 2750, true), StopFit::kShortened);
  EXPECT_EQ(fit(5401, 2751, true), StopFit::kRefused);
}

// Guards against a planned stop that outlasts the time after which the process
// is killed, because the phase before the last one took longer: 0.5 s without a
// confirmation, 3 s and 2.5 s are more than the 5.5 s before SIGKILL at 6 s.
TEST(HostDrain, StopLimitHoldsWhateverThePhasesTake) {
  const DrainLimits limits{.m_lookup_lifetime = milliseconds(3000),
                           .m_request_timeout = milliseconds(2500),
                           .m_propagation_timeout = milliseconds(500),
                           .m_stop_limit = milliseconds(5500)};
  HostDrain drain = StartDrain(AtMs(0));
  int ms = 0;
  for (; drain.m_phase != DrainPhase::kDone; ms += 50) {
    EXPECT_EQ(EarliestCut(drain, limits), AtMs(5500)) << ms;
    drain = Advance(drain, {.m_now = AtMs(ms), .m_in_progress = 1}, limits);
  }
  EXPECT_EQ(ms - 50, 5500);
  EXPECT_TRUE(drain.m_is_cut_short);
}

}  // namespace
}  // namespace jujube::request
