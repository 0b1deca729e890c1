// FrontEnd: HTTP listeners that a control daemon serves in addition to, or
// instead of, its operator interface.

#pragma once

#include <functional>
#include <vector>

#include "gen/settings.h"
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
  // If true, the daemon does not serve OperatorApi.
  bool m_replaces_operator_api = false;
  // Called on SIGHUP; may be empty. Returns the seeds named by the settings
  // now, or nothing if they are unreadable.
  std::function<std::vector<ControlPeer>()> m_reload_seeds;
};

}  // namespace jujube::controld
