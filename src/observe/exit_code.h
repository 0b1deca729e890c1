// Exit codes of the daemons.

#pragma once

#include "core/result.h"

namespace jujube::observe {

inline constexpr int kExitBadSettings = 2;

// Returns 0 on success. Otherwise logs the error and returns kExitBadSettings.
int ExitCodeOf(const Status& status);

}  // namespace jujube::observe
