// Check of the Authorization field of operators and upstreams.

#pragma once

#include <string_view>

#include "gen/http.h"

namespace jujube::net {

// True if the head carries "Authorization: Bearer <key>". Takes the same time
// wherever the first wrong byte is.
bool HasBearerKey(const RequestHead& head, std::string_view key);

}  // namespace jujube::net
