#include "overload/wait_by_rank.h"

namespace jujube::overload {

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
  if (request.m_is_early_repeat)
    decision.m_answer = RoomAnswer::kRepeat;
  else if (inputs.m_ranks_above > 0 ||
           inputs.m_now + 4 * decision.m_expected_room > LatestStart(request))
    decision.m_answer = RoomAnswer::kTooLate;
  return decision;
}

}  // namespace jujube::overload
