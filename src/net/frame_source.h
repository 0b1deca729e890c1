// FrameSource: the sender of a received message, used to reply to it.

#pragma once

#include <cstdint>
#include <memory>

#include "net/frame_connection.h"

namespace jujube::net {

// Copy it to reply later, on the same thread.
struct FrameSource {
  std::weak_ptr<FrameConnection> m_connection;
  std::uint64_t m_correlation = 0;  // 0: a one-way message
  std::uint64_t m_incarnation = 0;  // of the sending process

  // Replies to a request. Returns false if the connection is closed, its queue
  // is full or the message is too large; the caller then times out or loses its
  // connection.
  template <class Message>
  bool Reply(const Message& message) const {
    const auto connection = m_connection.lock();
    return connection && connection->Send(message, m_correlation);
  }
};

}  // namespace jujube::net
