// HttpTransport: the Transport over HTTP, with the system clock.

#pragma once

#include "core/clock.h"
#include "ctl/call_outcome.h"
#include "net/http_call.h"

namespace jujube::ctl {

class HttpTransport {
 public:
  // On a new connection. Blocks until the whole answer arrived, the deadline
  // passed or a step failed.
  CallOutcome Call(const Endpoint& endpoint,
                   const net::HttpRequest& request,
                   MonoTime deadline);
  MonoTime Now() const { return MonoClock::now(); }
  void SleepUntil(MonoTime time);
};

}  // namespace jujube::ctl
