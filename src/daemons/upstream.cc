// jujube-upstream: a stand-in upstream for tests and measurements.

#include <iostream>

#include <gflags/gflags.h>

#include "core/json_document.h"
#include "gen/settings_json.h"
#include "standin/upstream.h"

DEFINE_string(settings, "", "settings file (JSON)");

namespace {

constexpr std::size_t kMaxSettingsBytes = 1U << 20U;
constexpr int kExitBadSettings = 2;

jujube::Status RunUpstream() {
  JUJUBE_TRY(const std::string text,
             jujube::ReadFile(FLAGS_settings, kMaxSettingsBytes));
  JUJUBE_TRY(
      const jujube::UpstreamSettings settings,
      jujube::ParseDocument<jujube::UpstreamSettings>(text, FLAGS_settings));
  JUJUBE_TRY(const std::string key,
             jujube::ReadKeyFile(settings.m_platform_key_file));
  jujube::standin::Upstream upstream(settings, key);
  JUJUBE_TRY(const jujube::Endpoint endpoint, upstream.Listen());
  std::cout << "listening on " << endpoint.m_address << ":" << endpoint.m_port
            << std::endl;
  upstream.Run();
  return jujube::Success();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const jujube::Status status = RunUpstream();
  if (!status) {
    std::cerr << status.error().m_message << std::endl;
    return kExitBadSettings;
  }
  return 0;
}
