// A stub caller: sends requests through the system and measures their latency.
//
//   LoadReport report = RunLoad(options);
//
// It follows the protocol of callers: it looks up the entry hosts of a service,
// caches the list for its lifetime, and sends each request to the first host.
// After a failure without a verdict, such as no response, or with the verdict
// "not-run", it resends the request to the next host. Requests other than GET
// have an Idempotency-Key, which stays the same. With m_direct, requests go to
// one upstream without a look-up.

#pragma once

#include "gen/load.h"

namespace jujube::stub {

// Blocks until all requests have finished. With a rate, the latency of a
// request is measured from its scheduled time, so that a stall of the system is
// not hidden; without a rate, from the time when it is sent.
LoadReport RunLoad(const LoadOptions& options);

}  // namespace jujube::stub
