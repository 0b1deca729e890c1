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
  // A client applies it to the connect and to the handshake, each.
  std::chrono::milliseconds m_handshake_timeout{3000};
  std::chrono::milliseconds m_write_timeout{10000};  // per frame
  std::chrono::milliseconds m_backoff_min{50};       // client: first retry
  std::chrono::milliseconds m_backoff_max{2000};     // client: later retries
  EventSink m_on_event;                              // may be empty
  FrameCounters* m_counters = nullptr;               // may be null
};

}  // namespace jujube::net
