// HttpTransport: a Transport that uses HTTP and the monotonic clock.

#pragma once

#include "core/clock.h"
#include "ctl/call_outcome.h"
#include "net/http_call.h"

namespace jujube::ctl {

class HttpTransport {
 public:
  // Sends the request on a new connection. Blocks until the response is
  // complete, the deadline has expired or the call has failed.
  CallOutcome Call(const Endpoint& endpoint,
                   const net::HttpRequest& request,
                   MonoTime deadline);
  MonoTime Now() const { return MonoClock::now(); }
  void SleepUntil(MonoTime time);
};

}  // namespace jujube::ctl
