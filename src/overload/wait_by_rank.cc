#include "overload/wait_by_rank.h"

namespace jujube::overload {
namespace {

// Part of the time to the latest start within which the room must be expected.
// With the whole time, requests started at the last moment and were late: at
// 1.5 of the room 0.607 were in time, and 0.670 when refused at once
// (bench/overload_bench).
constexpr std::int64_t kWaitDivisor = 4;

}  // namespace

RoomDecision WaitByRank::Decide(const RoomRequest& request,
                                const RoomInputs& inputs) {
  if (!inputs.m_is_short)
    return {.m_answer = RoomAnswer::kGo};
  const bool is_first = inputs.m_waiting_ahead == 0 &&
                        (inputs.m_is_owed || !inputs.m_is_other_owed);
  if (is_first && inputs.m_in_progress < UsableRoom(inputs))
    return {.m_answer = RoomAnswer::kGo};
  RoomDecision decision{.m_answer = RoomAnswer::kWait,
                        .m_expected_room = ExpectedRoom(inputs)};
  if (request.m_is_early_repeat) {
    decision.m_answer = RoomAnswer::kRepeat;
  } else if (inputs.m_ranks_above > 0) {
    // A lower rank with a later target would wait longer, and get the room of
    // the higher ranks that are refused meanwhile.
    decision.m_answer = RoomAnswer::kRankTooLow;
  } else if (kWaitDivisor * decision.m_expected_room >
             LatestStart(request) - inputs.m_now) {
    decision.m_answer = RoomAnswer::kTooLate;
  }
  return decision;
}

}  // namespace jujube::overload
