// FrameOptions: limits, timeouts and identity of frame connections.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "net/event_sink.h"
#include "net/frame_counters.h"

namespace jujube::net {

// m_counters must outlive the server or client.
struct FrameOptions {
  std::string m_key;  // shared secret of at least wire::kMinKeyBytes
  // Incarnation of this process; increases with each start.
  std::uint64_t m_incarnation = 0;
  // Per connection; fits the largest frame.
  std::size_t m_max_queued_bytes = 24U << 20U;
  std::size_t m_max_connections = 2048;    // server only
  std::size_t m_max_pending_calls = 4096;  // client only
  // A client allows it once for the connect and once more for the handshake.
  std::chrono::milliseconds m_handshake_timeout{3000};
  std::chrono::milliseconds m_write_timeout{10000};  // per frame
  // Client: upper limits of the first delay before a retry and of all delays.
  // The limit doubles from m_backoff_min to m_backoff_max; each delay is drawn
  // from the upper half of its limit.
  std::chrono::milliseconds m_backoff_min{50};
  std::chrono::milliseconds m_backoff_max{2000};
  EventSink m_on_event;                 // may be empty
  FrameCounters* m_counters = nullptr;  // may be null
};

}  // namespace jujube::net
