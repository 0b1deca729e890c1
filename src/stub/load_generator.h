// A stub caller: sends requests through the system and measures them.
//
//   LoadReport report = RunLoad(options);
//
// It does what a caller is expected to do: it asks an entry host for the list
// of a service, keeps the list for its lifetime, sends to the first host, and
// resends to the next one with the same Idempotency-Key if it gets no response
// or a refusal that says "not run".

#pragma once

#include "gen/load.h"

namespace jujube::stub {

// Blocks until all requests have ended. The latency of a request counts from
// the time at which it was due, so that a stall of the system is not hidden.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace jujube::stub
