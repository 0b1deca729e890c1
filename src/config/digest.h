// Canonical form and digest of a document.

#pragma once

#include <string>

#include "gen/deployment.h"

namespace jujube::config {

// The document with its top-level lists and the methods of each service sorted,
// and the regions of each link in order. Whitespace, key order and the order of
// these lists in the JSON text do not affect the result.
Deployment CanonicalDeployment(Deployment deployment);

// SHA-256 of the wire encoding of CanonicalDeployment(deployment), 32 bytes.
std::string DigestOf(const Deployment& deployment);

// As DigestOf, but requires a canonical document and does not copy it.
std::string DigestOfCanonicalDeployment(const Deployment& deployment);

}  // namespace jujube::config
