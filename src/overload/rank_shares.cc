#include "overload/rank_shares.h"

#include <algorithm>

namespace jujube::overload {
namespace {

// Counts are halved after each interval, so a share covers a few seconds: long
// enough for some requests of each rank at a small host.
constexpr std::chrono::seconds kDecayInterval{2};
constexpr std::chrono::seconds kLately{2};
// A quarter is promised. The margin is for requests that start and fail.
constexpr double kLeastShare = 0.35;
// Fewer requests tell nothing of a share.
constexpr double kMinAsked = 3;

constexpr std::size_t IndexOf(std::uint8_t priority) {
  return std::min(priority, kHighestPriority);
}

}  // namespace

void RankShares::Decay(MonoTime now) {
  if (now - m_decayed_at < kDecayInterval)
    return;
  m_decayed_at = now;
  for (Rank& rank : m_ranks) {
    rank.m_asked /= 2;
    rank.m_started /= 2;
  }
}

void RankShares::OnAsked(std::uint8_t priority, MonoTime now) {
  Decay(now);
  Rank& rank = m_ranks[IndexOf(priority)];
  rank.m_asked += 1;
  rank.m_last_asked_at = now;
}

void RankShares::OnStarted(std::uint8_t priority, MonoTime now) {
  Decay(now);
  m_ranks[IndexOf(priority)].m_started += 1;
}

bool RankShares::IsOwed(std::uint8_t priority) const {
  double asked = 0;
  double started = 0;
  for (const Rank& rank : m_ranks) {
    asked += rank.m_asked;
    started += rank.m_started;
  }
  const Rank& rank = m_ranks[IndexOf(priority)];
  return rank.m_asked >= kMinAsked &&
         rank.m_started * asked < rank.m_asked * started * kLeastShare;
}

double RankShares::ReservedAbove(std::uint8_t priority) const {
  double asked = 0;
  for (const Rank& rank : m_ranks)
    asked += rank.m_asked;
  double reserved = 0;
  for (std::size_t i = IndexOf(priority) + 1; i < m_ranks.size(); ++i) {
    if (m_ranks[i].m_asked > 0)
      reserved += std::min(kMaxReserve, m_ranks[i].m_asked / asked);
  }
  return reserved;
}

std::uint32_t RankShares::CountAbove(std::uint8_t priority,
                                     MonoTime now) const {
  std::uint32_t count = 0;
  for (std::size_t i = IndexOf(priority) + 1; i < m_ranks.size(); ++i) {
    const MonoTime last = m_ranks[i].m_last_asked_at;
    count += last != MonoTime{} && now - last < kLately ? 1 : 0;
  }
  return count;
}

}  // namespace jujube::overload
