// FrameServer: accepts connections of the system's other processes.
//
//   net::FrameDispatch handlers;  // see net/frame_dispatch.h
//   net::FrameServer server(context, options, std::move(handlers));
//   JUJUBE_TRY(const Endpoint bound, server.Start({"127.0.0.1", 0}));
//   ...
//   server.Stop();
//
// Belongs to the thread of its io_context: construct before the context runs or
// on its thread, and call every member there.

#pragma once

#include <cstddef>
#include <memory>

#include "core/result.h"
#include "gen/types.h"
#include "net/frame_dispatch.h"
#include "net/frame_options.h"

namespace boost::asio {
class io_context;
}

namespace jujube::net {

class FrameServer {
 public:
  FrameServer(boost::asio::io_context& context,
              FrameOptions options,
              FrameDispatch handlers);
  ~FrameServer();  // stops
  FrameServer(const FrameServer&) = delete;
  FrameServer& operator=(const FrameServer&) = delete;

  // Listens. Returns the address with the port that was bound. kIo: the address
  // is in use or not of this host; kInvalidInput: not an IP address.
  Result<Endpoint> Start(const Endpoint& listen);

  // Closes the listener and all connections. Replies that are still queued are
  // lost, so a graceful shutdown waits for QueuedBytes() == 0 first.
  void Stop();

  std::size_t Connections() const;  // handshakes in progress included
  std::size_t QueuedBytes() const;  // over all connections

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jujube::net
