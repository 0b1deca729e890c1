// jujube-entryd: the entry daemon.

#include <gflags/gflags.h>

#include "core/reload_signal.h"
#include "daemons/read_settings.h"
#include "entry/daemon.h"
#include "gen/settings_json.h"

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

jujube::Status RunDaemon() {
  JUJUBE_TRY(
      const jujube::EntrySettings settings,
      jujube::daemons::ReadSettings<jujube::EntrySettings>(FLAGS_settings));
  jujube::entry::EntryKeys keys;
  JUJUBE_TRY(keys.m_peer, jujube::ReadKeyFile(settings.m_peer_key_file));
  JUJUBE_TRY(keys.m_platform,
             jujube::ReadKeyFile(settings.m_platform_key_file));
  JUJUBE_TRY(keys.m_operator,
             jujube::ReadKeyFile(settings.m_operator_key_file));
  JUJUBE_TRY(
      jujube::observe::ConfigureLog(settings.m_log, settings.m_host.m_value));
  if (FLAGS_check)
    return jujube::Success();
  jujube::entry::Daemon daemon(settings, keys, jujube::entry::NativeFrontEnd());
  JUJUBE_TRY(daemon.Start());
  daemon.Run();
  return jujube::Success();
}

}  // namespace

int main(int argc, char** argv) {
  jujube::DeferReloadSignal();
  gflags::SetUsageMessage("--settings FILE [--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return jujube::observe::ExitCodeOf(RunDaemon());
}
