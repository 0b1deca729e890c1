// Calls to jujube-platform processes as their callers make them.

#pragma once

#include <cstddef>
#include <string>

#include "gen/types.h"

namespace jujube::process {

struct Answer {
  int m_status = 0;  // 0: no response
  std::string m_text;
};

// Sends a request on a new connection.
Answer Call(const Endpoint& to,
            const std::string& start,
            const std::string& headers = "",
            const std::string& body = "");

// Sends a request to a control host and follows up to two redirects to the
// leader, as the platform's callers do.
Answer CallControl(std::size_t host,
                   const std::string& method,
                   const std::string& path,
                   const std::string& headers = "",
                   const std::string& body = "");

}  // namespace jujube::process
