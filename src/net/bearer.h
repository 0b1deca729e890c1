// Bearer token check of requests from operators and upstreams.

#pragma once

#include <string_view>

#include "gen/http.h"

namespace jujube::net {

// True if the head carries "Authorization: Bearer <key>". The comparison of
// keys of equal length takes constant time, so that its duration reveals
// nothing about the key.
bool HasBearerKey(const RequestHead& head, std::string_view key);

}  // namespace jujube::net
