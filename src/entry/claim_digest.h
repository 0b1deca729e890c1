// ClaimDigest: identifies the content of a non-repeatable request, so that its
// Idempotency-Key cannot be used for another one.

#pragma once

#include <string>
#include <string_view>

#include "entry/route.h"
#include "gen/http.h"

namespace jujube::entry {

// SHA-256 of the method, the target, the body and the tenant.
std::string ClaimDigest(const RequestHead& head,
                        const Route& route,
                        std::string_view body);

}  // namespace jujube::entry
