// FrameOptions: bounds and identity of frame connections.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "net/event_sink.h"
#include "net/frame_counters.h"

namespace jujube::net {

// The owner keeps m_counters alive for as long as the server or client.
struct FrameOptions {
  std::string m_key;                // at least wire::kMinKeyBytes
  std::uint64_t m_incarnation = 0;  // of this process; grows with each start
  std::size_t m_max_queued_bytes = 24U << 20U;  // holds one largest frame
  std::size_t m_max_connections = 2048;         // server only
  std::size_t m_max_pending_calls = 4096;       // client only
  std::chrono::milliseconds m_handshake_timeout{3000};  // connect included
  std::chrono::milliseconds m_write_timeout{10000};  // peer that reads nothing
  std::chrono::milliseconds m_backoff_min{50};       // client: first reconnect
  std::chrono::milliseconds m_backoff_max{2000};     // client: later reconnects
  EventSink m_on_event;                              // may be empty
  FrameCounters* m_counters = nullptr;               // may be null
};

}  // namespace jujube::net
