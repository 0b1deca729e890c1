// A stub upstream: announces itself to entry hosts, runs at most as many
// concurrent requests as it has slots, and sheds further requests with 503 and
// "Jujube-Started: no".
//
// The response is an EchoedRequest, which describes the received request, so
// that a caller can check that the response belongs to its request.
//
// Query parameters inject faults:
//   delay_ms=N       delays the response by N ms instead of the service time
//   body_bytes=N     pads the response to at least N bytes
//   status=N         responds with this status
//   cut_after=N      closes the connection after N bytes of the body
//   no_response=1    runs the request and closes the connection

#pragma once

#include <memory>

#include "core/result.h"
#include "gen/settings.h"

namespace jujube::stub {

class Upstream {
 public:
  Upstream(UpstreamSettings settings, std::string platform_key);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Binds the listener and returns its endpoint.
  Result<Endpoint> Listen();

  // Serves until SIGTERM or SIGINT, then announces that it leaves. Keeps
  // serving until the lease of its last announcement before that has expired
  // and no request is in progress.
  void Run();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jujube::stub
