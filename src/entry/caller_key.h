// The key in the header fields of a request.

#pragma once

#include <string_view>
#include <vector>

#include "gen/http.h"
#include "tenants/credential.h"

namespace jujube::entry {

// The result refers to `headers`.
tenants::Credential ReadCallerKey(const std::vector<Header>& headers);

// True for the field that carries the key, which upstreams must not receive.
bool IsCallerKeyField(std::string_view name);

}  // namespace jujube::entry
