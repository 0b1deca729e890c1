// CtlOptions: the validated flags of jujubectl.

#pragma once

#include <chrono>
#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "gen/types.h"

namespace jujube::ctl {

struct CtlOptions {
  std::vector<Endpoint> m_control_hosts;  // operator listeners of control hosts
  std::string m_operator_key;
  std::string m_operator_name;  // shown in the history
  // For a request to the leader with all its attempts. A status request to one
  // control host gets a fraction of it.
  std::chrono::milliseconds m_timeout{30000};
  // For apply --wait, after the document has been accepted; 0: do not wait.
  std::chrono::milliseconds m_wait_timeout{0};

  friend auto operator<=>(const CtlOptions&, const CtlOptions&) = default;
};

// Parses a non-empty list such as "127.0.0.1:8093,127.0.0.2:8093".
Result<std::vector<Endpoint>> ParseControlHosts(std::string_view text);

// Checks the name of an operator: 1 to 200 printable ASCII characters. It is
// sent in a header field, which must not contain line breaks.
Result<std::string> ParseOperatorName(std::string_view text);

}  // namespace jujube::ctl
