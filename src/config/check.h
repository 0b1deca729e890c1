// Rules of a deployment document that span several objects.
//
//   const Problems problems = config::Check(deployment);
//
// The generated parser checks each value by itself (type, range, length).
// Check() adds what only the whole document shows: names that are used twice,
// references to objects that do not exist, links, prefixes, addresses. The same
// function runs in the command line before a document is sent and in the
// control leader before it is proposed. Every problem is reported, with the
// path in the document, what was found and what is allowed. An empty result
// means that the document is valid.

#pragma once

#include "core/json_reader.h"
#include "gen/deployment.h"

namespace jujube::config {

Problems Check(const Deployment& deployment);

}  // namespace jujube::config
