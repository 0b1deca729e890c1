// FrameServer: accepts frame connections from other processes of the system.
//
//   net::FrameDispatch handlers;  // see net/frame_dispatch.h
//   net::FrameServer server(context, options, std::move(handlers));
//   JUJUBE_TRY(const Endpoint bound, server.Start({"127.0.0.1", 0}));
//   ...
//   server.Stop();
//
// Not thread-safe: construct it before the io_context runs or on its thread,
// and call every member on that thread.

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

  // Starts to listen and returns the bound address and port. kIo: the address
  // is in use or does not belong to this host; kInvalidInput: not an IP
  // address.
  Result<Endpoint> Start(const Endpoint& listen);

  // Closes the listener and all connections and drops queued replies. For a
  // graceful shutdown, wait for QueuedBytes() == 0 first.
  void Stop();

  std::size_t ConnectionCount() const;  // includes handshakes in progress
  std::size_t QueuedBytes() const;      // sum over all connections

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace jujube::net
