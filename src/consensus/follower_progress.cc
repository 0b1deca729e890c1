#include "consensus/follower_progress.h"

#include <algorithm>

namespace jujube::consensus {

void FollowerProgress::Confirm(std::uint64_t match) {
  m_match = std::max(m_match, match);
  m_next = std::max(m_next, m_match + 1);
  while (!m_in_flight.empty() && m_in_flight.front() <= m_match)
    m_in_flight.pop_front();
}

void FollowerProgress::ProbeAfter(std::uint64_t index) {
  m_mode = SendMode::kProbe;
  m_next = std::max(index, m_match) + 1;
  m_probe_sent = false;
  m_in_flight.clear();
}

}  // namespace jujube::consensus
