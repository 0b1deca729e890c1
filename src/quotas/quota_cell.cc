#include "quotas/quota_cell.h"

#include <algorithm>

namespace jujube::quotas {
namespace {

using std::chrono::milliseconds;

// A refused tenant is reported within 500 ms.
constexpr milliseconds kMinRetryAfter{300};
// Callers are rarely willing to wait for longer than this.
constexpr milliseconds kMaxRetryAfter{5000};

// After a refusal, requests do not wait for this long: if the leader answers,
// the tenant is over its quota, otherwise there may be tokens again soon.
constexpr milliseconds kNoWaitTime{2000};
constexpr milliseconds kNoWaitTimeWithoutLeader{100};
// The leader answers if it has answered a report of this age or less.
constexpr milliseconds kLeaderSilence{700};

constexpr int kLimitShift = 32;

constexpr QuotaCount Unpack(std::uint64_t word) {
  return {.m_spent = static_cast<std::uint32_t>(word),
          .m_limit = static_cast<std::uint32_t>(word >> kLimitShift)};
}

constexpr std::uint64_t Pack(const QuotaCount& count) {
  return (std::uint64_t{count.m_limit} << kLimitShift) | count.m_spent;
}

}  // namespace

QuotaCount QuotaCell::Count() const {
  return Unpack(m_count.load(std::memory_order_acquire));
}

bool QuotaCell::HasRoom(MonoTime now) const {
  return now < m_lease->End() && Count().Left() > 0;
}

// The lease is checked first: a token of an expired lease must not be spent
// under the lease that follows.
bool QuotaCell::TrySpend(MonoTime now) {
  if (now >= m_lease->End())
    return false;
  std::uint64_t word = m_count.load(std::memory_order_acquire);
  while (true) {
    QuotaCount count = Unpack(word);
    if (count.Left() <= 0)
      return false;
    ++count.m_spent;
    if (m_count.compare_exchange_weak(word, Pack(count),
                                      std::memory_order_acq_rel,
                                      std::memory_order_acquire))
      return true;
  }
}

void QuotaCell::Want() {
  m_lacked.fetch_add(1, std::memory_order_relaxed);
  m_is_wanted.store(true, std::memory_order_relaxed);
  m_lease->Want();
}

milliseconds QuotaCell::Refuse(std::uint64_t random, MonoTime now) {
  const bool has_leader = now - m_lease->AnsweredAt() < kLeaderSilence;
  m_no_wait_until.store(
      now + (has_leader ? kNoWaitTime : kNoWaitTimeWithoutLeader),
      std::memory_order_relaxed);
  m_refused.fetch_add(1, std::memory_order_relaxed);
  m_lacked.fetch_add(1, std::memory_order_relaxed);
  const std::int64_t position =
      m_refused_in_queue.fetch_add(1, std::memory_order_relaxed) + 1;
  const std::int64_t interval_ns = std::clamp<std::int64_t>(
      m_interval_ns.load(std::memory_order_relaxed), 0,
      std::chrono::nanoseconds(kMaxRetryAfter).count());
  const std::int64_t wait_ms = std::clamp<std::int64_t>(
      position * interval_ns /
          std::chrono::nanoseconds(milliseconds(1)).count(),
      kMinRetryAfter.count(), kMaxRetryAfter.count());
  // Up to half as long again.
  return milliseconds(
      wait_ms + static_cast<std::int64_t>(
                    random % static_cast<std::uint64_t>(wait_ms / 2 + 1)));
}

void QuotaCell::SetLimit(std::uint32_t limit) {
  std::uint64_t word = m_count.load(std::memory_order_acquire);
  QuotaCount count;
  do {
    count = Unpack(word);
    count.m_limit = limit;
  } while (!m_count.compare_exchange_weak(
      word, Pack(count), std::memory_order_acq_rel, std::memory_order_acquire));
}

void QuotaCell::DropTokens() {
  std::uint64_t word = m_count.load(std::memory_order_acquire);
  QuotaCount count;
  do {
    count = Unpack(word);
    count.m_limit = count.m_spent;
  } while (!m_count.compare_exchange_weak(
      word, Pack(count), std::memory_order_acq_rel, std::memory_order_acquire));
}

void QuotaCell::SetInterval(std::chrono::nanoseconds interval) {
  m_interval_ns.store(interval.count(), std::memory_order_relaxed);
  m_refused_in_queue.store(0, std::memory_order_relaxed);
}

}  // namespace jujube::quotas
