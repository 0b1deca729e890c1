// Exit codes of the daemons.

#pragma once

#include "core/result.h"

namespace jujube::observe {

inline constexpr int kExitBadSettings = 2;

// Returns 0 on success. Otherwise logs the error as kSettingsRefused and
// returns kExitBadSettings, whatever its code.
int ExitCodeOf(const Status& status);

}  // namespace jujube::observe
