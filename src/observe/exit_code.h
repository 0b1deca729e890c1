// Exit codes of the daemons.

#pragma once

#include "core/result.h"

namespace jujube::observe {

inline constexpr int kExitBadSettings = 2;

// 0 for a success. Logs an error and returns kExitBadSettings otherwise.
int ExitCodeOf(const Status& status);

}  // namespace jujube::observe
