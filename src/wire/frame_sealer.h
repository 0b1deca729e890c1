// FrameSealer: signs the frames of one direction of a connection (HMAC). It
// does not encrypt them.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/frame.h"
#include "wire/hmac.h"

namespace jujube::wire {

class FrameSealer {
 public:
  // session_key: key of this direction from the handshake. incarnation: that of
  // this process.
  FrameSealer(std::string_view session_key, std::uint64_t incarnation);

  // Returns the header and tag of the next frame, to be sent before the
  // payload. Frames must be sent in the order of these calls, because the tag
  // covers the sequence number. Precondition: the payload is within
  // MaxPayloadBytes(type).
  std::string Head(std::uint16_t type,
                   std::uint64_t correlation,
                   std::string_view payload);

 private:
  Hmac m_hmac;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;  // of the next frame
};

}  // namespace jujube::wire
