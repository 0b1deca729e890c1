#include "consensus/follower_progress.h"

#include <algorithm>

namespace jujube::consensus {

void FollowerProgress::AdvanceMatch(std::uint64_t match_index) {
  m_match_index = std::max(m_match_index, match_index);
  m_next_index = std::max(m_next_index, m_match_index + 1);
  while (!m_in_flight.empty() &&
         m_in_flight.front().m_last_index <= m_match_index) {
    m_bytes_in_flight -= m_in_flight.front().m_bytes;
    m_in_flight.pop_front();
  }
}

void FollowerProgress::AddInFlight(const MessageInFlight& message) {
  m_in_flight.push_back(message);
  m_bytes_in_flight += message.m_bytes;
}

void FollowerProgress::ClearInFlight() {
  m_in_flight.clear();
  m_bytes_in_flight = 0;
}

void FollowerProgress::ProbeAfter(std::uint64_t index) {
  m_mode = SendMode::kProbe;
  m_next_index = std::max(index, m_match_index) + 1;
  m_probe_sent = false;
  ClearInFlight();
}

}  // namespace jujube::consensus
