#include "consensus/follower_progress.h"

#include <algorithm>

namespace jujube::consensus {

void FollowerProgress::AdvanceMatch(std::uint64_t match_index) {
  m_match_index = std::max(m_match_index, match_index);
  m_next_index = std::max(m_next_index, m_match_index + 1);
  while (!m_in_flight.empty() && m_in_flight.front() <= m_match_index)
    m_in_flight.pop_front();
}

void FollowerProgress::ProbeAfter(std::uint64_t index) {
  m_mode = SendMode::kProbe;
  m_next_index = std::max(index, m_match_index) + 1;
  m_probe_sent = false;
  m_in_flight.clear();
}

}  // namespace jujube::consensus
