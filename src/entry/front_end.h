// FrontEnd: the interface of an entry daemon for callers.

#pragma once

#include <cstdint>
#include <functional>

#include "net/http_listener.h"

namespace jujube::entry {

class ClaimClient;
struct EntryShared;

struct FrontEnd {
  // Called once per worker thread, on that thread.
  std::function<net::HttpHandler(EntryShared& shared,
                                 ClaimClient& claims,
                                 boost::asio::io_context& io,
                                 std::uint64_t seed)>
      m_make_handler;
  net::HttpListenerOptions m_listener;
  std::function<void()> m_on_reload;  // on SIGHUP; may be empty
};

// Front end for look-ups and requests of the native interface.
FrontEnd NativeFrontEnd();

}  // namespace jujube::entry
