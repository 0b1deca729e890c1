// HostLink: the link of this host, in each direction.
//
//   link.Record(LinkSide::kOut, head_bytes, now);        // sent at once
//   MonoTime start = link.Reserve(LinkSide::kOut, chunk_bytes, now);
//   ...wait until `start`, then write the chunk
//
// Small messages are sent at once and only recorded. Large bodies are passed on
// in chunks of ChunkBytes(); each chunk reserves the link for its transmit time
// behind the chunks that were reserved before. A body reserves one chunk at a
// time, so bodies use the link in turn, and a small message waits only for the
// chunk on its way.
//
// Thread-safe, without locks. An object without a rate records nothing and
// never delays.

#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"

namespace jujube::limits {

enum class LinkSide : std::uint8_t {
  kOut,  // from this host
  kIn,   // to this host
};

class HostLink {
 public:
  // Messages up to this size are sent at once.
  static constexpr std::size_t kMaxSmallBytes = 8192;
  // Period over which the utilization is measured.
  static constexpr std::chrono::milliseconds kPeriod{500};

  explicit HostLink(std::optional<std::uint64_t> kbit_s)
      : m_kbit_s(kbit_s.value_or(0)) {}
  HostLink(const HostLink&) = delete;
  HostLink& operator=(const HostLink&) = delete;

  // An inactive link has no rate. Active at first.
  void SetActive(bool is_active) {
    m_is_active.store(is_active, std::memory_order_relaxed);
  }
  bool HasRate() const {
    return m_kbit_s > 0 && m_is_active.load(std::memory_order_relaxed);
  }

  // Chunk of a large body, in bytes.
  std::size_t ChunkBytes() const;

  // Records bytes that are sent at once or have arrived.
  void Record(LinkSide side, std::uint64_t bytes, MonoTime now);
  // Reserves the link for a chunk. Returns when the chunk may be passed on; not
  // before `now`.
  MonoTime Reserve(LinkSide side, std::uint64_t bytes, MonoTime now);

  // Time until all recorded and reserved bytes have been transmitted.
  MonoClock::duration Backlog(LinkSide side, MonoTime now) const;

  // Share of the rate used in the last complete period, in permille. May exceed
  // 1000 after a burst.
  std::uint32_t UtilizationPermille(LinkSide side, MonoTime now) const;

  // True if either side is used to more than kBusyPermille or has a backlog of
  // more than kBusyBacklog. Messages and connects may then wait on the link.
  bool IsBusy(MonoTime now) const;

 private:
  struct Side {
    std::atomic<std::int64_t> m_free_at_ns = 0;
    std::atomic<std::int64_t> m_period = 0;  // number of the current period
    std::atomic<std::uint64_t> m_bytes = 0;  // in the current period
    std::atomic<std::uint64_t> m_last_bytes = 0;  // in the period before
  };

  Side& Of(LinkSide side) { return m_sides[static_cast<std::size_t>(side)]; }
  const Side& Of(LinkSide side) const {
    return m_sides[static_cast<std::size_t>(side)];
  }
  static void Count(Side& side, std::uint64_t bytes, MonoTime now);
  std::int64_t TransmitTimeNs(std::uint64_t bytes) const;

  const std::uint64_t m_kbit_s;  // 0: not limited
  std::atomic<bool> m_is_active = true;
  std::array<Side, 2> m_sides;
};

}  // namespace jujube::limits
