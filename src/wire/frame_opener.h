// FrameOpener: verifies the frames of one direction of a connection.
//
//   JUJUBE_TRY(const FrameHeader header, verifier.Head(header_and_tag));
//   // read header.m_payload_length bytes
//   JUJUBE_TRY(verifier.Payload(payload));
//
// Frames are signed (HMAC), not encrypted. The header is not authenticated
// until the payload is verified. After any error the connection must be closed.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"
#include "wire/frame.h"
#include "wire/hmac.h"

namespace jujube::wire {

class FrameOpener {
 public:
  // session_key: key of this direction. incarnation: the peer's incarnation
  // from the handshake.
  FrameOpener(std::string_view session_key, std::uint64_t incarnation);

  // Decodes the kFrameHeadBytes of a header and its tag. kInvalidInput: the
  // header is malformed or its payload length too large; kRefused: the
  // incarnation differs from that of the handshake.
  Result<FrameHeader> Head(std::string_view header_and_tag);

  // Verifies the tag over the last header and this payload. kRefused: the frame
  // was modified, replayed, reordered or signed with another key.
  Status Payload(std::string_view payload);

 private:
  Hmac m_hmac;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;  // of the next frame
  std::string m_header_and_tag;  // until its payload arrives; else empty
};

}  // namespace jujube::wire
