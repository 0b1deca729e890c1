// CallResult: the result of a remote call to another process of the system.

#pragma once

#include <cstdint>
#include <optional>

#include "core/error.h"

namespace jujube::net {

// Whether a request that got no reply may have reached the peer.
enum class Delivery : std::uint8_t {
  kNotSent,  // no byte was written; retrying elsewhere is safe
  kUnknown,  // the peer may have processed it
};

template <class Reply>
struct CallResult {
  std::optional<Reply> m_reply;  // set on success
  Error m_error;                 // set on failure; kTimeout, kUnavailable, ...
  Delivery m_delivery = Delivery::kUnknown;

  explicit operator bool() const { return m_reply.has_value(); }
  friend auto operator<=>(const CallResult&, const CallResult&) = default;
};

}  // namespace jujube::net
