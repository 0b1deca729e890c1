// Implementation of FrameConnection, for FrameServer and FrameClient only.

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/frame_connection.h"
#include "net/frame_options.h"
#include "wire/frame_opener.h"
#include "wire/frame_sealer.h"
#include "wire/handshake.h"

namespace jujube::net {

// Handles an authenticated frame. An error closes the connection.
using FrameReceiver =
    std::function<Status(const std::shared_ptr<FrameConnection>& connection,
                         const wire::FrameHeader& header,
                         std::string_view payload)>;

struct FrameConnection::Impl {
  using Socket = boost::asio::ip::tcp::socket;

  struct QueuedFrame {
    FrameType m_type;
    std::uint64_t m_correlation;
    SharedPayload m_payload;
  };

  Impl(Socket socket,
       const wire::Session& session,
       const FrameOptions& options);

  // Starts the read loop.
  static void StartReading(const std::shared_ptr<FrameConnection>& connection,
                           FrameReceiver receiver);

  static boost::asio::awaitable<void> ReadLoop(
      std::shared_ptr<FrameConnection> connection,
      FrameReceiver receiver);
  static boost::asio::awaitable<void> WriteLoop(
      std::shared_ptr<FrameConnection> connection);

  void StartWriteTimeout(const std::shared_ptr<FrameConnection>& connection);
  void ReportRejectedFrame(const Error& error);
  void Close();

  Socket m_socket;
  boost::asio::steady_timer m_write_timer;
  wire::FrameSealer m_sealer;
  wire::FrameOpener m_opener;
  FrameOptions m_options;
  std::uint64_t m_peer_incarnation;
  std::string m_peer_name;
  std::deque<QueuedFrame> m_queue;
  std::size_t m_queued_bytes = 0;  // of m_queue and the frame being written
  bool m_writing = false;
  bool m_open = true;
  std::function<void()> m_on_drained;
  std::vector<std::function<void()>> m_on_closed;
};

// Bytes of a frame on the wire.
inline std::size_t FrameBytes(const SharedPayload& payload) {
  return wire::kFrameHeadBytes + payload->size();
}

// Adds to a counter unless options.m_counters is null.
void AddToCounter(const FrameOptions& options,
                  std::atomic<std::uint64_t> FrameCounters::*counter,
                  std::uint64_t amount = 1);

// Reports an event unless options.m_on_event is empty.
void ReportEvent(const FrameOptions& options,
                 LogEvent event,
                 std::string_view text);

// Returns the address and port of the remote end, or "unknown peer".
std::string PeerAddressText(const boost::asio::ip::tcp::socket& socket);

// Disables Nagle's algorithm and enables keepalive and the TCP user timeout.
// Errors are ignored: the next read or write reports a broken socket.
void ConfigureSocket(boost::asio::ip::tcp::socket* socket);

// Returns a random nonce from OpenSSL.
std::string NewNonce();

// Runs the handshake on a connected socket, within the handshake timeout.
boost::asio::awaitable<Result<wire::Session>> ServerHandshake(
    boost::asio::ip::tcp::socket& socket,
    const FrameOptions& options);
boost::asio::awaitable<Result<wire::Session>> ClientHandshake(
    boost::asio::ip::tcp::socket& socket,
    const FrameOptions& options);

}  // namespace jujube::net
