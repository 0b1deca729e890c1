// FrontEnd: handler and listener options for the requests of callers, and
// further HTTP listeners of an entry daemon.

#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "gen/types.h"
#include "net/http_listener.h"

namespace jujube::entry {

class ClaimClient;
struct EntryShared;

// Served on the first worker thread, until the end of a planned stop.
struct FrontEndListener {
  Endpoint m_endpoint;
  std::function<net::HttpHandler(EntryShared& shared)> m_make_handler;
};

struct FrontEnd {
  // Called once per worker thread, on that thread.
  std::function<net::HttpHandler(EntryShared& shared,
                                 ClaimClient& claims,
                                 boost::asio::io_context& io,
                                 std::uint64_t seed)>
      m_make_handler;
  net::HttpListenerOptions m_listener;
  // Whether a request may be handled while an earlier one of its connection is
  // (EntrySettings::m_max_pipelined). May be empty: none may.
  std::function<bool(const EntryShared& shared, const RequestHead& head)>
      m_may_overlap;
  std::vector<FrontEndListener> m_further_listeners;
  // Called after SIGHUP, on the signal thread. May be empty. Returns the
  // control hosts named by the settings now, or nothing if they are unreadable.
  std::function<std::vector<Endpoint>()> m_reload_seeds;
};

// Front end for look-ups and requests of the native interface.
FrontEnd NativeFrontEnd();

}  // namespace jujube::entry
