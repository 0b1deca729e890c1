// jujube-upstream: a stub upstream for tests and benchmarks.

#include <iostream>

#include <gflags/gflags.h>

#include "daemons/read_settings.h"
#include "gen/settings_json.h"
#include "stub/upstream.h"

DEFINE_string(settings, "", "settings file (JSON)");

namespace {

jujube::Status RunUpstream() {
  JUJUBE_TRY(
      const jujube::UpstreamSettings settings,
      jujube::daemons::ReadSettings<jujube::UpstreamSettings>(FLAGS_settings));
  JUJUBE_TRY(const std::string key,
             jujube::ReadKeyFile(settings.m_platform_key_file));
  jujube::stub::Upstream upstream(settings, key);
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
  return jujube::observe::ExitCodeOf(RunUpstream());
}
