// FrameSource: where a received message came from, and the way to answer it.

#pragma once

#include <cstdint>
#include <memory>

#include "net/frame_connection.h"

namespace jujube::net {

// A value; copy it to answer later, on the same thread.
struct FrameSource {
  std::weak_ptr<FrameConnection> m_connection;
  std::uint64_t m_correlation = 0;  // 0: a one-way message
  std::uint64_t m_incarnation = 0;  // of the sending process

  // Answers a request. False: the connection is gone or its queue is full; the
  // caller then sees a timeout.
  template <class Message>
  bool Reply(const Message& message) const {
    const auto connection = m_connection.lock();
    return connection && connection->Send(message, m_correlation);
  }
};

}  // namespace jujube::net
