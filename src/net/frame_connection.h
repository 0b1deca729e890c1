// FrameConnection: an authenticated connection after its handshake.
//
// Not thread-safe: call every member on the thread of its io_context.
// FrameServer and FrameClient create connections; handlers get them from a
// FrameSource. Keep a std::weak_ptr, since the peer may disconnect at any time.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gen/frames.h"

namespace jujube::net {

// An encoded message. Shared, so that many connections can send the same copy.
using SharedPayload = std::shared_ptr<const std::string>;

class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  struct Impl;  // net/frame_connection_impl.h
  explicit FrameConnection(std::unique_ptr<Impl> impl);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  // Queues a message. Returns false, and queues nothing, if the connection is
  // closed, the message is over the size limit of its type, or the queue is
  // full.
  // Precondition: every field is within its limit in the schema; the codec
  // throws otherwise.
  template <class Message>
  bool Send(const Message& message, std::uint64_t correlation = 0) {
    return SendEncoded(FrameTraits<Message>::kType,
                       std::make_shared<const std::string>(Encode(message)),
                       correlation);
  }
  bool SendEncoded(FrameType type,
                   SharedPayload payload,
                   std::uint64_t correlation = 0);

  // Removes the first message with this correlation from the queue. Returns
  // true if it was still queued: no byte of it was or will be written.
  bool CancelQueued(std::uint64_t correlation);

  // Queued bytes, including the frame that is being written.
  std::size_t QueuedBytes() const;

  // Called each time the queue becomes empty. Replaces the previous callback. A
  // sender of a long stream queues its next chunk there, so that a slow peer
  // has at most one chunk queued.
  void OnDrained(std::function<void()> callback);

  // Called once after the connection has closed; immediately if it is already
  // closed. Adds to the previous callbacks.
  void OnClosed(std::function<void()> callback);

  bool IsOpen() const;
  std::uint64_t PeerIncarnation() const;  // authenticated by the handshake
  const std::string& PeerName() const;    // address and port, for log lines
  void Close();

 private:
  friend struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jujube::net
