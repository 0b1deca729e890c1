// A stub upstream: announces itself, takes requests up to its slots, and
// sheds the rest with 503 and "Jujube-Started: no".
//
// The response is an EchoedRequest, which states what the upstream received, so
// that a caller can check that the response belongs to its request.
//
// Query parameters bring about faults:
//   delay_ms=N       takes N ms instead of the service time
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

  // Binds and returns the endpoint in use.
  Result<Endpoint> Listen();

  // Serves until SIGTERM or SIGINT, then announces that it leaves, waits for
  // the requests in progress and for the leases of its announcements, and
  // returns.
  void Run();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace jujube::stub
