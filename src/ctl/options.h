// CtlOptions: the flags of jujubectl after they were checked.

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
  std::vector<Endpoint> m_control;  // operator listeners of control hosts
  std::string m_key;                // operator key
  std::string m_operator;           // name that the history shows
  std::chrono::milliseconds m_timeout{30000};  // for the whole command
  std::chrono::milliseconds m_wait{0};  // for a document to be in force; 0: no

  friend auto operator<=>(const CtlOptions&, const CtlOptions&) = default;
};

// Parses "127.0.0.1:8093,127.0.0.2:8093"; at least one.
Result<std::vector<Endpoint>> ParseControl(std::string_view text);

// Checks the name of an operator: 1 to 200 printable ASCII characters. It is
// sent in a header field, which must not hold line breaks.
Result<std::string> ParseOperator(std::string_view text);

}  // namespace jujube::ctl
