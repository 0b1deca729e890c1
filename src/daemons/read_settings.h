// ReadSettings: loads the settings file of a program.

#pragma once

#include <cstddef>
#include <string>

#include "core/json_document.h"
#include "observe/exit_code.h"
#include "observe/log.h"

namespace jujube::daemons {

inline constexpr std::size_t kMaxSettingsBytes = 1U << 20U;

// Reads and validates a settings file; the error lists every problem.
template <class Settings>
Result<Settings> ReadSettings(const std::string& path) {
  JUJUBE_TRY(const std::string text, ReadFile(path, kMaxSettingsBytes));
  return ParseDocument<Settings>(text, path);
}

}  // namespace jujube::daemons
