// jujube-controld: the control daemon.

#include <iostream>

#include <gflags/gflags.h>

#include "controld/daemon.h"
#include "core/json_document.h"
#include "gen/settings_json.h"
#include "observe/log.h"

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr std::size_t kMaxSettingsBytes = 1U << 20U;
constexpr int kExitBadSettings = 2;

jujube::Status RunDaemon() {
  JUJUBE_TRY(const std::string text,
             jujube::ReadFile(FLAGS_settings, kMaxSettingsBytes));
  JUJUBE_TRY(
      const jujube::ControlSettings settings,
      jujube::ParseDocument<jujube::ControlSettings>(text, FLAGS_settings));
  jujube::controld::ControlKeys keys;
  JUJUBE_TRY(keys.m_peer, jujube::ReadKeyFile(settings.m_peer_key_file));
  JUJUBE_TRY(keys.m_operator,
             jujube::ReadKeyFile(settings.m_operator_key_file));
  JUJUBE_TRY(
      jujube::observe::ConfigureLog(settings.m_log, settings.m_host.m_value));
  if (FLAGS_check)
    return jujube::Success();
  jujube::controld::Daemon daemon(settings, keys);
  JUJUBE_TRY(daemon.Start());
  daemon.Run();
  return jujube::Success();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE [--check]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const jujube::Status status = RunDaemon();
  if (!status) {
    jujube::observe::Log(jujube::LogEvent::kSettingsRefused,
                         {{"error", status.error().m_message}});
    return kExitBadSettings;
  }
  return 0;
}
