// Reads, checks and formats the deployment documents of operators.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/result.h"
#include "gen/deployment.h"

namespace jujube::ctl {

struct LoadedDocument {
  std::string m_text;                      // unmodified content of the file
  std::optional<Deployment> m_deployment;  // set if there are no problems
  std::vector<std::string> m_problems;     // each with file name and JSON path

  friend auto operator<=>(const LoadedDocument&,
                          const LoadedDocument&) = default;
};

// Parses the text and runs the same checks as the leader. `file` is the file
// name shown in problems.
LoadedDocument ParseAndCheckDocument(std::string text, const std::string& file);

// Reads a file and calls ParseAndCheckDocument. A read error is reported as a
// problem.
LoadedDocument LoadDocument(const std::string& file);

// Parses the document in force from the response body of a control host. The
// document is empty before the first apply, so config::CheckDeployment is not
// run.
Result<Deployment> ParseDocumentInForce(std::string_view body);

// Formats the document as a file that can be edited and applied, with one line
// for each top-level member and each element of a list.
std::string FormatDocument(const Deployment& deployment);

}  // namespace jujube::ctl
