#include "consensus/founding.h"

#include <algorithm>

namespace jujube::consensus {

FoundingDecision DecideFounding(
    const std::vector<HostId>& hosts,
    const std::vector<Introduction>& introductions) {
  const bool membership_exists =
      std::any_of(introductions.begin(), introductions.end(),
                  [](const Introduction& peer) { return peer.m_founded; });
  if (membership_exists)
    return {.m_step = FoundingStep::kJoin};
  Voters voters;
  for (const HostId& host : hosts) {
    const auto peer =
        std::find_if(introductions.begin(), introductions.end(),
                     [&](const Introduction& introduction) {
                       return introduction.m_replica.m_host == host;
                     });
    if (peer == introductions.end())
      return {.m_step = FoundingStep::kWait};
    voters.m_voters.push_back(peer->m_replica);
  }
  std::sort(voters.m_voters.begin(), voters.m_voters.end());
  return {.m_step = FoundingStep::kCreateMembership, .m_voters = voters};
}

}  // namespace jujube::consensus
