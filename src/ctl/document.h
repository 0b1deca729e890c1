// Document files of operators: reading, checking and printing them.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "gen/deployment.h"

namespace jujube::ctl {

struct LoadedDocument {
  std::string m_text;                      // the file as it is
  std::optional<Deployment> m_deployment;  // only without problems
  std::vector<std::string> m_problems;     // each with file and path

  friend auto operator<=>(const LoadedDocument&,
                          const LoadedDocument&) = default;
};

// Runs the checks that the leader repeats. `file` names the text in problems.
LoadedDocument CheckText(std::string text, const std::string& file);

// CheckText of a file; a file that cannot be read is a problem.
LoadedDocument LoadDocument(const std::string& file);

// Reads the document in force from the answer of a control host. It is empty
// before the first apply, so the checks of a whole document are not run.
Result<Deployment> ParseInForce(std::string_view body);

// The document as a file that can be edited and applied: each member, and each
// element of a list, on a line of its own.
std::string PrintDocument(const Deployment& deployment);

}  // namespace jujube::ctl
