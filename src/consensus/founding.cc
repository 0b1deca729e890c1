#include "consensus/founding.h"

#include <algorithm>

namespace jujube::consensus {

FoundingDecision DecideFounding(const std::vector<HostId>& hosts,
                                const std::vector<Introduction>& seen) {
  const bool founded =
      std::any_of(seen.begin(), seen.end(),
                  [](const Introduction& peer) { return peer.m_founded; });
  if (founded)
    return {.m_step = FoundingStep::kJoin};
  Voters voters;
  for (const HostId& host : hosts) {
    const auto peer = std::find_if(
        seen.begin(), seen.end(),
        [&](const Introduction& one) { return one.m_replica.m_host == host; });
    if (peer == seen.end())
      return {.m_step = FoundingStep::kWait};
    voters.m_voters.push_back(peer->m_replica);
  }
  std::sort(voters.m_voters.begin(), voters.m_voters.end());
  return {.m_step = FoundingStep::kFound, .m_voters = voters};
}

}  // namespace jujube::consensus
