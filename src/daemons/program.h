// What the mains of the daemons have in common.

#pragma once

#include <cstddef>
#include <string>

#include "core/json_document.h"
#include "gen/log_events.h"
#include "observe/log.h"

namespace jujube::daemons {

inline constexpr std::size_t kMaxSettingsBytes = 1U << 20U;
inline constexpr int kExitBadSettings = 2;

// Reads and checks a settings file; the error lists every problem.
template <class Settings>
Result<Settings> ReadSettings(const std::string& path) {
  JUJUBE_TRY(const std::string text, ReadFile(path, kMaxSettingsBytes));
  return ParseDocument<Settings>(text, path);
}

// Exit code of a program that ended with the status; logs an error.
inline int ExitCodeOf(const Status& status) {
  if (status)
    return 0;
  observe::Log(LogEvent::kSettingsRefused,
               {{"error", status.error().m_message}});
  return kExitBadSettings;
}

}  // namespace jujube::daemons
