// Canonical order and digest of a document.

#pragma once

#include <string>

#include "gen/deployment.h"

namespace jujube::config {

// The same document with each list sorted by name. White space, the order of
// keys and the order of list elements of the JSON text have no effect on it.
Deployment Canonical(Deployment deployment);

// SHA-256 of the wire form of Canonical(deployment), 32 bytes. Equal for two
// texts that parse to the same set of objects.
std::string DigestOf(const Deployment& deployment);

// The same for a document that is canonical already, without a copy.
std::string DigestOfCanonical(const Deployment& deployment);

}  // namespace jujube::config
