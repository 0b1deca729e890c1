// jujube-caller: a stub caller that generates load and measures latency.

#include <iostream>
#include <sstream>

#include <gflags/gflags.h>
#include <boost/json.hpp>

#include "gen/load_json.h"
#include "net/http_call.h"
#include "stub/load_generator.h"

DEFINE_string(entries,
              "",
              "entry hosts for look-ups, comma-separated IP:PORT list");
DEFINE_string(direct,
              "",
              "upstream to call directly, without an entry host, IP:PORT");
DEFINE_string(service, "", "service to call");
DEFINE_string(caller, "", "IP address of the caller, sent with look-ups");
DEFINE_string(method, "GET", "HTTP method");
DEFINE_string(path, "/load", "request target at the service");
DEFINE_uint32(body_bytes, 0, "size of the request body in bytes");
DEFINE_uint64(requests, 1000, "total number of requests");
DEFINE_uint32(concurrency, 8, "maximum number of concurrent requests");
DEFINE_uint32(rate, 0, "requests per second; 0 for no limit");
DEFINE_uint32(deadline_ms, 5000, "time limit of a request, including resends");
DEFINE_uint32(attempts, 3, "maximum number of attempts per request");
DEFINE_uint64(seed, 1, "seed of the Idempotency-Keys");
DEFINE_bool(json, false, "print the report as JSON");

namespace {

constexpr int kExitRequestsFailed = 1;
constexpr int kExitInvalidFlags = 2;

jujube::Result<jujube::LoadOptions> OptionsFromFlags() {
  jujube::LoadOptions options{
      .m_service = {FLAGS_service},
      .m_caller = FLAGS_caller,
      .m_method = FLAGS_method,
      .m_path = FLAGS_path,
      .m_body_bytes = FLAGS_body_bytes,
      .m_requests = FLAGS_requests,
      .m_concurrency = FLAGS_concurrency,
      .m_rate = FLAGS_rate,
      .m_deadline = std::chrono::milliseconds(FLAGS_deadline_ms),
      .m_attempts = FLAGS_attempts,
      .m_seed = FLAGS_seed};
  std::istringstream entry_list(FLAGS_entries);
  for (std::string text; std::getline(entry_list, text, ',');) {
    JUJUBE_TRY(const jujube::Endpoint entry_host,
               jujube::net::ParseEndpoint(text));
    options.m_entries.push_back(entry_host);
  }
  if (!FLAGS_direct.empty()) {
    JUJUBE_TRY(options.m_direct, jujube::net::ParseEndpoint(FLAGS_direct));
  }
  if (options.m_entries.empty() && !options.m_direct) {
    return jujube::MakeError(jujube::ErrorCode::kInvalidInput,
                             "one of --entries and --direct is required");
  }
  return options;
}

void PrintText(const jujube::LoadReport& report) {
  std::cout << "sent " << report.m_sent << ", ok " << report.m_ok
            << ", not run " << report.m_not_run << ", may have run "
            << report.m_may_have_run << ", failed " << report.m_failed
            << ", wrong " << report.m_wrong << ", resent " << report.m_resent
            << "\nlatency in us: p50 " << report.m_p50_us << ", p99 "
            << report.m_p99_us << ", p99.9 " << report.m_p999_us << ", max "
            << report.m_max_us << "\n"
            << static_cast<double>(report.m_sent) / report.m_seconds
            << " requests/s" << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--entries IP:PORT,... --service NAME");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto options = OptionsFromFlags();
  if (!options) {
    std::cerr << options.error().m_message << std::endl;
    return kExitInvalidFlags;
  }
  const jujube::LoadReport report = jujube::stub::RunLoad(options.value());
  if (FLAGS_json)
    std::cout << boost::json::serialize(jujube::ToJson(report)) << std::endl;
  else
    PrintText(report);
  return report.m_ok == report.m_sent ? 0 : kExitRequestsFailed;
}
