#include "observe/exit_code.h"

#include "observe/log.h"

namespace jujube::observe {

int ExitCodeOf(const Status& status) {
  if (status)
    return 0;
  Log(LogEvent::kSettingsRefused, {{"error", status.error().m_message}});
  return kExitBadSettings;
}

}  // namespace jujube::observe
