// A stub caller: sends requests through the system and measures their latency.
//
//   LoadReport report = RunLoad(options);
//
// It follows the protocol of callers: it looks up the entry hosts of a service,
// caches the list for its lifetime, sends each request to the first host, and
// resends it to the next host with the same Idempotency-Key after a failure
// without a verdict, such as no response, or with the verdict "not-run".

#pragma once

#include "gen/load.h"

namespace jujube::stub {

// Blocks until all requests have finished. The latency of a request is measured
// from its scheduled time, so that a stall of the system is not hidden.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace jujube::stub
