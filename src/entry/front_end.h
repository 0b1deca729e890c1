// FrontEnd: what callers of an entry daemon speak with.

#pragma once

#include <cstdint>
#include <functional>

#include "net/http_listener.h"

namespace jujube::entry {

class ClaimClient;
struct EntryShared;

struct FrontEnd {
  // Called once for each worker thread, on that thread.
  std::function<net::HttpHandler(EntryShared& shared,
                                 ClaimClient& claims,
                                 boost::asio::io_context& io,
                                 std::uint64_t seed)>
      m_make_handler;
  net::HttpListenerOptions m_listener;
  std::function<void()> m_on_reload;  // SIGHUP; may be empty
};

// Look-ups and requests of jujubelift's own interface.
FrontEnd NativeFrontEnd();

}  // namespace jujube::entry
