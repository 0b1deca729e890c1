// Validation rules of a deployment document that the generated parser does not
// check.
//
//   const Problems problems = config::CheckDeployment(deployment);
//
// The generated parser validates each value on its own (type, range, length).
// CheckDeployment() validates names, references, links, prefixes and addresses
// against the other objects of the document. jujubectl calls it before it sends
// a document, and the control leader before it proposes one. All problems are
// reported, each with its path in the document, the value found and the values
// allowed. The result is empty for a valid document.

#pragma once

#include "core/json_reader.h"
#include "gen/deployment.h"

namespace jujube::config {

Problems CheckDeployment(const Deployment& deployment);

}  // namespace jujube::config
