// FrontEnd: what else a control daemon speaks besides its own interface.

#pragma once

#include <functional>
#include <vector>

#include "gen/types.h"
#include "net/http_listener.h"

namespace jujube::controld {

class ControlService;

struct FrontEndListener {
  Endpoint m_endpoint;
  std::function<net::HttpHandler(ControlService& service)> m_make_handler;
};

struct FrontEnd {
  std::vector<FrontEndListener> m_listeners;
  // The daemon's own operator interface is not served.
  bool m_replaces_operator_api = false;
  std::function<void()> m_on_reload;  // SIGHUP; may be empty
};

}  // namespace jujube::controld
