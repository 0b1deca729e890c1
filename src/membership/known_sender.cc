#include "membership/known_sender.h"

namespace jujube::membership {

// An incarnation is the time of day at which a process started. If that clock
// was set back between two starts, the later process has the lower incarnation.
// Its messages are taken once the other process is silent.
bool IsFromEarlierProcess(const KnownSender& known,
                          std::uint64_t incarnation,
                          MonoTime now) {
  return incarnation < known.m_incarnation &&
         now - known.m_last_received < known.m_silence;
}

}  // namespace jujube::membership
