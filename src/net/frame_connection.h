// FrameConnection: an authenticated connection after its handshake.
//
// Belongs to the thread of one io_context; every member is called on it.
// FrameServer and FrameClient create these; handlers get them from a
// FrameSource. Keep a std::weak_ptr, since the peer may go at any time.

#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gen/frames.h"

namespace jujube::net {

// An encoded message. Shared, so that one copy serves many connections.
using SharedPayload = std::shared_ptr<const std::string>;

class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  struct Impl;  // net/frame_connection_impl.h
  explicit FrameConnection(std::unique_ptr<Impl> impl);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  // Queues a message. False: the connection is closed, the message is over the
  // limit of its type, or the queue is full; nothing was queued then.
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

  // Takes a queued message back. True: no byte of it was or will be written.
  bool Withdraw(std::uint64_t correlation);

  // Bytes that wait for the peer, the frame that is being written included.
  std::size_t QueuedBytes() const;

  // Called each time that the queue becomes empty. Send the next part of a long
  // stream then, so that a slow peer costs the memory of one part.
  void OnDrained(std::function<void()> callback);

  // Called once after the connection closed; at once if it is closed already.
  void OnClosed(std::function<void()> callback);

  bool IsOpen() const;
  std::uint64_t PeerIncarnation() const;  // proven in the handshake
  const std::string& PeerName() const;    // address and port, for log lines
  void Close();

 private:
  friend struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace jujube::net
