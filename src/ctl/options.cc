#include "ctl/options.h"

#include <algorithm>

#include "net/http_call.h"

namespace jujube::ctl {

namespace {

// Maximum length of operator_name in schema/control.json.
constexpr std::size_t kMaxOperatorBytes = 200;

}  // namespace

Result<std::vector<Endpoint>> ParseControlHosts(std::string_view text) {
  std::vector<Endpoint> control_hosts;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const auto endpoint = net::ParseEndpoint(text.substr(0, comma));
    if (!endpoint) {
      return MakeError(ErrorCode::kInvalidInput,
                       "--control: " + endpoint.error().m_message);
    }
    control_hosts.push_back(endpoint.value());
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  if (control_hosts.empty()) {
    return MakeError(ErrorCode::kInvalidInput,
                     "--control: found nothing, expected a list of operator "
                     "listeners of control hosts such as "
                     "127.0.0.1:8093,127.0.0.2:8093");
  }
  return control_hosts;
}

Result<std::string> ParseOperatorName(std::string_view text) {
  const bool is_printable = std::all_of(
      text.begin(), text.end(),
      [](char character) { return character >= ' ' && character <= '~'; });
  if (text.empty() || text.size() > kMaxOperatorBytes || !is_printable) {
    return MakeError(ErrorCode::kInvalidInput,
                     "--operator: found " + std::to_string(text.size()) +
                         " bytes, expected 1 to 200 printable ASCII "
                         "characters; the default is the variable USER");
  }
  return std::string(text);
}

}  // namespace jujube::ctl
